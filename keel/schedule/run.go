package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// orderTimeout is the lowest timeout of an order to a worker, which usually responds within a few milliseconds.
	orderTimeout = 220 * time.Millisecond
	// stopRetry is the delay before a failed stop order is sent again.
	stopRetry = 150 * time.Millisecond
	// minStartRepeats is how often a start order without a response is sent again at least before its run is stopped. While that
	// takes less than unsettledStartTime, it is sent again more often.
	minStartRepeats = 2
	// failureBackoff is the delay before a failed task is retried, multiplied by the number of its failures.
	failureBackoff = 30 * time.Millisecond
)

// run is a run of a task that may be in progress.
type run struct {
	task   *task
	worker *workerState
	number int64
	size   work.Size
	// tenant is the tenant that the run counts for, nil once it no longer does.
	tenant *tenantState
	// removed is set once the run is certain to be over.
	removed bool
	// ordered is when the start order was sent.
	ordered time.Duration
	// confirmedAt is when the worker was first known to have the run, 0 before that.
	confirmedAt time.Duration
	// begun is set once the worker is known to have begun the run, answered if it accepted the first order to start it, so that it
	// began when it was confirmed.
	begun, answered bool
	// adopted is set for a run that an earlier leader started.
	adopted bool
	// inDoubt is set while it is unknown whether a start order without a response will be carried out.
	inDoubt bool
	// repeats counts how often the start order was sent again because it had no response.
	repeats int
	// stopping is set once the run is to be stopped; stopSent is set while a stop order is in flight, and once one has
	// been accepted.
	stopping   bool
	stopSent   bool
	stopReason string
	// stoppingSince is when the run was first to be stopped.
	stoppingSince time.Duration
	// percent is the highest progress that the worker listed, progressedAt when it last grew; listedAt is
	// when the worker last listed the run.
	percent      float64
	progressedAt time.Duration
	listedAt     time.Duration
	// listing is the number of the worker's list that last contained the run.
	listing int64
	load    float64
	// sampledAt is when the load was last added to the table of slowdowns. besideAtStart holds the images beside the run when
	// it started, useAtStart the used share of the worker.
	sampledAt     time.Duration
	besideAtStart []string
	useAtStart    float64
	// speedPercent is the speed to which the run was last throttled, paced is set once that is known of a run that an earlier
	// leader started. pacing is set while an order to throttle it is in flight; the next one is sent from paceAgainAt on.
	speedPercent  int
	paced, pacing bool
	paceAgainAt   time.Duration
	// paceDoubtUntil is until when an order to throttle the run that had no response may be carried out. haltedSince is when its
	// worker accepted that it be halted, 0 if it isn't.
	paceDoubtUntil, haltedSince time.Duration
	// isolation is how far the run is kept apart from others until it has lasted long enough.
	isolation suspicion
	// awaitingEndSince is when the worker first listed neither the run, which is over, nor its end, 0 before that.
	awaitingEndSince time.Duration
	// succeeded is set once the run has counted as a success of its worker, although it goes on.
	succeeded bool
	// voluntary is set if the scheduler stopped the run although it was healthy.
	voluntary bool
	// evictionDueSince is since when the disruption budget has not allowed to stop the run for a maintenance, 0 if it isn't due or
	// the budget allows it.
	evictionDueSince time.Duration
}

// stopAcceptedInDoubt reports whether the worker has accepted a stop of the run and it isn't known whether the run had
// started before.
func (r *run) stopAcceptedInDoubt() bool {
	return r.confirmedAt != 0 && r.progressedAt == 0 && r.listedAt == 0
}

func sortedRuns(runs map[work.TaskID]*run) []*run {
	all := make([]*run, 0, len(runs))
	for _, r := range runs {
		all = append(all, r)
	}
	slices.SortFunc(all, compareRuns)
	return all
}

// compareRuns orders runs by the time at which they were ordered.
func compareRuns(a, b *run) int {
	if a.ordered != b.ordered {
		return int(a.ordered - b.ordered)
	}
	return a.task.index - b.task.index
}

