package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
)

// blockage is why an instance can't become idle for its maintenance: a long-running task that may not be stopped.
type blockage struct {
	task  *task
	since time.Duration
}

// updateBlocked updates which of the wave's pending instances are blocked, and logs each change.
func (s *Scheduler) updateBlocked(w *wave, pending []string, now time.Duration) {
	before := w.blocked
	w.blocked = make(map[string]*blockage)
	for _, id := range pending {
		t := s.blockingTask(s.workerOf[id], now)
		if t == nil {
			continue
		}
		w.blocked[id] = &blockage{task: t, since: now}
		if before[id] != nil {
			w.blocked[id].since = before[id].since
		}
		if before[id] == nil || before[id].task != t {
			s.logBlocked(w, id, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if w.blocked[id] == nil {
			s.Log.Write(event.MaintenanceUnblocked, event.Fields{"wave": w.Number, "instance": id, "blocked_ms": (now - before[id].since).Milliseconds()})
		}
	}
}

func (s *Scheduler) logBlocked(w *wave, instance string, now time.Duration) {
	t := w.blocked[instance].task
	unavailable, longest, since := 0, "", now
	for _, other := range t.step.tasks {
		if other == t || other.isServing() {
			continue
		}
		unavailable++
		servedAt := cmp.Or(other.servingAt, other.readySince)
		if servedAt < since {
			longest, since = other.id().String(), servedAt
		}
	}
	s.Log.Write(event.MaintenanceBlocked, event.Fields{
		"wave": w.Number, "instance": instance, "worker": s.workerOf[instance].ID, "task": t.id().String(), "budget": t.step.spec.DisruptionBudget,
		"unavailable": unavailable, "longest": longest, "unavailable_ms": (now - since).Milliseconds(),
	})
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

// blockingTask returns a long-running task that keeps the worker from becoming idle, nil if there is none.
func (s *Scheduler) blockingTask(w *workerState, now time.Duration) *task {
	if w == nil {
		return nil
	}
	for _, r := range sortedRuns(w.runs) {
		if r.task.step.spec.LongRunning && !r.stopping && s.isEvictionBlocked(r, now) {
			return r.task
		}
	}
	return nil
}

// evictionWait is how long an eviction may wait for the disruption budget. A task that was stopped for a maintenance serves
// again within that time, at the latest on the instance that has returned.
func (s *Scheduler) evictionWait() time.Duration { return s.Bounds.MaintenanceTime + returnGrace }

// isEvictionBlocked reports whether the disruption budget isn't expected to allow soon that the run is stopped: it is used up by
// tasks that aren't about to serve again, or the eviction has waited for it for long.
func (s *Scheduler) isEvictionBlocked(r *run, now time.Duration) bool {
	if r.mayDisrupt() {
		r.evictionDueSince = 0
		return false
	}
	if r.evictionDueSince != 0 && now-r.evictionDueSince > s.evictionWait() {
		return true
	}
	return !r.othersMayStayAway(func(t *task) bool { return !t.isServing() && !s.mayServeSoon(t, now) })
}

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
