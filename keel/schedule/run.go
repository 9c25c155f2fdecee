package schedule

import (
	"context"
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
	// failureBackoff is the delay before a failed task is retried, multiplied by the number of its failures.
	failureBackoff = 30 * time.Millisecond
)

// run is a run of a task that may be in progress.
type run struct {
	task   *task
	worker *workerState
	number int64
	size   work.Size
	// ordered is when the start order was sent.
	ordered time.Duration
	// confirmedAt is when the worker was first known to have the run, 0 before that.
	confirmedAt time.Duration
	// inDoubt is set while it is unknown whether a start order without a response will be carried out.
	inDoubt bool
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
	load         float64
	speedPercent int
	// voluntary is set if the scheduler stopped the run although it was healthy.
	voluntary bool
}

func sortedRuns(runs map[work.TaskID]*run) []*run {
	all := make([]*run, 0, len(runs))
	for _, r := range runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int {
		if a.ordered != b.ordered {
			return int(a.ordered - b.ordered)
		}
		return a.task.index - b.task.index
	})
	return all
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
	t.nextRun = max(t.nextRun, number+1)
	w.runs[t.id()] = r
	w.used = w.used.Plus(r.size)
	w.perStep[t.step]++
	return r
}

// removeRun removes a run that is certain to be over, and makes its task startable again if it is not done.
func (s *Scheduler) removeRun(r *run, _ string) {
	w, t := r.worker, r.task
	if w.runs[t.id()] != r {
		return
	}
	now := s.Now()
	delete(w.runs, t.id())
	w.used = w.used.Minus(r.size)
	w.perStep[t.step]--
	if w.perStep[t.step] == 0 {
		delete(w.perStep, t.step)
	}
	if len(w.runs) == 0 {
		w.idleSince = now
	}
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	t.lastRunEnd = now
	if t.step.ready && t.needsRun() && t.job().open() {
		t.step.addWaiting(1)
		t.readySince = now
	}
	s.schedulePlan()
}

// start orders the worker to start the task.
func (s *Scheduler) start(t *task, w *workerState, number int64, ticket string) {
	r := s.addRun(t, w, number)
	j := t.job()
	if !j.started {
		j.started = true
		s.markDirty(j)
	}
	order := worker.StartOrder{
		Task: t.id(), Run: number, Spec: j.Spec, LeaseEnd: s.extendLease(w), Token: s.Epoch,
		Checkpoint: t.checkpoint, Ticket: ticket,
	}
	s.sendStart(r, order)
}

func (s *Scheduler) sendStart(r *run, order worker.StartOrder) {
	target := r.worker.target()
	s.starts.add()
	call(s, s.starts.timeout(), func(ctx context.Context) (timed, error) {
		if !s.LeaseValid() {
			return timed{}, fault.New(fault.NotReady, "order not sent: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		return s.timeOrder(func() (worker.Reply, error) { return s.Workers.Start(ctx, target, order) })
	}, func(reply timed, err error) {
		s.starts.remove(reply.took, err)
		if s.starts.held && s.starts.mayPlan() {
			s.schedulePlan()
		}
		if r.worker.runs[r.task.id()] != r {
			return
		}
		s.handleStartReply(r, reply.Reply, err)
	})
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
		r.inDoubt = false
		s.Metrics.addStart(now - r.ordered)
		s.Log.Write(event.TaskStarted, event.Fields{
			"task": r.task.id().String(), "run": r.number, "worker": w.ID, "free": w.free().MilliCores,
			"waited_ms": (r.ordered - r.task.readySince).Milliseconds(), "took_ms": (now - r.ordered).Milliseconds(),
		})
		if r.stopping {
			s.sendStop(r)
		}
		s.scheduleRenewal(w, minRenewInterval)
	case worker.OtherBoot:
		s.removeWorker(w, "another worker responds at its address")
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
	s.Log.Write(event.TaskRefused, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.worker.ID, "reason": reason})
	s.removeRun(r, reason)
	s.stopGang(r.task)
}

// stopGang stops the runs of a gang that lacks the task's run, because they can't make progress without it.
func (s *Scheduler) stopGang(t *task) {
	if !t.step.spec.Gang {
		return
	}
	for _, member := range t.step.tasks {
		for _, r := range member.runs {
			s.stop(r, "a member of the gang was not started")
		}
	}
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

// stop marks the run as stopping and sends the order to stop it.
func (s *Scheduler) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stopReason, r.stoppingSince = true, reason, s.Now()
	s.Log.Write(event.TaskStopped, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.worker.ID, "reason": reason})
	if r.confirmedAt != 0 || r.inDoubt {
		s.sendStop(r)
	}
}

