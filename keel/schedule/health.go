package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
)

const (
	// avoidAfterJobs is the number of different jobs with failures, without a success in between, after which a worker
	// is avoided.
	avoidAfterJobs = 2
	// avoidInitial is how long a failing worker is avoided the first time; each further time doubles it.
	avoidInitial = 2500 * time.Millisecond
	// avoidMax is the maximum duration for which a failing worker is avoided.
	avoidMax = 20 * time.Second
	// A run takes much longer than estimated from overdueFactor times its estimate plus overdueMargin on.
	overdueFactor = 2
	overdueMargin = 300 * time.Millisecond
	// stallTimeout is how long a run may make no progress before its worker is considered hung. A healthy worker lists
	// progress at each renewal.
	stallTimeout = 900 * time.Millisecond
)

// failureHistory holds a worker's failures since its last success.
type failureHistory struct {
	// jobs holds the jobs with failures on the worker since its last success or avoidance; avoidances counts how often
	// the worker was avoided since its last success.
	jobs       map[string]bool
	avoidances int
}

// clear forgets the failures.
func (h *failureHistory) clear() { h.jobs, h.avoidances = nil, 0 }

// recordSuccess records that a task was done on the worker.
func (s *Scheduler) recordSuccess(w *workerState, r *run) {
	w.failures.clear()
	if r != nil && r.answered {
		s.recordDuration(r, s.Now()-r.confirmedAt)
	}
}

// recordLongRun records the run as a success of its worker, once, if it is long.
func (r *run) recordLongRun() {
	if !r.succeeded && r.isLong() {
		r.succeeded = true
		r.worker.failures.clear()
	}
}

// isLong reports whether a long-running task has run for so long that its failure doesn't count against its worker. Such a task is
// never done, so that other successes can't show that its worker is healthy.
func (r *run) isLong() bool {
	return r.task.step.spec.LongRunning && r.survived() >= provenTime
}

// recordWorkerFailure records that a task failed on the worker. A task that has failed on several instances is assumed
// to be at fault itself and is not counted.
func (s *Scheduler) recordWorkerFailure(w *workerState, t *task) {
	if len(t.failedOn) > 1 {
		return
	}
	if w.failures.jobs == nil {
		w.failures.jobs = make(map[string]bool)
	}
	w.failures.jobs[t.job().ID] = true
	if len(w.failures.jobs) >= avoidAfterJobs {
		s.avoidWithBackoff(w, "tasks of several jobs failed on the worker without a success in between")
	}
}

func (s *Scheduler) avoidWithBackoff(w *workerState, reason string) {
	duration := min(avoidMax, avoidInitial<<min(w.failures.avoidances, 4))
	w.failures.avoidances++
	w.failures.jobs = nil
	now := s.Now()
	if now >= w.failingUntil {
		w.failingSince = now
	}
	s.extendAvoidance(w, &w.failingUntil, reason, duration)
}

// avoid keeps new tasks off a worker for a time.
func (s *Scheduler) avoid(w *workerState, reason string, duration time.Duration) {
	s.extendAvoidance(w, &w.avoidUntil, reason, duration)
}

// extendAvoidance extends one of the worker's times without new tasks until the end of the duration.
func (s *Scheduler) extendAvoidance(w *workerState, end *time.Duration, reason string, duration time.Duration) {
	until := s.Now() + duration
	if until <= *end {
		return
	}
	alreadyAvoided := s.Now() < *end
	*end = until
	if alreadyAvoided {
		return
	}
	s.Log.Write(event.WorkerAvoided, event.Fields{"worker": w.ID, "reason": reason, "until_ms": duration.Milliseconds()})
	s.after(duration, s.schedulePlan)
}

// checkRuns checks all runs on responsive workers for drains, for stalls and for the need of a speculative run.
func (s *Scheduler) checkRuns(now time.Duration) {
	for _, w := range s.workers {
		if w.unresponsiveSince != 0 {
			w.pace.overSince = 0
			for _, r := range w.runs {
				r.checkSpeculation(now)
			}
			continue
		}
		if w.Draining {
			// Runs of an earlier leader, and runs that were starting, are known only later than the registration.
			s.evictAllLongRunning(w)
		}
		s.adjustPace(w, now)
		stalled := make(map[work.TaskID]*run)
		for id, r := range w.runs {
			r.checkSpeculation(now)
			s.checkSurvival(r)
			r.recordServing(now)
			r.recordLongRun()
			if r.isStalled() {
				stalled[id] = r
			}
		}
		for _, r := range sortedRuns(stalled) {
			s.avoidWithBackoff(w, "a run on the worker has stalled")
			s.stop(r, "run has stalled")
		}
	}
}

// isStalled reports whether the run makes no progress although its worker lists it. It is stopped then, so that its task
// restarts, and its worker is avoided.
func (r *run) isStalled() bool {
	if r.confirmedAt == 0 || r.stopping || r.task.step.spec.LongRunning || r.speedPercent == 0 || r.listedAt < r.paceDoubtUntil {
		return false
	}
	return r.listedAt-r.progressedAt >= stallTimeout*fullSpeedPercent/time.Duration(r.speedPercent)
}

// evictAllLongRunning stops all long-running tasks of a draining worker, so that they restart elsewhere.
func (s *Scheduler) evictAllLongRunning(w *workerState) {
	for _, r := range sortedRuns(w.runs) {
		if r.task.step.spec.LongRunning {
			s.stop(r, "its worker is draining")
		}
	}
}

// speculateUnresponsive requests speculative runs for the speculative tasks on an unresponsive worker.
func (s *Scheduler) speculateUnresponsive(w *workerState) {
	for _, r := range w.runs {
		if r.task.step.spec.Speculative {
			r.task.job().speculate()
		}
	}
	s.schedulePlan()
}

// needsSpeculativeRun reports whether a second run of the task should start: its step is speculative, and its only run
// is on an unresponsive worker or takes much longer than estimated. A run that may have crashed its worker, or that is kept
// apart from others, gets none.
func (t *task) needsSpeculativeRun(now time.Duration) bool {
	spec := t.step.spec
	if !spec.Speculative || t.done || len(t.runs) != 1 || t.suspicion() > unsuspected {
		return false
	}
	r := t.runs[0]
	if r.awaitingEndSince != 0 {
		return false
	}
	if r.worker.unresponsiveSince != 0 {
		return r.survived() >= startCrashTime || !r.worker.mayHaveCrashed()
	}
	return r.speedPercent == fullSpeedPercent && r.isOverdue(now)
}

// isOverdue reports whether the run takes much longer than estimated.
func (r *run) isOverdue(now time.Duration) bool {
	return r.confirmedAt != 0 && now-r.confirmedAt > overdueFactor*r.task.step.estimate+overdueMargin
}

// checkSpeculation marks the run's job if the task needs a speculative run.
func (r *run) checkSpeculation(now time.Duration) {
	if r.task.needsSpeculativeRun(now) {
		r.task.job().speculate()
	}
}

// needsSpeculativeRun reports whether some task of the job needs a speculative run.
func (j *job) needsSpeculativeRun(now time.Duration) bool {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.spec.Speculative && slices.ContainsFunc(step.tasks, func(t *task) bool { return t.needsSpeculativeRun(now) }) {
				return true
			}
		}
	}
	return false
}

// speculate records that some task of the job may need a speculative run.
func (j *job) speculate() {
	if !j.maySpeculate {
		j.maySpeculate = true
		j.touch()
	}
}
