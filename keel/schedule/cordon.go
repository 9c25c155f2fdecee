package schedule

import "time"

// cordon keeps tasks off the instances that are next, so that they become idle: a few whose lasting tasks must leave one
// after the other, which takes long, and as many as may be down at once if the wave would be late otherwise.
func (s *Scheduler) cordon(w *wave, todo []string, atOnce int, late bool) {
	vacating := 0
	for n, id := range todo {
		h := s.byInstance[id]
		if h == nil || h.gone {
			continue
		}
		chosen := w.vacating[id] || vacating < atOnce && h.lasting() || late && n < w.MaxConcurrent
		if !chosen {
			continue
		}
		w.vacating[id] = true
		vacating++
		s.avoid(h, "its maintenance is due", cordonTime)
		s.vacate(h)
	}
}

// lasting reports whether some task on the worker runs until its job is cancelled.
func (h *host) lasting() bool {
	for _, r := range h.runs {
		if r.task.step.spec.LongRunning {
			return true
		}
	}
	return false
}

const (
	// leastVacated is the number of workers that lasting tasks are moved off at the same time while a wave has time.
	leastVacated = 2
	// vacatedIn is how long lasting tasks take to leave a worker, each within its disruption budget: 4 s on average on
	// the large deployment.
	vacatedIn = 4 * time.Second
)

// cordonTime is how long an instance whose maintenance is due gets no tasks.
const cordonTime = time.Second

// vacate stops the lasting tasks of a worker as far as their disruption budgets allow.
func (s *Scheduler) vacate(h *host) {
	for _, r := range sortedRuns(h.runs) {
		if r.task.step.spec.LongRunning && !r.stopping && r.mayDisrupt() {
			r.ours = true
			s.stop(r, "its instance is due for maintenance")
		}
	}
}

// mayDisrupt reports whether the step's disruption budget allows to end a run that is at work.
func (r *run) mayDisrupt() bool {
	step := r.task.step
	if !step.spec.HasDisruptionBudget {
		return true
	}
	away := 0
	for _, t := range step.tasks {
		if t != r.task && !t.atWork() {
			away++
		}
	}
	return away < step.spec.DisruptionBudget
}

// atWork reports whether some run of a lasting task is known to be at work.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.known != 0 && !r.stopping && r.percent >= fullPercent && r.host.silent == 0 {
			return true
		}
	}
	return false
}

// fullPercent is the progress of a lasting task that is at work; fullPace is the pace of a run that isn't slowed.
const (
	fullPercent = 100
	fullPace    = 100
)
