package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
)

const (
	// waitOut is the remaining time of a run up to which its worker's vacating waits for its end.
	waitOut = 300 * time.Millisecond
	// waitOutLate is that time where late jobs make room for jobs that can be in time: the tasks that end within it
	// free a worker sooner than the spare pool would get it back.
	waitOutLate = 800 * time.Millisecond
	// vacateTime is how much longer than that a worker that is being vacated gets no tasks.
	vacateTime = 400 * time.Millisecond
	// restartTime covers the orders between the stop of a run and its next start.
	restartTime = 60 * time.Millisecond
	// vacateMost is the greatest interruption of a run for which it is moved; beyond it waiting costs less.
	vacateMost = 500 * time.Millisecond
)

// vacateFor empties workers for a pool that misses room and finds no idle instance: in pools with more room than they
// use, runs that save their progress go on elsewhere in their pool, where they still meet their objective. For jobs that
// can be in time, workers of pools that have room for late jobs only get no more of these.
func (s *Scheduler) vacateFor(demands []*demand, to *demand, missing int64, inTime bool, now time.Duration) {
	wait := waitOut
	if inTime {
		wait = waitOutLate
	}
	for _, d := range demands {
		if d == to || d.pool.short > 0 && !inTime {
			continue
		}
		kept := d.kept(inTime)
		if !inTime {
			kept = headroom * float64(max(d.need, d.used))
		}
		for _, h := range s.vacatable(d, wait, now) {
			if missing <= 0 {
				return
			}
			left := d.without(h, now)
			if float64(left) < kept {
				break
			}
			d.have = left
			missing -= h.Capacity.MilliCores
			s.vacateHost(h, to.pool.name, wait, now)
		}
	}
}

// vacateHost keeps tasks off a worker until it is idle, and moves the runs that take longer than the wait.
func (s *Scheduler) vacateHost(h *host, pool string, wait, now time.Duration) {
	if now >= h.vacatedUntil {
		s.Log.Write(event.WorkerAvoided, event.Fields{
			"worker": h.ID, "reason": "its instance is wanted in pool " + pool, "until_ms": (wait + vacateTime).Milliseconds(),
		})
		s.after(wait+vacateTime, s.soon)
		h.vacatedUntil = now + wait + vacateTime
	}
	for _, r := range sortedRuns(h.runs) {
		if !r.stopping && s.remaining(r, now) > wait {
			s.stop(r, "its instance is wanted in another pool")
		}
	}
}

// vacatable returns the pool's workers that can be emptied, those with least to move first.
func (s *Scheduler) vacatable(d *demand, wait, now time.Duration) []*host {
	var all []*host
	for h := range d.pool.hosts {
		if len(h.runs) > 0 && h.registered && h.fenced && h.silent == 0 && !h.moving && s.mayVacate(h, wait, now) {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b *host) int {
		return cmp.Or(cmp.Compare(b.vacatedUntil, a.vacatedUntil), cmp.Compare(a.used.MilliCores, b.used.MilliCores), strings.Compare(a.ID, b.ID))
	})
	return all
}

// mayVacate reports whether every run on the worker ends soon, or can go on elsewhere without harm.
func (s *Scheduler) mayVacate(h *host, wait, now time.Duration) bool {
	for _, r := range h.runs {
		if !r.stopping && s.remaining(r, now) > wait && !s.mayMove(r, now) {
			return false
		}
	}
	return true
}

// interruption is how long a run that is moved does no work.
func (s *Scheduler) interruption() time.Duration {
	return s.Bounds.StopTime + s.Bounds.Restore + restartTime
}

// mayMove reports whether a run can be stopped and go on elsewhere, with its job still in time or late already.
func (s *Scheduler) mayMove(r *run, now time.Duration) bool {
	step := r.task.step
	j := r.task.job()
	if r.known == 0 || !step.spec.Checkpoints || step.spec.LongRunning || step.spec.Gang || s.interruption() > vacateMost {
		return false
	}
	slack := j.objective() - j.remaining() - now
	return slack > 2*s.interruption() || slack < -s.interruption()
}

// remaining estimates how long a run still takes.
func (s *Scheduler) remaining(r *run, now time.Duration) time.Duration {
	if r.task.step.spec.LongRunning || r.known == 0 {
		return time.Hour
	}
	return max(0, r.task.step.spec.Estimate-(now-r.known))
}
