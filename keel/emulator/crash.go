package emulator

import (
	"time"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// crashesBeforeLimit is the number of crashes of a task after which its further starts are counted.
	crashesBeforeLimit = 3
	// maxStartsAfterCrashes is the number of these starts from which a guarantee is broken.
	maxStartsAfterCrashes = 3
	// crashesToFail is the number of crashes after which the task's job may be shown as failed.
	crashesToFail = 2
)

// crashRecord counts the workers that have crashed under a task, for whatever reason.
type crashRecord struct {
	crashes int
	// startsAfter counts the starts after crashesBeforeLimit crashes.
	startsAfter int
}

// MakeDeadly makes a task of a submitted job, in its first occurrence, crash each worker that starts it, after the time.
func (c *Checker) MakeDeadly(id work.TaskID, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id.Job]
	if j.deadly == nil {
		j.deadly = make(map[work.TaskID]time.Duration)
	}
	j.deadly[id] = after
}

// IsDeadly reports whether some task of the job crashes its workers.
func (c *Checker) IsDeadly(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs[job].deadly) > 0
}

// Crashes returns the number of workers that have crashed under the deadly tasks of a job.
func (c *Checker) Crashes(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id := range c.jobs[job].deadly {
		n += c.jobs[job].task(id).crash.crashes
	}
	return n
}

// crashesAfter returns the time after which a run of the task crashes its worker, and false if it doesn't.
func (c *Checker) crashesAfter(id work.TaskID) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id.Job]
	if j == nil {
		return 0, false
	}
	after, ok := j.deadly[id]
	return after, ok
}

// checkCrashes reports a start of a deadly task that has crashed too many workers, unless the order was carried out late.
func (c *Checker) checkCrashes(w *Worker, j *jobRecord, task *taskRecord, o worker.StartOrder) {
	_, deadly := j.deadly[o.Task]
	if !deadly || task.crash.crashes < crashesBeforeLimit || w.executesLate {
		return
	}
	task.crash.startsAfter++
	if task.crash.startsAfter == maxStartsAfterCrashes {
		c.reportLocked("%s run %d is the third start after the task has crashed %d workers", o.Task, o.Run, task.crash.crashes)
	}
}

// mayFailForCrashes reports whether so many workers have crashed under a deadly task of the job that the job may be shown as
// failed. A job whose tasks can be done must not, however many workers crash under them.
func (j *jobRecord) mayFailForCrashes() bool {
	for id := range j.deadly {
		if j.task(id).crash.crashes >= crashesToFail {
			return true
		}
	}
	return false
}

// crashLater crashes the run's worker after the time, if the run is still there.
func (w *Worker) crashLater(r *run, after time.Duration) {
	time.AfterFunc(after, func() {
		f := w.fleet
		f.mu.Lock()
		defer f.mu.Unlock()
		w.updateLocked()
		if w.ended || w.runs[r.task] != r {
			return
		}
		f.crashLocked(w.instance, f.Times.CrashTime)
		f.downByTasks[w.pool]++
		f.peakDownByTasks = max(f.peakDownByTasks, f.downByTasks[w.pool])
		time.AfterFunc(f.Times.CrashTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.downByTasks[w.pool]--
		})
	})
}

// recordCrash records that the worker crashes under its runs.
func (c *Checker) recordCrash(w *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range w.runs {
		c.jobs[id.Job].task(id).crash.crashes++
	}
}

// HasEnded reports whether the last worker at the address has ended.
func (f *Fleet) HasEnded(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[address]
	return w == nil || w.ended
}

// PeakDownByTasks returns the largest number of workers of one pool that were down at a time because of tasks that crash
// their workers.
func (f *Fleet) PeakDownByTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peakDownByTasks
}
