package emulator

import (
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// restartTime is the time after the end of a long-running task's last run from which the task must run again.
	restartTime = 6 * time.Second
	// maxStall is the time for which a task may be without a run although its turn has come and its pool has room.
	maxStall = 3 * time.Second
	// settleTime is the time before a stall in which no entry and no partition of the store may be disturbed.
	settleTime = 4 * time.Second
	// roomFactor is the number of tasks of its size for which the pool of a stalled task must have room.
	roomFactor = 2
	// maxUse is the share of a pool's processor capacity in use from which jobs may wait at the end of a test.
	maxUse = 0.5
	// watchInterval is the interval between two checks for stalls.
	watchInterval = 250 * time.Millisecond
)

// FaultBegan records the start of a fault that disturbs entries or their access to the store; FaultEnded must follow.
func (c *Checker) FaultBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults++
}

// FaultEnded records the end of a fault that FaultBegan recorded.
func (c *Checker) FaultEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults--
	c.disturbedAt = time.Now()
}

// isSettled reports whether no fault disturbed entries or the store in the last maxStall and the settleTime before it.
func (c *Checker) isSettled() bool {
	return c.activeFaults == 0 && time.Since(c.disturbedAt) >= maxStall+settleTime
}

// CancelRequested records that a caller is about to cancel a job, which may stop running before the response.
func (c *Checker) CancelRequested(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// Watch reports each long-running task that stays without a run beside free capacity, until the fleet is stopped.
func (c *Checker) Watch() {
	for {
		time.Sleep(watchInterval)
		c.fleet.mu.Lock()
		stopped := c.fleet.stopped
		if !stopped {
			c.checkStalls(c.usableWorkers())
			if c.MaxSlowdown > 0 {
				c.checkHarm()
			}
		}
		c.fleet.mu.Unlock()
		if stopped {
			return
		}
	}
}

func (c *Checker) checkStalls(usable map[string][]*Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if !j.mustRun() {
			continue
		}
		for i := range j.job.Steps {
			if j.job.Steps[i].LongRunning {
				c.checkLongRunning(j, i, usable[c.QueuePools[j.job.Queue]])
			}
		}
		c.updateIdle(j, usable[c.QueuePools[j.job.Queue]])
	}
}

// mustRun reports whether the job was accepted and neither cancelled nor ended.
func (j *jobRecord) mustRun() bool {
	return j.accepted && !j.cancelRequested && j.cancelledAt.IsZero() && j.completedAt.IsZero() && !j.failed && !j.poisoned && len(j.deadly) == 0
}

// checkLongRunning reports each task of a long-running step that has been stalled for maxStall.
func (c *Checker) checkLongRunning(j *jobRecord, stepIndex int, workers []*Worker) {
	step := &j.job.Steps[stepIndex]
	for n := range step.Count {
		t := j.task(work.TaskID{Job: j.job.ID, Step: stepIndex, Index: n})
		recent := !t.endedAt.IsZero() && time.Since(t.endedAt) < restartTime
		if len(t.running) > 0 || recent || !c.turnHasCome(j, 0, step) || !hasRoom(workers, j.job.ID, stepIndex, step) {
			t.stalledAt, t.stallReported = time.Time{}, false
			continue
		}
		if t.stalledAt.IsZero() {
			t.stalledAt = time.Now()
		}
		if time.Since(t.stalledAt) >= maxStall && c.isSettled() && !t.stallReported {
			t.stallReported = true
			c.reportLocked("long-running task %s.0.%d.%d has had no run for %s although its pool has room", j.job.ID, stepIndex, n, c.timeWithoutRun(j, t))
		}
	}
}

// timeWithoutRun returns the time since the end of the task's last run, or since its job was accepted.
func (c *Checker) timeWithoutRun(j *jobRecord, t *taskRecord) time.Duration {
	if t.endedAt.IsZero() {
		return time.Since(j.acceptedAt)
	}
	return time.Since(t.endedAt)
}

// updateIdle records since when the job has had no run although the turn of one of its tasks has come and its pool has
// room.
func (c *Checker) updateIdle(j *jobRecord, workers []*Worker) {
	if j.hasRun() || !c.hasWaitingTask(j, workers) || useOf(workers) >= maxUse {
		j.idleSince = time.Time{}
		return
	}
	if j.idleSince.IsZero() {
		j.idleSince = time.Now()
	}
}

// CheckFinalStalls reports the jobs that have had no run in the last maxStall although the turn of one of their tasks
// has come and their pool has room; it relies on Watch and is for the end of a test, when no traffic competes.
func (c *Checker) CheckFinalStalls() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isSettled() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.mustRun() && !j.idleSince.IsZero() && time.Since(j.idleSince) >= maxStall {
			c.reportLocked("job %s has had no run for %s although its pool has room", id, time.Since(j.idleSince))
		}
	}
}

