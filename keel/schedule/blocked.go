package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
)

// blockage is why an instance can't become idle for its maintenance.
type blockage struct {
	reason blockReason
	task   *task
	since  time.Duration
}

// blockReason is the reason why a task keeps an instance from becoming idle.
type blockReason string

const (
	// overBudget means that the long-running task may not be stopped within its disruption budget.
	overBudget blockReason = "disruption_budget"
	// endsLate means that the task is expected to end after the wave's deadline.
	endsLate blockReason = "ends_late"
)

// updateBlocked updates which of the wave's pending instances are blocked, and logs each change.
func (s *Scheduler) updateBlocked(w *wave, pending []string, now time.Duration) {
	before := w.blocked
	w.blocked = make(map[string]*blockage)
	f := blockageFinder{s: s, now: now, timeToEnd: max(w.timeToDeadline(now), s.evictionWait()), steps: make(map[*stepState]unavailableTasks)}
	for _, id := range pending {
		worker := s.workerOf[id]
		if worker == nil {
			continue
		}
		b := f.find(worker)
		if b != nil {
			w.blocked[id] = b
		}
	}
	s.selectLate(w, pending, now)
	for _, id := range pending {
		b, known := w.blocked[id], before[id]
		if b == nil {
			continue
		}
		if known != nil {
			b.since = known.since
		}
		if known == nil || known.task != b.task {
			f.log(w, id, b)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if w.blocked[id] == nil {
			s.Log.Write(event.MaintenanceUnblocked, event.Fields{"wave": w.Number, "instance": id, "blocked_ms": (now - before[id].since).Milliseconds()})
		}
	}
}

// selectLate unblocks one of the instances whose tasks take long once the wave is late, so that it becomes idle although such
// tasks keep coming. If tasks then lack a worker in a pool that is mostly free, it waits as long as the wave was to take.
func (s *Scheduler) selectLate(w *wave, pending []string, now time.Duration) {
	if w.timeToDeadline(now) > 0 || now < w.lateFrom {
		return
	}
	isLate := func(id string) bool { return w.blocked[id] != nil && w.blocked[id].reason == endsLate }
	if !isLate(w.late) {
		i := slices.IndexFunc(pending, isLate)
		if i < 0 {
			return
		}
		w.late = pending[i]
	}
	p := s.workerOf[w.late].pool
	if p.missing.workers > 0 && p.isMostlyFree() {
		w.lateFrom = now + time.Duration(w.DeadlineSeconds*float64(time.Second))
		return
	}
	delete(w.blocked, w.late)
}

// blockedInstances returns the number of blocked instances of all waves.
func (w *waveState) blockedInstances() int {
	n := 0
	for _, wave := range w.waves {
		if !wave.completed {
			n += len(wave.blocked)
		}
	}
	return n
}

// blockageFinder finds the blockages of a wave's instances at one time.
type blockageFinder struct {
	s   *Scheduler
	now time.Duration
	// timeToEnd is the time that tasks have to end by themselves.
	timeToEnd time.Duration
	// steps holds the unavailable tasks of the steps that were examined, of which the runs on many instances may be.
	steps map[*stepState]unavailableTasks
}

// unavailableTasks counts the tasks of a long-running step that don't serve, and those of them that aren't about to. It has
// the task that has not served for longest, and since when.
type unavailableTasks struct {
	all, lasting int
	longest      *task
	since        time.Duration
}

func (f *blockageFinder) log(w *wave, instance string, b *blockage) {
	fields := event.Fields{
		"wave": w.Number, "instance": instance, "worker": f.s.workerOf[instance].ID, "reason": string(b.reason), "task": b.task.id().String(),
		"budget": b.task.step.spec.DisruptionBudget, "unavailable": 0, "longest": "", "unavailable_ms": 0,
	}
	others := f.unavailableOthers(b.task)
	if b.reason == overBudget && others.all > 0 {
		fields["unavailable"], fields["longest"] = others.all, others.longest.id().String()
		fields["unavailable_ms"] = (f.now - others.since).Milliseconds()
	}
	f.s.Log.Write(event.MaintenanceBlocked, fields)
}

// find returns what keeps the worker from becoming idle, nil if nothing does: a budget rather than the time that a task takes.
func (f *blockageFinder) find(w *workerState) *blockage {
	var found *blockage
	var of *run
	for _, r := range w.runs {
		reason := f.reason(r)
		if reason == "" || found != nil && cmp.Or(cmp.Compare(found.reason, reason), compareRuns(of, r)) < 0 {
			continue
		}
		found, of = &blockage{reason: reason, task: r.task, since: f.now}, r
	}
	return found
}

// reason returns why the run keeps its worker from becoming idle, empty if it doesn't.
func (f *blockageFinder) reason(r *run) blockReason {
	longRunning := r.task.step.spec.LongRunning
	switch {
	case r.stopping:
	case longRunning && f.isEvictionBlocked(r):
		return overBudget
	case !longRunning && r.timeToEnd(f.now) > f.timeToEnd:
		return endsLate
	}
	return ""
}

// isEvictionBlocked reports whether the disruption budget isn't expected to allow soon that the run is stopped: it is used up by
// tasks that aren't about to serve again, or the eviction has waited for it for long.
func (f *blockageFinder) isEvictionBlocked(r *run) bool {
	others, budget := f.unavailableOthers(r.task), r.task.step.spec.DisruptionBudget
	if !r.task.step.spec.HasDisruptionBudget || others.all < budget {
		r.evictionDueSince = 0
		return false
	}
	waited := r.evictionDueSince != 0 && f.now-r.evictionDueSince > f.s.evictionWait()
	return waited || others.lasting >= budget
}

// unavailableOthers counts the other tasks of the step that are unavailable.
func (f *blockageFinder) unavailableOthers(t *task) unavailableTasks {
	u, known := f.steps[t.step]
	if !known {
		for _, other := range t.step.tasks {
			f.count(&u, other, 1)
		}
		f.steps[t.step] = u
	}
	f.count(&u, t, -1)
	return u
}

// count adds n for the task if it is unavailable.
func (f *blockageFinder) count(u *unavailableTasks, t *task, n int) {
	if t.isServing() {
		return
	}
	u.all += n
	if !f.s.mayServeSoon(t, f.now) {
		u.lasting += n
	}
	since := cmp.Or(t.servingAt, t.readySince)
	if u.longest == nil || since < u.since {
		u.longest, u.since = t, since
	}
}

// timeToEnd estimates the time until a run that isn't long-running ends. A run that takes longer than estimated is expected to
// take as much longer once more.
func (r *run) timeToEnd(now time.Duration) time.Duration {
	left := r.task.step.estimate
	if r.confirmedAt != 0 {
		left -= now - r.confirmedAt
	}
	return max(left, -left)
}

// evictionWait is how long an eviction may wait for the disruption budget. A task that was stopped for a maintenance serves
// again within that time, at the latest on the instance that has returned.
func (s *Scheduler) evictionWait() time.Duration { return s.Bounds.MaintenanceTime + returnGrace }

// mayServeSoon reports whether the task served, or was started, so recently that it is about to serve again. A new leader
// doesn't know when a task without a run has served.
func (s *Scheduler) mayServeSoon(t *task, now time.Duration) bool {
	recent := now - s.evictionWait()
	if t.servingAt > max(0, recent) {
		return true
	}
	return slices.ContainsFunc(t.runs, func(r *run) bool { return !r.stopping && r.worker.unresponsiveSince == 0 && r.ordered > recent })
}

// recordServing records that the run's long-running task serves, if it does.
func (r *run) recordServing(now time.Duration) {
	if r.task.step.spec.LongRunning && r.task.isServing() {
		r.task.servingAt = now
	}
}
