package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

// Best-effort runs beside a task that serves users give way to it: if the tail latency of that task is over its target, the
// speed of the best-effort runs on the worker is lowered at once, and raised again in small steps while it is well below.
// Changes within seconds are expected, so that the speed follows what is seen and isn't remembered.
const (
	// paceCut is the factor by which the speed is lowered each time. Below minPace the runs are halted.
	paceCut = 0.4
	minPace = 15
	// paceStep is the number of percent by which the speed is raised each time.
	paceStep = 10
	// raiseBelow is the share of the target below which the tail has to be for the speed to be raised.
	raiseBelow = 0.75
	// probeWait is how long the tail has to be below the target, though not well below it, before the speed is raised by a step, and
	// in each case after the tail has passed the target at the step before. It is doubled then, up to maxProbeWait, and halved by
	// each step that succeeds.
	probeWait    = 2 * time.Second
	maxProbeWait = 16 * time.Second
	// figureTime is the time that a reported tail latency covers.
	figureTime = 500 * time.Millisecond
	// haltShare is the share of Bounds.MaxSlowdownTime for which a task may be over its target before the runs beside it are
	// halted, whatever their speed.
	haltShare = 0.4
	// movedAsideAfter is how long a run is halted before it is stopped to restart on another worker, movedAsideInterval the time
	// between two such runs of a worker.
	movedAsideAfter    = 3 * time.Second
	movedAsideInterval = time.Second
	// servingWait is how long a worker holds a renewal open while best-effort tasks run beside one that serves users.
	servingWait = 400 * time.Millisecond
	// paceRetry is the delay before an order to throttle a run that failed is sent again. One without a response may be carried
	// out late, after newer ones, so that the speed is ordered again each paceRepeat until that can't happen any more.
	paceRetry  = 150 * time.Millisecond
	paceRepeat = time.Second
)

// pace is the speed of the best-effort runs on a worker.
type pace struct {
	// reduction is the number of percent by which the speed is lowered, 0 for full speed.
	reduction int
	// changedAt is when the speed was last changed, overSince when a task was first over its target and has been since, 0 if
	// none is; movedAsideAt is when a run was last moved aside.
	changedAt, overSince, movedAsideAt time.Duration
	// raised is set if the last change was a step up; wait is the least time before the next one.
	raised bool
	wait   time.Duration
}

func (p *pace) percent() int { return fullSpeedPercent - p.reduction }

// strained reports whether best-effort tasks are better placed on another worker.
func (p *pace) strained() bool { return p.reduction > 0 }

// next returns the percentage for a worker on which the highest tail latency of a task, as a share of its target, is worst. The
// figure was listed at the given time; one that covers a time before the last change says nothing of it.
func (p *pace) next(worst float64, listedAt, now, maxSlowdown, settle time.Duration) int {
	percent := p.percent()
	if worst <= 1 {
		p.overSince = 0
	} else if p.overSince == 0 {
		p.overSince = now
	}
	overFor := time.Duration(0)
	if p.overSince != 0 {
		overFor = now - p.overSince
	}
	switch {
	case worst > 1 && overFor >= time.Duration(haltShare*float64(maxSlowdown)):
		return 0
	case listedAt < p.changedAt+settle && p.changedAt != 0:
		return percent
	case worst > 1:
		return p.lower(percent)
	case worst < raiseBelow && now-p.changedAt >= p.wait, now-p.changedAt >= max(probeWait, p.wait):
		return p.raise(percent)
	}
	return percent
}

func (p *pace) lower(percent int) int {
	if p.raised {
		p.wait = min(maxProbeWait, max(probeWait, 2*p.wait))
	}
	p.raised = false
	lowered := int(paceCut * float64(percent))
	if lowered < minPace {
		return 0
	}
	return lowered
}

func (p *pace) raise(percent int) int {
	if p.raised {
		p.wait /= 2
	}
	p.raised = true
	return min(fullSpeedPercent, percent+paceStep)
}

// adjustPace sets the speed of the best-effort runs on a worker by the tail latencies of the tasks that serve users there.
func (s *Scheduler) adjustPace(w *workerState, now time.Duration) {
	if s.Bounds.MaxSlowdownTime <= 0 || w.bestEffort == 0 && w.pace.reduction == 0 {
		return
	}
	worst, listedAt, most := 0.0, now, (*run)(nil)
	for _, r := range w.runs {
		if !r.servesUsers() || r.load < 0 || r.confirmedAt == 0 || r.stopping || r.awaitingEndSince != 0 {
			continue
		}
		if share := r.tailShare(); most == nil || share > worst {
			worst, listedAt, most = share, r.listedAt, r
		}
	}
	before := w.pace.percent()
	percent := w.pace.next(worst, listedAt, now, s.Bounds.MaxSlowdownTime, figureTime+s.Bounds.ThrottleTime)
	if percent != before {
		w.pace.reduction, w.pace.changedAt = fullSpeedPercent-percent, now
		if w.bestEffort > 0 {
			s.logPace(w, before, most)
		}
	}
	s.applyPace(w, now)
	s.moveAside(w, now)
}

