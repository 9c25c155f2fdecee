package emulator

import (
	"time"

	"samphirekeel.example/keel/work"
)

// CheckPending checks a number of pending jobs of the queue that a caller was shown: at least half of the untimed jobs that were
// accepted more than maxAge before the request, are not cancelled, and of which no worker has begun a task.
func (c *Checker) CheckPending(queue, entry string, shown int, asked time.Time, maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := 0
	for _, j := range c.jobs {
		if j.job.Queue == queue && j.isPendingSince(asked.Add(-maxAge)) {
			due++
		}
	}
	if 2*shown < due {
		c.reportLocked("%s shows %d pending jobs of queue %s, but %d accepted over %v before have not begun", entry, shown, queue, due, maxAge)
	}
}

// isPendingSince reports whether the job was accepted before the time and no worker has begun one of its tasks.
func (j *jobRecord) isPendingSince(t time.Time) bool {
	if !j.accepted || !j.acceptedAt.Before(t) || j.cancelRequested || j.job.OccurrenceCount() > 1 {
		return false
	}
	return !j.hasBegun()
}

// hasBegun reports whether a worker has begun a task of the job.
func (j *jobRecord) hasBegun() bool {
	for i := range j.job.Steps {
		for n := range j.job.Steps[i].Count {
			t := j.tasks[work.TaskID{Job: j.job.ID, Step: i, Index: n}]
			if t != nil && !t.startedAt.IsZero() {
				return true
			}
		}
	}
	return false
}
