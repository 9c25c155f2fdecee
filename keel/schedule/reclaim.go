package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
)

const (
	// reclaimWait is the maximum remaining time of a run that may finish on a worker that is being reclaimed.
	reclaimWait = 300 * time.Millisecond
	// reclaimWaitOnTime replaces reclaimWait if capacity for late jobs is reclaimed for jobs that can still meet their
	// objective. Waiting that long frees a worker sooner than a move from the spare pool.
	reclaimWaitOnTime = 800 * time.Millisecond
	// reclaimGrace is how long beyond reclaimWait or reclaimWaitOnTime a worker that is being reclaimed gets no tasks.
	reclaimGrace = 400 * time.Millisecond
	// restartOverhead covers the orders between the stop of a run and the next start of its task.
	restartOverhead = 60 * time.Millisecond
	// maxInterruption is the longest interruption for which a run is relocated; beyond it, waiting for its end costs
	// less.
	maxInterruption = 500 * time.Millisecond
)

// reclaimFor frees workers of other pools for a pool that falls short while no instance is idle. In pools with excess
// capacity, checkpointed runs restart on other workers of their pool where mayRelocate permits it. With onTime, it also
// reclaims workers that the other pools need only for late jobs.
func (s *Scheduler) reclaimFor(demands []*demand, to *demand, shortfall int64, suits suitable, onTime bool, now time.Duration) {
	maxWait := reclaimWait
	if onTime {
		maxWait = reclaimWaitOnTime
	}
	for _, d := range demands {
		if d == to {
			continue
		}
		reserve := d.reserve(onTime)
		if !onTime {
			reserve = headroom * float64(max(d.required, d.used))
		}
		for _, w := range s.reclaimCandidates(d, maxWait, now) {
			if shortfall <= 0 {
				return
			}
			i := s.fleet.instances[w.Instance]
			if s.fleet.unsuitable[w.Instance][to.pool.name] || !suits(i) || d.keeps(i, onTime) {
				continue
			}
			capacity := d.capacityWithout(w, now)
			if float64(capacity) < reserve {
				break
			}
			d.capacity = capacity
			shortfall -= w.Capacity.MilliCores
			s.reclaimWorker(w, to.pool.name, maxWait, now)
		}
	}
}

// reclaimWorker keeps new tasks off the worker until it is idle, and stops the runs that take longer than maxWait.
func (s *Scheduler) reclaimWorker(w *workerState, pool string, maxWait, now time.Duration) {
	if now >= w.reclaimedUntil {
		s.Log.Write(event.WorkerAvoided, event.Fields{
			"worker": w.ID, "reason": "instance is reclaimed for pool " + pool, "until_ms": (maxWait + reclaimGrace).Milliseconds(),
		})
		s.after(maxWait+reclaimGrace, s.schedulePlan)
		w.reclaimedUntil = now + maxWait + reclaimGrace
	}
	for _, r := range sortedRuns(w.runs) {
		if !r.stopping && s.remainingTime(r, now) > maxWait {
			s.stop(r, "instance is reclaimed for another pool")
		}
	}
}

// reclaimCandidates returns the pool's workers that can be reclaimed, those with the least load first. Workers that are
// already being reclaimed come before all others.
func (s *Scheduler) reclaimCandidates(d *demand, maxWait, now time.Duration) []*workerState {
	var all []*workerState
	for w := range d.pool.workers {
		if len(w.runs) > 0 && w.registered && w.fenced && w.unresponsiveSince == 0 && !w.orderPending && s.mayReclaim(w, maxWait, now) {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(b.reclaimedUntil, a.reclaimedUntil), cmp.Compare(a.used.MilliCores, b.used.MilliCores), strings.Compare(a.ID, b.ID))
	})
	return all
}

// mayReclaim reports whether every run on the worker ends within maxWait or may be relocated.
func (s *Scheduler) mayReclaim(w *workerState, maxWait, now time.Duration) bool {
	for _, r := range w.runs {
		if !r.stopping && s.remainingTime(r, now) > maxWait && !s.mayRelocate(r, now) {
			return false
		}
	}
	return true
}

// interruption returns how long a relocated run does no work.
func (s *Scheduler) interruption() time.Duration {
	return s.Bounds.StopTime + s.Bounds.Restore + restartOverhead
}

// mayRelocate reports whether the run may be stopped and restarted on another worker. Its job must still meet its
// objective with the interruption, or be late already.
func (s *Scheduler) mayRelocate(r *run, now time.Duration) bool {
	step := r.task.step
	j := r.task.job()
	if r.confirmedAt == 0 || !step.spec.Checkpoints || step.spec.LongRunning || step.spec.Gang || s.interruption() > maxInterruption {
		return false
	}
	slack := j.objective() - j.remaining() - now
	return slack > 2*s.interruption() || slack < -s.interruption()
}

// remainingTime estimates the time until the run ends. Nothing is known of one that takes much longer than estimated.
func (s *Scheduler) remainingTime(r *run, now time.Duration) time.Duration {
	if r.task.step.spec.LongRunning || r.confirmedAt == 0 || r.isOverdue(now) {
		return time.Hour
	}
	return max(0, r.task.step.estimate-(now-r.confirmedAt))
}
