package work

import (
	"encoding/base64"
	"encoding/binary"

	"samphirekeel.example/keel/fault"
)

// FailureCount is the number of failed runs of a task and the number of the last of them.
type FailureCount struct {
	// Task is the task's number in Job.AllTasks.
	Task int
	Runs int
	Last int64
}

// FailureCounts holds the failed runs of tasks, in the order of the tasks' numbers, in a fraction of the space of FailedRun.
type FailureCounts []FailureCount

// MarshalText encodes the counts as variable-length integers in unpadded base64, with the difference between the numbers of a
// task and the task before it.
func (c FailureCounts) MarshalText() ([]byte, error) {
	var out []byte
	previous := FailureCount{}
	for _, f := range c {
		out = binary.AppendUvarint(out, uint64(f.Task-previous.Task))
		out = binary.AppendUvarint(out, uint64(f.Runs))
		out = binary.AppendVarint(out, f.Last-previous.Last)
		previous = f
	}
	return []byte(base64.RawStdEncoding.EncodeToString(out)), nil
}

// UnmarshalText decodes counts as MarshalText encodes them.
func (c *FailureCounts) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode failure counts")
	}
	*c = nil
	next := FailureCount{}
	for len(data) > 0 {
		task, n := binary.Uvarint(data)
		runs, m := binary.Uvarint(data[max(n, 0):])
		last, k := binary.Varint(data[max(n, 0)+max(m, 0):])
		if n <= 0 || m <= 0 || k <= 0 || task > maxTasks || runs > maxFailedRuns {
			return fault.New(fault.Internal, "decode failure counts: invalid number with %d bytes left", len(data))
		}
		next = FailureCount{Task: next.Task + int(task), Runs: int(runs), Last: next.Last + last}
		*c = append(*c, next)
		data = data[n+m+k:]
	}
	return nil
}

// maxFailedRuns is the maximum number of failed runs of a task in FailureCounts.
const maxFailedRuns = 1 << 20

// merge returns the counts of both, for a task in both the larger ones.
func (c FailureCounts) merge(o FailureCounts) FailureCounts {
	var merged FailureCounts
	for len(c) > 0 && len(o) > 0 {
		switch {
		case c[0].Task < o[0].Task:
			merged, c = append(merged, c[0]), c[1:]
		case c[0].Task > o[0].Task:
			merged, o = append(merged, o[0]), o[1:]
		default:
			both := FailureCount{Task: c[0].Task, Runs: max(c[0].Runs, o[0].Runs), Last: max(c[0].Last, o[0].Last)}
			merged, c, o = append(merged, both), c[1:], o[1:]
		}
	}
	return append(append(merged, c...), o...)
}
