package emulator

import (
	"time"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// failedRuns holds the failed runs of a task by number, with the times of their ends.
type failedRuns struct {
	// listed holds those that a worker has listed.
	listed map[int64]bool
	// acknowledged holds those that a scheduler has acknowledged while the worker's lease had not expired since the end;
	// acknowledgedAt is when it last did.
	acknowledged   map[int64]time.Time
	acknowledgedAt time.Time
}

// SetAttempts sets the number of failed runs of a task after which a job of the queue fails.
func (c *Checker) SetAttempts(queue string, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[queue] = attempts
}

// recordListed records the failed runs among the ends that a worker lists.
func (c *Checker) recordListed(ends []worker.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range ends {
		j := c.jobs[e.Task.Job]
		if j != nil && e.Kind == worker.Failed {
			j.task(e.Task).failed.listed[e.Run] = true
		}
	}
}

// recordFailure records that a scheduler has acknowledged a failed run, and reports a start of the task after as many failed
// runs as its queue allows.
func (c *Checker) recordFailure(w *Worker, j *jobRecord, task *taskRecord, end worker.End) {
	task.failed.listed[end.Run] = true
	if end.Number <= w.lapsedEnd {
		return
	}
	for _, e := range task.ends {
		if e.worker == w && e.number == end.Number {
			task.failed.acknowledged[end.Run] = e.at
		}
	}
	task.failed.acknowledgedAt = time.Now()
	limit := c.attempts[j.job.Queue]
	if limit == 0 || task.step == nil || task.step.LongRunning || task.step.Speculative || len(task.failed.acknowledged) < limit {
		return
	}
	for _, at := range task.failed.acknowledged {
		if !task.startedAt.After(at) {
			return
		}
	}
	c.reportLocked("%s has started after %d failed runs, of which the last is acknowledged now; its queue allows %d", end.Task, len(task.failed.acknowledged), limit)
}

// checkAttempts reports the start of a task after as many acknowledged failed runs as its queue allows. A copy of a
// speculative task may start for a second, and later if its worker carries the order out late.
func (c *Checker) checkAttempts(w *Worker, j *jobRecord, task *taskRecord, step *work.Step, o worker.StartOrder) {
	limit := c.attempts[j.job.Queue]
	if limit == 0 || step.LongRunning || step.Speculative && (w.executesLate || time.Since(task.failed.acknowledgedAt) <= time.Second) {
		return
	}
	numbers := make(map[int64]bool)
	for _, other := range j.counted(o.Task) {
		for number := range other.failed.acknowledged {
			numbers[number] = true
		}
	}
	if len(numbers) >= limit {
		c.reportLocked("%s run %d starts after %d failed runs, its queue allows %d", o.Task, o.Run, len(numbers), limit)
	}
}

// exhausted reports whether workers have listed as many failed runs of a task as the job's queue allows, or one if that
// isn't known.
func (c *Checker) exhausted(j *jobRecord) bool {
	limit := max(1, c.attempts[j.job.Queue])
	for id := range j.tasks {
		if j.job.Steps[id.Step].LongRunning {
			continue
		}
		numbers := make(map[int64]bool)
		for _, other := range j.counted(id) {
			for number := range other.failed.listed {
				numbers[number] = true
			}
		}
		if len(numbers) >= limit {
			return true
		}
	}
	return false
}

// counted returns the tasks whose failed runs count together: all members of a gang, otherwise the task.
func (j *jobRecord) counted(id work.TaskID) []*taskRecord {
	if !j.job.Steps[id.Step].Gang {
		return []*taskRecord{j.task(id)}
	}
	var members []*taskRecord
	for index := range j.job.Steps[id.Step].Count {
		id.Index = index
		members = append(members, j.task(id))
	}
	return members
}
