package emulator

import (
	"slices"
	"time"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// checkStart reports each guarantee that the start of a run breaks.
func (c *Checker) checkStart(w *Worker, j *jobRecord, task *taskRecord, step *work.Step, o worker.StartOrder) {
	now := time.Now()
	if !step.Speculative && !w.startsUnasked(o) {
		for _, other := range task.running {
			if !other.ended {
				c.reportLocked("%s run %d starts on %s while it runs on %s", o.Task, o.Run, w.id, other.id)
			}
		}
	}
	if !mayStartAfterEnd(w, o, task, step, now) {
		c.reportLocked("%s run %d starts on %s after its end was acknowledged", o.Task, o.Run, w.id)
	}
	for _, earlier := range step.After {
		for n := range j.job.Steps[earlier].Count {
			predecessor := j.tasks[work.TaskID{Job: j.job.ID, Occurrence: o.Task.Occurrence, Step: earlier, Index: n}]
			if predecessor == nil || !predecessor.done {
				c.reportLocked("%s starts before step %d is done", o.Task, earlier)
			}
		}
	}
	if !j.cancelledAt.IsZero() && now.Sub(j.cancelledAt) > c.CancelTime {
		c.reportLocked("%s starts %s after its job was cancelled", o.Task, now.Sub(j.cancelledAt))
	}
	if step.Label != "" && !slices.Contains([]string{w.instance.rack}, step.Label) {
		c.reportLocked("%s starts on %s, which lacks label %s", o.Task, w.id, step.Label)
	}
	c.checkAttempts(w, j, task, step, o)
	c.checkCrashes(w, j, task, o)
	c.checkCapacity(w, step, o)
}

// mayStartAfterEnd reports whether the task may start in spite of an end that was acknowledged: a copy of a speculative
// task may for a second, and also later if its worker carries the order out late, since the order can't be recalled from
// a worker that is partitioned from the leader.
func mayStartAfterEnd(w *Worker, o worker.StartOrder, task *taskRecord, step *work.Step, now time.Time) bool {
	if task.acknowledgedAt.IsZero() || w.startsUnasked(o) {
		return true
	}
	return step.Speculative && (now.Sub(task.acknowledgedAt) <= time.Second || w.executesLate)
}

// checkCapacity checks that the runs of a worker fit its capacity and that the step's limit per worker is kept.
func (c *Checker) checkCapacity(w *Worker, step *work.Step, o worker.StartOrder) {
	used := sizeOf(step)
	sameStep := 1
	for _, r := range w.runs {
		used = used.Plus(sizeOf(r.step))
		if r.task.StepName() == o.Task.StepName() {
			sameStep++
		}
	}
	if !w.largestCapacity().Holds(used) {
		c.reportLocked("%s exceeds the capacity of worker %s: %+v in use", o.Task, w.id, used)
	}
	if step.MaxPerWorker > 0 && sameStep > step.MaxPerWorker {
		c.reportLocked("%s is one of %d tasks of its step on worker %s, at most %d allowed", o.Task, sameStep, w.id, step.MaxPerWorker)
	}
}

// sizeOf returns the capacity that a task of the step takes; best-effort tasks take no processor capacity.
func sizeOf(step *work.Step) work.Size {
	size := step.Size
	if step.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// recordEnd records the end of a run; kind is empty if the run ended because its worker did.
func (c *Checker) recordEnd(w *Worker, r *run, kind worker.EndKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[r.task.Job]
	if j == nil {
		return
	}
	task := j.task(r.task)
	for active, host := range task.running {
		if host == w && active.number == r.number {
			delete(task.running, active)
			c.removeUse(j, r.step)
		}
	}
	task.endedAt = time.Now()
	if r.step.LongRunning {
		task.unavailableSince = time.Now()
	}
	if kind == "" {
		return
	}
	if kind == worker.Done {
		task.done = true
		if r.step.Gang {
			for n := range r.step.Count {
				id := r.task
				id.Index = n
				j.task(id).done = true
			}
		}
	}
	if r.unasked {
		return
	}
	task.ends = append(task.ends, endRecord{worker: w, number: w.lastEnd, kind: kind, at: time.Now()})
}

// recordAcknowledgement records that a scheduler has acknowledged the ends of a worker up to a number.
func (c *Checker) recordAcknowledgement(w *Worker, number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range w.ends {
		if e.Number > number {
			continue
		}
		j := c.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		task := j.task(e.Task)
		switch e.Kind {
		case worker.Done:
			c.checkNotRepeated(w, task, e)
			if task.acknowledgedAt.IsZero() {
				task.acknowledgedAt = time.Now()
			}
		case worker.Failed:
			c.recordFailure(w, j, task, e)
		}
	}
}

// checkNotRepeated reports a task that has started again after the end that is being acknowledged. It may have if the lease
// of the worker that holds the end has expired since then.
func (c *Checker) checkNotRepeated(w *Worker, task *taskRecord, end worker.End) {
	if end.Number <= w.lapsedEnd || task.step == nil || task.step.Speculative {
		return
	}
	for _, e := range task.ends {
		if e.worker == w && e.number == end.Number && task.startedAt.After(e.at) {
			c.reportLocked("%s run %d has ended on %s, which is acknowledged after the task has started again", end.Task, end.Run, w.id)
		}
	}
}

// checkStop checks an order to stop a run against the disruption budget of its step.
func (c *Checker) checkStop(w *Worker, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordDisruption(w, r)
}

// checkEviction checks an order that ends all runs on an instance against the disruption budgets of their steps.
func (c *Checker) checkEviction(inst *instance) {
	if inst.worker == nil {
		return
	}
	inst.worker.updateLocked()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range inst.worker.sortedRuns() {
		c.recordDisruption(inst.worker, r)
	}
}

// recordDisruption checks the disruption budget of a long-running step when an order ends one of its ready tasks.
func (c *Checker) recordDisruption(w *Worker, r *run) {
	j := c.jobs[r.task.Job]
	if j == nil || !r.step.LongRunning || !r.step.HasDisruptionBudget || r.done < r.total || w.draining || !j.cancelledAt.IsZero() {
		return
	}
	unavailable := 0
	for n := range r.step.Count {
		id := r.task
		id.Index = n
		other := j.task(id)
		if n != r.task.Index && c.isUnavailable(other) {
			unavailable++
		}
	}
	if unavailable >= r.step.DisruptionBudget {
		c.reportLocked("%s is ended by an order while %d other tasks of its step are unavailable, at most %d allowed", r.task, unavailable, r.step.DisruptionBudget)
	}
	j.task(r.task).disrupted = true
}

// recordServing records that a run of a long-running task is ready. What ends it later is no longer the order that ended
// an earlier run.
func (c *Checker) recordServing(id work.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id.Job]
	if j != nil {
		j.task(id).disrupted = false
	}
}

// isUnavailable reports whether a long-running task counts against the disruption budget: it has no ready run, and
// either an order ended its last one or its last run ended more than Checker.DisruptionTime ago. It clears disrupted if
// a run is ready.
func (c *Checker) isUnavailable(task *taskRecord) bool {
	for active, w := range task.running {
		r := w.runs[active.task]
		if r != nil && r.done >= r.total {
			task.disrupted = false
			return false
		}
	}
	return task.disrupted || !task.unavailableSince.IsZero() && time.Since(task.unavailableSince) > c.DisruptionTime
}