// tailShare returns the tail latency of a run that serves users as a share of its target.
func (r *run) tailShare() float64 {
	return r.load / (r.task.step.spec.LatencyTarget.Seconds() * 1000)
}

func (s *Scheduler) logPace(w *workerState, before int, most *run) {
	fields := event.Fields{"worker": w.ID, "percent": w.pace.percent(), "before": before, "runs": w.bestEffort}
	if most != nil {
		fields["task"], fields["tail_ms"] = most.task.id().String(), int64(most.load)
		fields["target_ms"] = most.task.step.spec.LatencyTarget.Milliseconds()
	}
	s.Log.Write(event.PaceChanged, fields)
}

// applyPace sends the orders that throttle the worker's best-effort runs to its pace. The speed of a run that an earlier
// leader started isn't known.
func (s *Scheduler) applyPace(w *workerState, now time.Duration) {
	percent := w.pace.percent()
	for _, r := range sortedRuns(w.runs) {
		if !r.mayBePaced() || r.pacing || now < r.paceAgainAt {
			continue
		}
		unknown := r.adopted && !r.paced || now < r.paceDoubtUntil
		if r.speedPercent != percent || unknown {
			s.throttle(r, percent)
		}
	}
}

// mayBePaced reports whether the run is a best-effort one that is in progress.
func (r *run) mayBePaced() bool {
	return r.task.step.spec.BestEffort && r.confirmedAt != 0 && !r.stopping && r.awaitingEndSince == 0
}

// moveAside stops one of the worker's runs that have been halted for long, if another worker may run its task.
func (s *Scheduler) moveAside(w *workerState, now time.Duration) {
	if w.pace.percent() > 0 || now-w.pace.movedAsideAt < movedAsideInterval {
		return
	}
	for _, r := range sortedRuns(w.runs) {
		if !r.mayBePaced() || r.haltedSince == 0 || now-r.haltedSince < movedAsideAfter || !s.mayMoveAside(r, now) {
			continue
		}
		w.pace.movedAsideAt = now
		s.Log.Write(event.RunMovedAside, event.Fields{
			"task": r.task.id().String(), "run": r.number, "worker": w.ID, "stopped_ms": (now - r.haltedSince).Milliseconds(),
		})
		s.stop(r, "throttled to a standstill beside a task over its target")
		return
	}
}

// mayMoveAside reports whether stopping the run loses little work, and another worker of the pool may run its task.
func (s *Scheduler) mayMoveAside(r *run, now time.Duration) bool {
	step, w := r.task.step, r.worker
	if w.pool == nil || !step.spec.Checkpoints || step.spec.Gang || step.spec.LongRunning {
		return false
	}
	for other := range w.pool.workers {
		if other == w || other.pace.strained() || !s.usable(other, now) || !other.free().Holds(r.size) {
			continue
		}
		if step.permits(other, 1) && step.tickets.allows(other, now) && r.task.job().mayRunIn(other.DataCentre) && r.task.failedOn[other.Instance] == 0 {
			return true
		}
	}
	return false
}

// throttle orders the worker to change the speed of a run.
func (s *Scheduler) throttle(r *run, percent int) {
	r.pacing = true
	order := worker.ThrottleOrder{Task: r.task.id(), Run: r.number, Percent: percent, Token: s.Epoch}
	target := r.worker.target()
	call(s, s.starts.timeout(), func(ctx context.Context) (worker.Reply, error) {
		if !s.LeaseValid() {
			return worker.Reply{}, fault.New(fault.NotReady, "order not sent: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		return s.Workers.Throttle(ctx, target, order)
	}, func(reply worker.Reply, err error) {
		r.pacing = false
		now := s.Now()
		if err != nil || reply.Refusal != worker.Accepted {
			s.handleThrottleFailure(r, now, reply, err)
			return
		}
		s.recordClock(r.worker, reply)
		r.paceAgainAt = now + paceRepeat
		if r.speedPercent != percent {
			r.paceAgainAt = now
		}
		r.speedPercent, r.paced, r.progressedAt = percent, true, now
		switch {
		case percent > 0:
			r.haltedSince = 0
		case r.haltedSince == 0:
			r.haltedSince = now
		}
	})
}

func (s *Scheduler) handleThrottleFailure(r *run, now time.Duration, reply worker.Reply, err error) {
	r.paceAgainAt = now + paceRetry
	if err != nil && fault.As(err).Outcome() != fault.NotRun {
		r.paceDoubtUntil = now + lateOrderTime
	}
	if err == nil && reply.Refusal == worker.OtherBoot {
		s.removeReplaced(r.worker)
	}
}

// hasServingBesideBestEffort reports whether the tail latency of a task that serves users may depend on best-effort runs.
func (w *workerState) hasServingBesideBestEffort() bool {
	if w.bestEffort == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.servesUsers() {
			return true
		}
	}
	return false
}
