package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

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

// stop marks the run as stopping and sends the order to stop it.
func (s *Scheduler) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stopReason, r.stoppingSince = true, reason, s.Now()
	s.Log.WriteFunc(event.TaskStopped, func() event.Fields {
		return event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.worker.ID, "reason": reason}
	})
	if r.confirmedAt != 0 || r.inDoubt {
		s.sendStop(r)
	}
}

func (s *Scheduler) sendStop(r *run) {
	if r.stopSent || r.removed {
		return
	}
	r.stopSent = true
	s.stops.do(func() {
		if r.removed {
			return
		}
		order := worker.StopOrder{Task: r.task.id(), Run: r.number, Token: s.Epoch}
		boot := r.worker.boot
		s.callStop(r.worker.target(), order, func(reply worker.Reply, err error) {
			switch {
			case r.removed:
			case r.inDoubt && r.worker.boot.IsOther(boot):
				// An earlier boot may have accepted the order, which doesn't bind the present one.
				s.retryStop(r)
			default:
				s.handleStopReply(r, reply, err)
			}
		})
	})
}

// callStop sends an order to stop a run, which counts as one in flight until it has ended.
func (s *Scheduler) callStop(target worker.Target, order worker.StopOrder, done func(worker.Reply, error)) {
	s.stops.add()
	sendOrder(s, s.Workers.SubmitStop, s.Workers.Stop, target, order, s.stops.timeout(), func(reply worker.Reply, took time.Duration, err error) {
		if s.epochEnded() {
			return
		}
		s.stops.remove(took, err)
		done(reply, err)
		s.stops.sendWaiting()
	})
}

func (s *Scheduler) handleStopReply(r *run, reply worker.Reply, err error) {
	w := r.worker
	switch {
	case err == nil && reply.Refusal == worker.OtherBoot:
		s.removeReplaced(w)
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
		if r.removed {
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

// recordLateStart records a run that is removed although its start order may still be carried out.
func (s *Scheduler) recordLateStart(r *run) {
	if r.confirmedAt != 0 {
		return
	}
	s.addLateStart(r.worker.ID, r.task.id(), r.number)
}

// addLateStart records that the worker may still carry out the start of a run.
func (s *Scheduler) addLateStart(id string, task work.TaskID, number int64) {
	late := s.lateStarts[id]
	if late == nil {
		late = make(map[work.TaskID]int64)
		s.lateStarts[id] = late
	}
	late[task] = max(number, late[task])
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
		boot := w.boot
		s.callStop(w.target(), order, func(reply worker.Reply, err error) {
			switch {
			case !isPending() || w.boot.IsOther(boot):
				// After another boot it has been sent again.
			case err == nil && reply.Refusal == worker.OtherBoot:
				s.removeReplaced(w)
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
		s.removeReplaced(w)
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
