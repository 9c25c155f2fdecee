package work

import "slices"

// State is what callers are shown of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the job won't change any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome is what is kept of a job that has ended.
type Outcome struct {
	State  State  `json:"state"`
	Queue  string `json:"queue"`
	Digest uint64 `json:"digest"`
	// Ended is the wall-clock time in milliseconds since 1970.
	Ended int64 `json:"ended"`
	// Reason says why the job failed, empty for other states.
	Reason string `json:"reason,omitempty"`
}

// FailedRun is a run of a task that ended with a failure.
type FailedRun struct {
	Step       int `json:"s"`
	Occurrence int `json:"k,omitempty"`
	Index      int `json:"i"`
	// Run is the number of the run.
	Run int64 `json:"r"`
	// Instance names where it ran.
	Instance string `json:"w,omitempty"`
}

// Progress is what is kept of an open job beside its submission.
type Progress struct {
	// Started reports that some task was told to start.
	Started bool `json:"started,omitempty"`
	// RemoteDataCentres lists the data centres outside of the job's home where its tasks may run too.
	RemoteDataCentres []string `json:"away,omitempty"`
	// Done holds the finished tasks as bits, by occurrence and then step.
	Done map[int][]BitSet `json:"done,omitempty"`
	// Failures holds the runs that failed.
	Failures []FailedRun `json:"failures,omitempty"`
	// Checkpoints holds the newest checkpoints by the task's name without the job.
	Checkpoints map[string]string `json:"saved,omitempty"`
}

// Merge returns what both say together.
func (p Progress) Merge(o Progress) Progress {
	merged := Progress{Started: p.Started || o.Started, Done: make(map[int][]BitSet), Checkpoints: make(map[string]string)}
	for _, from := range []Progress{p, o} {
		for _, dataCentre := range from.RemoteDataCentres {
			if !slices.Contains(merged.RemoteDataCentres, dataCentre) {
				merged.RemoteDataCentres = append(merged.RemoteDataCentres, dataCentre)
			}
		}
		for k, steps := range from.Done {
			merged.Done[k] = mergeBits(merged.Done[k], steps)
		}
		for _, a := range from.Failures {
			if !slices.Contains(merged.Failures, a) {
				merged.Failures = append(merged.Failures, a)
			}
		}
		for name, checkpoint := range from.Checkpoints {
			merged.Checkpoints[name] = checkpoint
		}
	}
	return merged
}

func mergeBits(a, b []BitSet) []BitSet {
	merged := make([]BitSet, max(len(a), len(b)))
	for i := range merged {
		if i < len(a) {
			merged[i] = merged[i].Union(a[i])
		}
		if i < len(b) {
			merged[i] = merged[i].Union(b[i])
		}
	}
	return merged
}