func (s *Scheduler) sendStop(r *run) {
	if r.stopSent || r.worker.runs[r.task.id()] != r {
		return
	}
	r.stopSent = true
	s.stops.do(func() {
		if r.worker.runs[r.task.id()] != r {
			return
		}
		order := worker.StopOrder{Task: r.task.id(), Run: r.number, Token: s.Epoch}
		s.callStop(r.worker.target(), order, func(reply worker.Reply, err error) {
			if r.worker.runs[r.task.id()] == r {
				s.handleStopReply(r, reply, err)
			}
		})
	})
}

// callStop sends an order to stop a run, which counts as one in flight until it has ended.
func (s *Scheduler) callStop(target worker.Target, order worker.StopOrder, done func(worker.Reply, error)) {
	s.stops.add()
	call(s, s.stops.timeout(), func(ctx context.Context) (timed, error) {
		if !s.LeaseValid() {
			return timed{}, fault.New(fault.NotReady, "order not sent: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		return s.timeOrder(func() (worker.Reply, error) { return s.Workers.Stop(ctx, target, order) })
	}, func(reply timed, err error) {
		s.stops.remove(reply.took, err)
		done(reply.Reply, err)
		s.stops.sendWaiting()
	})
}

func (s *Scheduler) handleStopReply(r *run, reply worker.Reply, err error) {
	w := r.worker
	switch {
	case err == nil && reply.Refusal == worker.OtherBoot:
		s.removeWorker(w, "another worker responds at its address")
	case err == nil && (reply.Refusal == worker.Accepted || reply.Refusal == worker.Superseded):
		s.recordClock(w, reply)
		if r.inDoubt {
			// The run can't start any more. The worker's next list of runs and ends shows whether it ran.
			r.inDoubt = false
			r.confirmedAt = s.Now()
		}
		s.scheduleRenewal(w, minRenewInterval)
	default:
		s.retryStop(r)
	}
}

// retryStop sends the order to stop the run again after stopRetry. A voluntary stop also waits until the step's
// disruption budget allows it, since other tasks of the step may have been lost meanwhile; the run counts as unavailable
// until then, because the earlier order may have been carried out.
func (s *Scheduler) retryStop(r *run) {
	s.after(stopRetry, func() {
		if r.worker.runs[r.task.id()] != r {
			return
		}
		if r.worker.unresponsiveSince != 0 {
			// The order is sent again once the worker responds; until then it would only hold up other stops.
			s.retryStop(r)
			return
		}
		if r.voluntary && r.task.job().open() && !r.worker.Draining && !r.mayDisrupt() {
			s.retryStop(r)
			return
		}
		r.stopSent = false
		s.sendStop(r)
	})
}

// applyRunning applies a run that the worker lists.
func (s *Scheduler) applyRunning(w *workerState, live worker.Run) {
	now := s.Now()
	r := w.runs[live.Task]
	if r != nil && r.number == live.Run {
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

// stopSurplusRuns stops the surplus runs of a task after a leader change: all runs if the task is done or its job has
// ended, otherwise all but the newest. A speculative task keeps its runs.
func (s *Scheduler) stopSurplusRuns(t *task) {
	if t.done || !t.job().open() {
		for _, r := range t.runs {
			s.stop(r, "no open job needs this run")
		}
		return
	}
	if t.step.spec.Speculative {
		return
	}
	newest := t.runs[0]
	for _, r := range t.runs {
		if r.number > newest.number {
			newest = r
		}
	}
	for _, r := range t.runs {
		if r != newest {
			s.stop(r, "a later run of the task is in progress")
		}
	}
}

// adopt takes over a run that an earlier leader started. It does not check whether the step is ready, because that
// leader knew that it was.
func (s *Scheduler) adopt(t *task, w *workerState, live worker.Run) {
	r := s.addRun(t, w, live.Run)
	now := s.Now()
	r.confirmedAt, r.progressedAt = now, now
	t.job().started = true
	s.updateProgress(r, live, now)
}

func (s *Scheduler) updateProgress(r *run, live worker.Run, now time.Duration) {
	if live.Percent > r.percent {
		r.percent, r.progressedAt = live.Percent, now
	}
	r.listedAt = now
	r.load = live.Load
	if live.Checkpoint != "" {
		r.task.checkpoint = live.Checkpoint
	}
}

// recordLateStart records a run that is removed although its start order may still be carried out.
func (s *Scheduler) recordLateStart(r *run) {
	if r.confirmedAt != 0 {
		return
	}
	late := s.lateStarts[r.worker.ID]
	if late == nil {
		late = make(map[work.TaskID]int64)
		s.lateStarts[r.worker.ID] = late
	}
	late[r.task.id()] = r.number
}

// stopLateStarts sends the orders after which the worker no longer carries out its late start orders.
func (s *Scheduler) stopLateStarts(w *workerState) {
	for id, number := range s.lateStarts[w.ID] {
		s.sendLateStartStop(w, worker.Run{Task: id, Run: number})
	}
}

func (s *Scheduler) sendLateStartStop(w *workerState, late worker.Run) {
	isPending := func() bool { return !w.removed && s.lateStarts[w.ID][late.Task] == late.Run }
	s.stops.do(func() {
		if !isPending() || w.unresponsiveSince != 0 {
			return
		}
		order := worker.StopOrder{Task: late.Task, Run: late.Run, Token: s.Epoch}
		s.callStop(w.target(), order, func(reply worker.Reply, err error) {
			switch {
			case !isPending():
			case err == nil && reply.Refusal == worker.OtherBoot:
				s.removeWorker(w, "another worker responds at its address")
			case err == nil && (reply.Refusal == worker.Accepted || reply.Refusal == worker.Superseded):
				delete(s.lateStarts[w.ID], late.Task)
				s.schedulePlan()
			default:
				// An unresponsive worker gets the order once it responds.
				s.after(stopRetry, func() {
					if isPending() && w.unresponsiveSince == 0 {
						s.sendLateStartStop(w, late)
					}
				})
			}
		})
	})
}

// stopOrphan stops a run that no open job needs.
func (s *Scheduler) stopOrphan(w *workerState, live worker.Run) {
	if w.orphans[live.Task] == live.Run {
		return
	}
	w.orphans[live.Task] = live.Run
	s.Log.Write(event.TaskStopped, event.Fields{"task": live.Task.String(), "run": live.Run, "worker": w.ID, "reason": "no open job needs this run"})
	s.sendOrphanStop(w, live)
}

func (s *Scheduler) sendOrphanStop(w *workerState, live worker.Run) {
	isPending := func() bool { return !w.removed && w.orphans[live.Task] == live.Run }
	s.stops.do(func() {
		if !isPending() {
			return
		}
		order := worker.StopOrder{Task: live.Task, Run: live.Run, Token: s.Epoch}
		s.callStop(w.target(), order, func(reply worker.Reply, err error) {
			if isPending() {
				s.handleOrphanStopReply(w, live, reply, err)
			}
		})
	})
}

func (s *Scheduler) handleOrphanStopReply(w *workerState, live worker.Run, reply worker.Reply, err error) {
	switch {
	case err == nil && reply.Refusal == worker.OtherBoot:
		s.removeWorker(w, "another worker responds at its address")
	case err == nil && (reply.Refusal == worker.Accepted || reply.Refusal == worker.Superseded):
		s.scheduleRenewal(w, minRenewInterval)
	default:
		s.after(stopRetry, func() {
			if !w.removed && w.orphans[live.Task] == live.Run {
				s.sendOrphanStop(w, live)
			}
		})
	}
}

// maxFailureBackoffs is the maximum multiple of failureBackoff.
const maxFailureBackoffs = 10
