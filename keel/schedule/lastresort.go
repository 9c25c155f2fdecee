package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/work"
)

// joinTime is the time in which another instance can join a pool and get its first task.
func (s *Scheduler) joinTime() time.Duration { return s.Bounds.MoveTime + workerStartDelay }

// usableAsLast reports whether the worker may get tasks as a last resort: tasks fail or stall on it, but for so long that
// another instance could have joined the pool.
func (s *Scheduler) usableAsLast(w *workerState, now time.Duration) bool {
	return now-w.failingSince > s.joinTime() && now >= w.reclaimedUntil && s.available(w, now)
}

// isMostlyFree reports whether at most half of the capacity of the pool's workers is in use. While more is, tasks wait for
// the workers that aren't avoided.
func (p *pool) isMostlyFree() bool {
	var capacity, used work.Size
	for w := range p.workers {
		capacity, used = capacity.Plus(w.Capacity), used.Plus(w.used)
	}
	return capacity.Holds(used.Plus(used))
}

// isLastResortFor reports whether the task may run on the workers of last resort: it has no run, and has waited for so long
// that another instance could have joined the pool.
func (pl *planner) isLastResortFor(t *task) bool {
	return len(pl.lastResort.workers) > 0 && t.needsRun() && pl.now-t.readySince > pl.s.joinTime()
}

// mayUseLastResort reports whether some task of the step may run on the workers of last resort.
func (pl *planner) mayUseLastResort(step *stepState) bool {
	return len(pl.lastResort.workers) > 0 && slices.ContainsFunc(step.tasks, pl.isLastResortFor)
}

// eligible returns the workers on which tasks of the step may start if its constraints permit that.
func (pl *planner) eligible(step *stepState) []*workerState {
	if len(step.occurrence.job.crashes) > 0 {
		c := pl.trialWorkers(step.occurrence.job.pool, func(*workerState) bool { return true })
		return c.workers
	}
	if pl.mayUseLastResort(step) {
		return slices.Concat(pl.candidates.workers, pl.lastResort.workers)
	}
	return pl.candidates.workers
}