// size returns the capacity that a task of the step reserves; best-effort tasks reserve no processor time.
func (st *stepState) size() work.Size {
	size := st.spec.Size
	if st.spec.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// addRun adds a run to its task and reserves capacity on the worker.
func (s *Scheduler) addRun(t *task, w *workerState, number int64) *run {
	r := &run{task: t, worker: w, number: number, size: t.step.size(), ordered: s.Now(), speedPercent: fullSpeedPercent, load: -1}
	if t.step.ready && t.needsRun() {
		t.step.addWaiting(-1)
	}
	t.runs = append(t.runs, r)
	t.job().touch()
	t.nextRun = max(t.nextRun, number+1)
	w.runs[t.id()] = r
	w.used = w.used.Plus(r.size)
	r.charge()
	w.perStep[t.step]++
	w.countImage(t.step, 1)
	return r
}

// setIsolation sets how far the run is kept apart from others.
func (r *run) setIsolation(level suspicion) {
	if r.isolation != unsuspected {
		r.worker.isolated--
	}
	r.isolation = level
	if level != unsuspected {
		r.worker.isolated++
	}
}

// awaitEnd records that the run is over, although its worker hasn't listed its end yet, and releases its capacity.
func (r *run) awaitEnd(now time.Duration) {
	if r.awaitingEndSince != 0 {
		return
	}
	r.awaitingEndSince = now
	r.worker.used = r.worker.used.Minus(r.size)
	r.size = work.Size{}
	r.discharge()
}

// removeRun removes a run that is certain to be over, and makes its task startable again if it is not done.
func (s *Scheduler) removeRun(r *run, _ string) {
	w, t := r.worker, r.task
	if r.removed {
		return
	}
	r.removed = true
	now := s.Now()
	delete(w.runs, t.id())
	r.setIsolation(unsuspected)
	w.used = w.used.Minus(r.size)
	r.discharge()
	w.perStep[t.step]--
	w.countImage(t.step, -1)
	if w.perStep[t.step] == 0 {
		delete(w.perStep, t.step)
	}
	if len(w.runs) == 0 {
		w.idleSince = now
	}
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	if t.step.ready && t.needsRun() && t.job().open() {
		t.step.addWaiting(1)
		if r.begun {
			t.readySince = now
		}
	}
	s.schedulePlan()
}

// start orders the worker to start the task.
func (s *Scheduler) start(t *task, w *workerState, number int64, ticket string) {
	beside, use := s.noteStart(t.step, w)
	r := s.addRun(t, w, number)
	r.besideAtStart, r.useAtStart = beside, use
	r.setIsolation(t.suspicion())
	order := worker.StartOrder{
		Task: t.id(), Run: number, Spec: t.job().Spec, LeaseEnd: s.extendLease(w), Token: s.Epoch,
		Checkpoint: t.latestCheckpoint(), Ticket: ticket,
	}
	s.sendStart(r, order)
}

func (s *Scheduler) sendStart(r *run, order worker.StartOrder) {
	s.starts.add()
	sendOrder(s, s.Workers.SubmitStart, s.Workers.Start, r.worker.target(), order, s.starts.timeout(), func(reply worker.Reply, took time.Duration, err error) {
		if s.epochEnded() {
			return
		}
		s.starts.remove(took, err)
		if s.starts.held && s.starts.mayPlan() {
			s.schedulePlan()
		}
		if err != nil && fault.As(err).Outcome() != fault.NotRun {
			s.noteUnanswered(r)
		}
		if r.removed {
			s.retractCrash(r, reply, err)
			return
		}
		switch {
		case r.confirmedAt != 0 && err != nil:
			s.continueListed(r)
		case s.mayRepeatStart(r, err):
			r.repeats++
			s.repeatStart(r, order, err)
		case r.repeats > 0:
			s.handleRepeatedStartReply(r, reply, err)
		default:
			s.handleStartReply(r, reply, err)
		}
	})
}

// continueListed continues a run that the worker has listed while its start order was in flight.
func (s *Scheduler) continueListed(r *run) {
	if r.stopping {
		s.sendStop(r)
	}
	s.scheduleRenewal(r.worker, minRenewInterval)
}

// isUnanswered reports whether a start order of the run has had no response, and nothing else has shown what became of it.
func (r *run) isUnanswered() bool { return r.inDoubt || r.repeats > 0 && r.confirmedAt == 0 }

// mayRepeatStart reports whether a start order that ended with the error is sent again. The worker takes it for the same run,
// and rejects a late one once that has ended, so that a repeat settles most starts whose outcome is unknown.
func (s *Scheduler) mayRepeatStart(r *run, err error) bool {
	if err == nil || fault.As(err).Outcome() == fault.NotRun || r.stopping {
		return false
	}
	few := r.repeats < minStartRepeats && r.worker.unresponsiveSince == 0
	return few || s.Now()-r.ordered+s.starts.timeout() <= unsettledStartTime
}

// repeatStart sends a start order again that ended with the error, once its worker responds.
func (s *Scheduler) repeatStart(r *run, order worker.StartOrder, err error) {
	if r.worker.unresponsiveSince == 0 {
		s.sendStart(r, order)
		return
	}
	s.after(stopRetry, func() {
		switch {
		case r.removed:
		case r.confirmedAt != 0:
			s.continueListed(r)
		case s.mayRepeatStart(r, err):
			s.repeatStart(r, order, err)
		default:
			s.markInDoubt(r, err)
		}
	})
}

// handleRepeatedStartReply applies the response to a start order that was sent again. The earlier order may have been
// carried out, or may be later, unless the response shows otherwise.
func (s *Scheduler) handleRepeatedStartReply(r *run, reply worker.Reply, err error) {
	switch {
	case err == nil && (reply.Refusal == worker.Accepted || reply.Refusal == worker.OtherBoot):
		s.handleStartReply(r, reply, nil)
	case r.confirmedAt != 0:
		s.continueListed(r)
	case err == nil && reply.Refusal == worker.Superseded:
		// The run has ended, or a later one is known there, so that it can't start any more: the worker's next list shows it.
		s.recordClock(r.worker, reply)
		r.confirmedAt = s.Now()
		s.stop(r, "worker knows the end of the run, or a later run")
		s.stopGang(r.task)
		s.scheduleRenewal(r.worker, 0)
	case err == nil:
		s.markInDoubt(r, fault.New(fault.EndpointRefused, "repeated start order rejected: %s", reply.Refusal))
	default:
		s.markInDoubt(r, err)
	}
}

func (s *Scheduler) handleStartReply(r *run, reply worker.Reply, err error) {
	w := r.worker
	if err != nil && fault.As(err).Outcome() == fault.NotRun {
		s.abandonStart(r, err.Error())
		if !fault.IsKind(err, fault.NotReady) && !fault.IsKind(err, fault.Overloaded) {
			s.markUnresponsive(w, err)
			s.scheduleRenewal(w, renewRetry)
		}
		return
	}
	if err != nil {
		s.markInDoubt(r, err)
		return
	}
	s.recordClock(w, reply)
	now := s.Now()
	switch reply.Refusal {
	case worker.Accepted:
		r.confirmedAt, r.progressedAt = now, now
		r.inDoubt, r.answered = false, r.repeats == 0
		s.recordBegun(r)
		s.Metrics.addStart(now - r.ordered)
		s.Log.WriteFunc(event.TaskStarted, func() event.Fields {
			return event.Fields{
				"task": r.task.id().String(), "run": r.number, "worker": w.ID, "free": w.free().MilliCores,
				"waited_ms": (r.ordered - r.task.readySince).Milliseconds(), "took_ms": (now - r.ordered).Milliseconds(),
			}
		})
		if r.stopping {
			s.sendStop(r)
		}
		s.scheduleRenewal(w, minRenewInterval)
	case worker.OtherBoot:
		if r.repeats == 0 && !r.begun {
			// The worker had ended before it got the order, so that the run can't have crashed it.
			s.abandonStart(r, "another worker responds at its address")
		}
		s.removeReplaced(w)
	case worker.Superseded:
		// The worker may know a run with a higher number from an earlier leader, which its list shows.
		s.abandonStart(r, string(reply.Refusal))
		r.task.notBefore = now + failureBackoff
		s.scheduleRenewal(w, 0)
	case worker.Unhealthy:
		s.abandonStart(r, string(reply.Refusal))
		s.avoid(w, "worker reported itself unhealthy", unhealthyPause)
	default:
		s.abandonStart(r, string(reply.Refusal))
		r.task.notBefore = now + failureBackoff
		if reply.Refusal == worker.NoTicket {
			delete(r.task.step.tickets.byWorker, w.ID)
		}
		if reply.Refusal == worker.NoCapacity {
			s.avoid(w, "worker has less free capacity than recorded", noCapacityPause)
		}
		s.scheduleRenewal(w, 0)
	}
}

const (
	// unhealthyPause is how long a worker that rejected a task because it is unhealthy gets no tasks.
	unhealthyPause = 700 * time.Millisecond
	// noCapacityPause is how long a worker that rejected a task for lack of capacity gets no tasks.
	noCapacityPause = 300 * time.Millisecond
)

// abandonStart removes a run that is certain not to have started.
func (s *Scheduler) abandonStart(r *run, reason string) {
	s.Log.WriteFunc(event.TaskRefused, func() event.Fields {
		return event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.worker.ID, "reason": reason}
	})
	s.removeRun(r, reason)
	s.stopGang(r.task)
}

