package schedule

import "time"

// cordon keeps new tasks off some of the pending instances, so that they become idle, and evicts their long-running
// tasks. It selects up to concurrency instances with long-running tasks, because these leave one by one and take long, or any
// if the wave is behind schedule; no more than MaxConcurrent, as others would be idle while these are down. It leaves out
// blocked instances: without new tasks these would not become idle either.
func (s *Scheduler) cordon(w *wave, pending []string, concurrency int, behind bool) {
	mayCordon := func(id string) bool {
		worker := s.workerOf[id]
		return w.blocked[id] == nil && worker != nil && !worker.removed
	}
	cordoned := 0
	for _, id := range pending {
		if !mayCordon(id) {
			delete(w.cordoned, id)
		}
		if w.cordoned[id] {
			cordoned++
		}
	}
	for _, id := range pending {
		if !mayCordon(id) {
			continue
		}
		worker := s.workerOf[id]
		if !w.cordoned[id] {
			if cordoned >= w.MaxConcurrent || !behind && (cordoned >= concurrency || !worker.hasLongRunningTask()) {
				continue
			}
			w.cordoned[id] = true
			cordoned++
		}
		s.extendAvoidance(worker, &worker.cordonedUntil, "its maintenance is due", cordonTime)
		s.evictLongRunning(worker)
	}
}

// hasLongRunningTask reports whether the worker runs a long-running task.
func (w *workerState) hasLongRunningTask() bool {
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			return true
		}
	}
	return false
}

const (
	// minEvictionConcurrency is the number of workers from which long-running tasks are evicted in parallel while a
	// wave has time to spare.
	minEvictionConcurrency = 2
	// evictionTime is the time that evicting a worker's long-running tasks within their disruption budgets takes: 4 s
	// on average on the large deployment.
	evictionTime = 4 * time.Second
)

// cordonTime is how long each call of cordon keeps tasks off an instance.
const cordonTime = time.Second

// evictLongRunning stops the worker's long-running tasks as far as their disruption budgets allow.
func (s *Scheduler) evictLongRunning(worker *workerState) {
	now := s.Now()
	for _, r := range sortedRuns(worker.runs) {
		if !r.task.step.spec.LongRunning || r.stopping {
			continue
		}
		if r.mayDisrupt() {
			r.voluntary = true
			s.stop(r, "its instance is due for maintenance")
			continue
		}
		if r.evictionDueSince == 0 {
			r.evictionDueSince = now
		}
	}
}

// mayDisrupt reports whether the step's disruption budget allows this run to be stopped.
func (r *run) mayDisrupt() bool {
	step := r.task.step
	if !step.spec.HasDisruptionBudget {
		return true
	}
	notServing := 0
	for _, t := range step.tasks {
		if t != r.task && !t.isServing() {
			notServing++
		}
	}
	return notServing < step.spec.DisruptionBudget
}

// isServing reports whether a responsive worker has listed a run of this long-running task as fully started.
func (t *task) isServing() bool {
	for _, r := range t.runs {
		if r.confirmedAt != 0 && !r.stopping && r.percent >= servingPercent && r.worker.unresponsiveSince == 0 {
			return true
		}
	}
	return false
}

// servingPercent is the progress of a long-running task that is fully started; fullSpeedPercent is the speed of a run
// that is not throttled.
const (
	servingPercent   = 100
	fullSpeedPercent = 100
)