// LongestIdle returns the job that has had no run for longest although it could, and the beginning of that; it relies on
// Watch. The ID is empty if there is no such job.
func (c *Checker) LongestIdle() (id string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[name]
		if j.mustRun() && !j.idleSince.IsZero() && (id == "" || j.idleSince.Before(since)) {
			id, since = name, j.idleSince
		}
	}
	return id, since
}

func (j *jobRecord) hasRun() bool {
	for _, t := range j.tasks {
		if len(t.running) > 0 {
			return true
		}
	}
	return false
}

// hasWaitingTask reports whether the turn of a task has come for which the workers have room.
func (c *Checker) hasWaitingTask(j *jobRecord, workers []*Worker) bool {
	for k := range j.job.OccurrenceCount() {
		for i := range j.job.Steps {
			step := &j.job.Steps[i]
			if !j.stepDone(k, i) && c.turnHasCome(j, k, step) && hasRoom(workers, j.job.ID, i, step) {
				return true
			}
		}
	}
	return false
}

// turnHasCome reports whether the occurrence is due and all steps that the step depends on are done.
func (c *Checker) turnHasCome(j *jobRecord, occurrence int, step *work.Step) bool {
	if time.Duration(time.Now().UnixNano()) < j.job.Due(occurrence) {
		return false
	}
	for _, earlier := range step.After {
		if !j.stepDone(occurrence, earlier) {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step are done and need no further run.
func (j *jobRecord) stepDone(occurrence, index int) bool {
	step := &j.job.Steps[index]
	for n := range step.Count {
		t := j.tasks[work.TaskID{Job: j.job.ID, Occurrence: occurrence, Step: index, Index: n}]
		done := t != nil && t.finished()
		if step.Gang && done {
			return true
		}
		if !step.Gang && !done {
			return false
		}
	}
	return !step.Gang
}

// finished reports whether a scheduler has acknowledged that the task is done, or its worker still reports that.
func (t *taskRecord) finished() bool {
	if !t.acknowledgedAt.IsZero() {
		return true
	}
	for _, e := range t.ends {
		if e.kind == worker.Done && !e.worker.ended {
			return true
		}
	}
	return false
}

// usableWorkers returns, by pool, the healthy workers that every caller can reach.
func (c *Checker) usableWorkers() map[string][]*Worker {
	usable := make(map[string][]*Worker)
	for _, inst := range c.fleet.instances {
		w := inst.worker
		if w != nil && inst.state == provider.Up && w.isUsable() {
			w.updateLocked()
			usable[w.pool] = append(usable[w.pool], w)
		}
	}
	return usable
}

func (w *Worker) isUsable() bool {
	if w.ended || w.draining || w.unreachable || w.silent || w.disturbed || w.behaviour != (Behaviour{}) {
		return false
	}
	for _, dataCentres := range w.fleet.partitioned {
		if dataCentres[w.instance.dataCentre] {
			return false
		}
	}
	return true
}

// hasRoom reports whether the workers have room for roomFactor tasks of the step, or for as many gangs.
func hasRoom(workers []*Worker, job string, index int, step *work.Step) bool {
	needed := roomFactor
	if step.Gang {
		needed *= step.Count
	}
	for _, w := range workers {
		needed -= w.roomFor(job, index, step, needed)
	}
	return needed <= 0
}

// roomFor returns how many tasks of the step the worker has room for, at most the limit.
func (w *Worker) roomFor(job string, index int, step *work.Step, limit int) int {
	policy := w.fleet.Policy
	if step.Label != "" && step.Label != w.instance.rack || policy != nil && !policy.permits(work.TaskID{Job: job, Step: index}.StepName(), w.id) {
		return 0
	}
	used, sameStep := work.Size{}, 0
	for _, r := range w.runs {
		used = used.Plus(sizeOf(r.step))
		if r.task.Job == job && r.task.Step == index {
			sameStep++
		}
	}
	n := 0
	for n < limit && (step.MaxPerWorker == 0 || sameStep+n < step.MaxPerWorker) {
		used = used.Plus(sizeOf(step))
		if !w.smallestCapacity().Holds(used) {
			break
		}
		n++
	}
	return n
}

// useOf returns the share of the workers' processor capacity that is in use, 1 without workers.
func useOf(workers []*Worker) float64 {
	used, total := int64(0), int64(0)
	for _, w := range workers {
		total += w.smallestCapacity().MilliCores
		for _, r := range w.runs {
			used += sizeOf(r.step).MilliCores
		}
	}
	if total == 0 {
		return 1
	}
	return float64(used) / float64(total)
}