// markInDoubt marks a run whose start order has an unknown outcome, and stops it. The run keeps its capacity until the
// worker lists its end or, once it has accepted that order, lists its runs without it. Once the worker has accepted the
// stop order, the run can't start any more.
func (s *Scheduler) markInDoubt(r *run, err error) {
	r.inDoubt = true
	s.Log.Write(event.TaskInDoubt, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.worker.ID, "reason": err.Error()})
	if r.stopping {
		s.sendStop(r)
	}
	s.stop(r, "outcome of the start order is unknown")
	s.stopGang(r.task)
	s.scheduleRenewal(r.worker, 0)
}

// applyRunning applies a run that the worker lists.
func (s *Scheduler) applyRunning(w *workerState, live worker.Run) {
	now := s.Now()
	r := w.runs[live.Task]
	if r != nil && r.number == live.Run {
		s.recordBegun(r)
		if r.confirmedAt == 0 || r.inDoubt {
			r.confirmedAt, r.progressedAt = now, now
		}
		s.updateProgress(r, live, now)
		return
	}
	t := s.task(s.jobs[live.Task.Job], live.Task)
	if r != nil || t == nil {
		s.stopOrphan(w, live)
		return
	}
	s.adopt(t, w, live)
	s.stopSurplusRuns(t)
}

// adopt takes over a run that an earlier leader started. It does not check whether the step is ready, because that
// leader knew that it was.
func (s *Scheduler) adopt(t *task, w *workerState, live worker.Run) {
	r := s.addRun(t, w, live.Run)
	now := s.Now()
	r.confirmedAt, r.progressedAt, r.adopted = now, now, true
	s.recordBegun(r)
	s.updateProgress(r, live, now)
}

func (s *Scheduler) updateProgress(r *run, live worker.Run, now time.Duration) {
	if live.Percent > r.percent {
		r.percent, r.progressedAt = live.Percent, now
	}
	r.listedAt, r.listing = now, r.worker.listings
	r.load = live.Load
	s.observeTail(r, now)
	r.task.setCheckpoint(live.Checkpoint)
}

// maxFailureBackoffs is the maximum multiple of failureBackoff.
const maxFailureBackoffs = 10
