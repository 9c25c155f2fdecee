package schedule

import "time"

// cordon keeps new tasks off pending instances, so that they become idle: up to concurrency instances with lasting
// tasks, which leave one by one and take long, and if the wave is late, the first pending ones, as many as may be down
// in parallel.
func (s *Scheduler) cordon(w *wave, pending []string, concurrency int, late bool) {
	evicting := 0
	for n, id := range pending {
		worker := s.workerOf[id]
		if worker == nil || worker.removed {
			continue
		}
		selected := w.cordoned[id] || evicting < concurrency && worker.runsLasting() || late && n < w.MaxConcurrent
		if !selected {
			continue
		}
		w.cordoned[id] = true
		evicting++
		s.avoid(worker, "its maintenance is due", cordonTime)
		s.evictLasting(worker)
	}
}

// runsLasting reports whether the worker runs a lasting task, which runs until its job is cancelled.
func (w *workerState) runsLasting() bool {
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning {
			return true
		}
	}
	return false
}

const (
	// minEvicting is the minimum number of workers from which lasting tasks are evicted in parallel.
	minEvicting = 2
	// evictionTime is how long it takes to evict the lasting tasks of a worker within their disruption budgets: 4 s on
	// average on the large deployment.
	evictionTime = 4 * time.Second
)

// cordonTime is how long each call of cordon keeps tasks off an instance.
const cordonTime = time.Second

// evictLasting stops the worker's lasting tasks as far as their disruption budgets allow.
func (s *Scheduler) evictLasting(worker *workerState) {
	for _, r := range sortedRuns(worker.runs) {
		if r.task.step.spec.LongRunning && !r.stopping && r.mayDisrupt() {
			r.voluntary = true
			s.stop(r, "its instance is due for maintenance")
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

// isServing reports whether a responsive worker has listed a run of this lasting task as fully started.
func (t *task) isServing() bool {
	for _, r := range t.runs {
		if r.confirmedAt != 0 && !r.stopping && r.percent >= servingPercent && r.worker.unresponsiveSince == 0 {
			return true
		}
	}
	return false
}

// servingPercent is the progress of a lasting task that is fully started; fullPace is the pace of a run that is not
// throttled.
const (
	servingPercent = 100
	fullPace       = 100
)
