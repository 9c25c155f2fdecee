package work

import (
	"iter"
	"strconv"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
)

// Size is an amount of resources: what a task needs or a worker provides.
type Size struct {
	MilliCores   int64 `json:"cpu,omitempty"`
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
}

// Plus returns the sum of both.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCores + o.MilliCores, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns the difference of both, which may be negative.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCores - o.MilliCores, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// Holds reports whether o fits into s in every dimension.
func (s Size) Holds(o Size) bool {
	return o.MilliCores <= s.MilliCores && o.MemoryMB <= s.MemoryMB && o.Accelerators <= s.Accelerators
}

// Step is a number of equal tasks of a job.
type Step struct {
	Count int  `json:"n"`
	Size  Size `json:"size"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `json:"est,omitempty"`
	// After lists the indexes of the earlier steps that must complete first.
	After []int `json:"after,omitempty"`
	// Gang reports that the tasks must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// SameRack reports that the tasks are slower if they run on several racks.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the worker must have, empty for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that stores the step's data, empty for none.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence of the step on one worker; 0 means no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative reports that several runs of one task may be active at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// Checkpoints reports that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// LongRunning reports that the tasks are services, which run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program that the tasks run; tasks with the same image are expected to behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the objective for the tail latency of tasks that serve users; 0 for other tasks.
	LatencyTarget time.Duration `json:"latency_target,omitempty"`
	// BestEffort reports that the tasks are best-effort and use only processor time that other tasks leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// DisruptionBudget is the maximum number of tasks that the scheduler itself may make unavailable at the same time.
	DisruptionBudget int `json:"disruption_budget,omitempty"`
	// HasDisruptionBudget reports that the step has a disruption budget, which may be 0.
	HasDisruptionBudget bool `json:"budgeted,omitempty"`
}

// Job is a job as a caller submitted it; it is immutable.
type Job struct {
	ID string `json:"id"`
	// Queue is the name of the queue.
	Queue string `json:"queue"`
	// Tenant is the name of the tenant that submitted the job, empty for none. It isn't part of Digest.
	Tenant string `json:"tenant,omitempty"`
	Spec   string `json:"spec"`
	Steps  []Step `json:"steps"`
	// Occurrences is the number of times that the steps run; 0 for a job that runs once and has no due time.
	Occurrences int `json:"occurrences,omitempty"`
	// First is the due time of occurrence 0, since 1970, and Interval the time between two due times; 0 without due
	// times.
	First    time.Duration `json:"first,omitempty"`
	Interval time.Duration `json:"interval,omitempty"`
	// Accepted is the wall-clock time in milliseconds since 1970 at which the job was accepted.
	Accepted int64 `json:"accepted"`
	// Home is the data centre whose workers run the job's tasks, in addition to those in Progress.RemoteDataCentres;
	// empty for a job whose tasks may run in any data centre.
	Home string `json:"home,omitempty"`
	// Terms are the terms under which the job was accepted, nil in rows of earlier versions; they aren't part of Digest.
	Terms *queue.Terms `json:"terms,omitempty"`
	// Digest is a hash of the submission, which distinguishes a repeat from another job with the same ID.
	Digest uint64 `json:"digest"`
}

// OccurrenceCount returns the number of occurrences, at least 1.
func (j *Job) OccurrenceCount() int { return max(1, j.Occurrences) }

// HasDueTimes reports whether the job's occurrences have due times.
func (j *Job) HasDueTimes() bool { return j.Occurrences > 0 }

// Due returns the due time of an occurrence since 1970, 0 for a job without due times.
func (j *Job) Due(occurrence int) time.Duration {
	if !j.HasDueTimes() {
		return 0
	}
	return j.First + time.Duration(occurrence)*j.Interval
}

// Tasks returns the number of tasks of all occurrences.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n * j.OccurrenceCount()
}

// AllTasks returns all tasks of the job, numbered from 0 in the order of occurrences, steps and indexes.
func (j *Job) AllTasks() iter.Seq2[int, TaskID] {
	return func(yield func(int, TaskID) bool) {
		n := 0
		for k := range j.OccurrenceCount() {
			for i := range j.Steps {
				for index := range j.Steps[i].Count {
					if !yield(n, TaskID{Job: j.ID, Occurrence: k, Step: i, Index: index}) {
						return
					}
					n++
				}
			}
		}
	}
}

// LongRunning reports whether some step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// The limits of a submission, so that one job can't exhaust the memory of an entry.
const (
	maxSpecBytes   = 4000
	MaxSteps       = 1000
	maxTasks       = 100_000
	maxOccurrences = 100_000
)

// Check fails with kind BadRequest if the submission is malformed or exceeds a limit.
func (j *Job) Check() error {
	switch {
	case len(j.Spec) > maxSpecBytes:
		return fault.New(fault.BadRequest, "spec: %d bytes, at most %d", len(j.Spec), maxSpecBytes)
	case len(j.Steps) == 0:
		return fault.New(fault.BadRequest, "steps: none given, at least 1 required")
	case len(j.Steps) > MaxSteps:
		return fault.New(fault.BadRequest, "steps: %d, at most %d", len(j.Steps), MaxSteps)
	case j.Occurrences < 0 || j.Occurrences > maxOccurrences:
		return fault.New(fault.BadRequest, "occurrences: %d, must be from 0 to %d", j.Occurrences, maxOccurrences)
	case j.Occurrences > 0 && (j.First < 0 || j.Interval < 0):
		return fault.New(fault.BadRequest, "occurrences: negative start time or interval")
	}
	for i, s := range j.Steps {
		err := s.check(i)
		if err != nil {
			return err
		}
	}
	if j.Tasks() > maxTasks {
		return fault.New(fault.BadRequest, "steps: %d tasks, at most %d", j.Tasks(), maxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fault.New(fault.BadRequest, "steps[%d]: %d tasks, out of range", index, s.Count)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.DisruptionBudget < 0 {
		return fault.New(fault.BadRequest, "steps[%d]: negative number", index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fault.New(fault.BadRequest, "steps[%d]: depends on step %d, which is not an earlier step", index, earlier)
		}
	}
	return nil
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name by which workers know the task.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in one occurrence.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses the name of a task as String returns it, and returns false for any other text.
func ParseTaskID(name string) (TaskID, bool) {
	job, rest, ok := strings.Cut(name, ".")
	first, rest, ok1 := strings.Cut(rest, ".")
	second, third, ok2 := strings.Cut(rest, ".")
	if !ok || !ok1 || !ok2 {
		return TaskID{}, false
	}
	occurrence, err1 := strconv.Atoi(first)
	step, err2 := strconv.Atoi(second)
	index, err3 := strconv.Atoi(third)
	if err1 != nil || err2 != nil || err3 != nil || occurrence < 0 || step < 0 || index < 0 {
		return TaskID{}, false
	}
	return TaskID{job, occurrence, step, index}, true
}

// ValidID reports whether the text is a valid job ID: 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
