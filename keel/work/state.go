package work

import "slices"

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome is the stored record of a job that has ended.
type Outcome struct {
	State  State  `json:"state"`
	Queue  string `json:"queue"`
	Digest uint64 `json:"digest"`
	// Ended is the wall-clock time in milliseconds since 1970 at which the job ended.
	Ended int64 `json:"ended"`
	// Tenant is the name of the tenant that submitted the job, empty for none.
	Tenant string `json:"tenant,omitempty"`
	// Reason is why the job failed, empty for other states.
	Reason string `json:"reason,omitempty"`
}

// FailedRun is a failed run of a task.
type FailedRun struct {
	Step       int `json:"s"`
	Occurrence int `json:"k,omitempty"`
	Index      int `json:"i"`
	// Run is the number of the run, which rises with each run of the task.
	Run int64 `json:"r"`
	// Instance is the name of the instance that the task ran on.
	Instance string `json:"w,omitempty"`
}

// CrashedRun is a run that ended with its worker, which crashed.
type CrashedRun struct {
	Step       int   `json:"s"`
	Occurrence int   `json:"k,omitempty"`
	Index      int   `json:"i"`
	Run        int64 `json:"r"`
	// Worker and Instance are the IDs of the worker and its instance.
	Worker   string `json:"w"`
	Instance string `json:"m,omitempty"`
	// Started is when the worker had booted (worker.Boot.Started), 0 if that isn't known.
	Started int64 `json:"b,omitempty"`
	// SurvivedMillis is for how many milliseconds the run is known to have lasted.
	SurvivedMillis int64 `json:"ms,omitempty"`
	// Suspect reports that the run may have caused the crash, because it had begun shortly before; Likely that of the runs on the
	// worker it is one of the likeliest.
	Suspect bool `json:"suspect,omitempty"`
	Likely  bool `json:"likely,omitempty"`
	// Sole reports that nothing else on the worker may have caused the crash: nothing else ran there, or not only recently.
	Sole bool `json:"sole,omitempty"`
	// Common reports that other workers crashed at the same time, so that the crash may have another cause.
	Common bool `json:"common,omitempty"`
	// Unanswered reports that the order to start the run got no response, so that it may not have begun.
	Unanswered bool `json:"unanswered,omitempty"`
	// Unconfirmed reports that the worker was silent until its lease expired, so that it isn't known whether it crashed.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Trial reports that no crash is known: the record is stored before the run of a suspected task is started, so that the next
	// leader learns of a run that it finds neither on a worker nor among the ends.
	Trial bool `json:"trial,omitempty"`
}

// IsSameRun reports whether both are records of the same run.
func (c CrashedRun) IsSameRun(o CrashedRun) bool {
	return c.Run == o.Run && c.Index == o.Index && c.Step == o.Step && c.Occurrence == o.Occurrence
}

// Progress is the stored progress of a job that hasn't ended.
type Progress struct {
	// Started reports that a worker is known to have begun some task.
	Started bool `json:"started,omitempty"`
	// RemoteDataCentres lists the data centres other than the job's home where its tasks may also run.
	RemoteDataCentres []string `json:"away,omitempty"`
	// Done is the set of completed tasks by occurrence and step.
	Done map[int][]BitSet `json:"done,omitempty"`
	// DoneTasks is the set of completed tasks by their numbers in Job.AllTasks, in place of Done in a row that Done would make
	// too large.
	DoneTasks BitSet `json:"done_tasks,omitempty"`
	// Failures lists the failed runs. FailureCounts has the number of others by task, in a row that a list would make too large.
	Failures      []FailedRun   `json:"failures,omitempty"`
	FailureCounts FailureCounts `json:"failure_counts,omitempty"`
	// Crashes lists the runs that ended with workers that crashed, as far as they count against their tasks.
	Crashes []CrashedRun `json:"crashes,omitempty"`
	// Checkpoints maps a task's name, without the job's ID, to its newest checkpoint.
	Checkpoints map[string]string `json:"saved,omitempty"`
}

// IsDone reports whether the task is among the completed ones of Done.
func (p *Progress) IsDone(id TaskID) bool {
	steps := p.Done[id.Occurrence]
	return id.Step < len(steps) && steps[id.Step].Has(id.Index)
}

// Merge returns the union of both; if both have a checkpoint of a task, that of o.
func (p Progress) Merge(o Progress) Progress {
	merged := Progress{Started: p.Started || o.Started, Done: make(map[int][]BitSet), Checkpoints: make(map[string]string)}
	for _, from := range []Progress{p, o} {
		for _, dataCentre := range from.RemoteDataCentres {
			if !slices.Contains(merged.RemoteDataCentres, dataCentre) {
				merged.RemoteDataCentres = append(merged.RemoteDataCentres, dataCentre)
			}
		}
		merged.DoneTasks = merged.DoneTasks.Union(from.DoneTasks)
		merged.FailureCounts = merged.FailureCounts.merge(from.FailureCounts)
		for k, steps := range from.Done {
			merged.Done[k] = mergeBits(merged.Done[k], steps)
		}
		for _, a := range from.Failures {
			if !slices.Contains(merged.Failures, a) {
				merged.Failures = append(merged.Failures, a)
			}
		}
		for _, a := range from.Crashes {
			merged.Crashes = addCrash(merged.Crashes, a)
		}
		for name, checkpoint := range from.Checkpoints {
			merged.Checkpoints[name] = checkpoint
		}
	}
	return merged
}

// addCrash adds a run, of which the list may have a record already: one of a confirmed crash replaces an unconfirmed one.
func addCrash(crashes []CrashedRun, c CrashedRun) []CrashedRun {
	i := slices.IndexFunc(crashes, c.IsSameRun)
	if i < 0 {
		return append(crashes, c)
	}
	if crashes[i].Unconfirmed || crashes[i].Trial {
		crashes[i] = c
	}
	return crashes
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
