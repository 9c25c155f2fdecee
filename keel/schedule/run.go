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
	// orderTimeout is how long an order to a worker waits for its answer; an answer usually takes a few milliseconds.
	orderTimeout = 220 * time.Millisecond
	// stopRetry is the time between two orders to stop the same run.
	stopRetry = 150 * time.Millisecond
	// failureBackoff is the pause before a failed task starts again, times the number of its failures.
	failureBackoff = 30 * time.Millisecond
)

// run is a run of a task that may be going on.
type run struct {
	task   *task
	host   *host
	number int64
	size   work.Size
	// ordered is when the order to start was sent.
	ordered time.Duration
	// known is when the worker was first known to have the run, 0 before.
	known time.Duration
	// doubt reports that the order to start wasn't answered.
	doubt bool
	// stopping reports that the run is to stop; stopSent is when the last order was sent.
	stopping bool
	stopSent bool
	why      string
	// percent is the last progress listed, moved when it last grew.
	percent float64
	moved   time.Duration
	looked  time.Duration
	load    float64
	pace    int
	// ours reports that the run's end was ordered by this system although it was sound.
	ours bool
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

// size returns the room that a task of the step takes; a filling task takes no processors of its own.
func (st *stepState) size() work.Size {
	size := st.spec.Size
	if st.spec.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// addRun counts a run on its worker.
func (s *Scheduler) addRun(t *task, h *host, number int64) *run {
	r := &run{task: t, host: h, number: number, size: t.step.size(), ordered: s.Now(), pace: fullPace, load: -1}
	if t.step.ready && t.waitsForStart() {
		t.step.addWaiting(-1)
	}
	t.runs = append(t.runs, r)
	t.nextRun = max(t.nextRun, number+1)
	h.runs[t.id()] = r
	h.used = h.used.Plus(r.size)
	h.perStep[t.step]++
	return r
}

// removeRun notes that a run is surely over, and lets its task start again if it isn't done.
func (s *Scheduler) removeRun(r *run, _ string) {
	h, t := r.host, r.task
	if h.runs[t.id()] != r {
		return
	}
	now := s.Now()
	delete(h.runs, t.id())
	h.used = h.used.Minus(r.size)
	h.perStep[t.step]--
	if h.perStep[t.step] == 0 {
		delete(h.perStep, t.step)
	}
	if len(h.runs) == 0 {
		h.idleAt = now
	}
	t.runs = slices.DeleteFunc(t.runs, func(other *run) bool { return other == r })
	t.lastRun = now
	if t.step.ready && t.waitsForStart() && t.job().open() {
		t.step.addWaiting(1)
		t.readySince = now
	}
	s.soon()
}

// start orders a worker to start a task.
func (s *Scheduler) start(t *task, h *host, number int64, ticket string) {
	r := s.addRun(t, h, number)
	j := t.job()
	if !j.started {
		j.started = true
		s.markDirty(j)
	}
	order := worker.StartOrder{
		Task: t.id(), Run: number, Spec: j.Spec, LeaseEnd: s.leaseEnd(h), Token: s.Epoch,
		Checkpoint: t.checkpoint, Ticket: ticket,
	}
	s.sendStart(r, order)
}

func (s *Scheduler) sendStart(r *run, order worker.StartOrder) {
	target := r.host.target()
	call(s, orderTimeout, func(ctx context.Context) (worker.Reply, error) {
		if !s.LeaseValid() {
			return worker.Reply{}, fault.New(fault.NotReady, "the lease must be renewed before an order").WithOutcome(fault.NotRun)
		}
		return s.Workers.Start(ctx, target, order)
	}, func(reply worker.Reply, err error) {
		if r.host.runs[r.task.id()] != r {
			return
		}
		s.startAnswered(r, reply, err)
	})
}

func (s *Scheduler) startAnswered(r *run, reply worker.Reply, err error) {
	h := r.host
	if err != nil && fault.As(err).Outcome() == fault.NotRun {
		s.refuseStart(r, err.Error())
		if !fault.IsKind(err, fault.NotReady) && !fault.IsKind(err, fault.Overloaded) {
			s.noAnswer(h, err)
			s.renewSoon(h, renewRetry)
		}
		return
	}
	if err != nil {
		s.doubt(r, err)
		return
	}
	s.readClock(h, reply)
	now := s.Now()
	switch reply.Refusal {
	case worker.Accepted:
		r.known, r.moved = now, now
		r.doubt = false
		s.Metrics.addStart(now - r.ordered)
		s.Log.Write(event.TaskStarted, event.Fields{
			"task": r.task.id().String(), "run": r.number, "worker": h.ID, "free": h.free().MilliCores,
			"waited_ms": (r.ordered - r.task.readySince).Milliseconds(), "took_ms": (now - r.ordered).Milliseconds(),
		})
		if r.stopping {
			s.sendStop(r)
		}
		s.renewSoon(h, renewGap)
	case worker.OtherBoot:
		s.lost(h, "another worker answers at its address")
	case worker.Superseded:
		// The worker may know a higher run from an earlier leader.
		s.refuseStart(r, string(reply.Refusal))
	case worker.Unhealthy:
		s.refuseStart(r, string(reply.Refusal))
		s.avoid(h, "it calls itself unhealthy", unhealthyPause)
	default:
		s.refuseStart(r, string(reply.Refusal))
		r.task.notBefore = now + failureBackoff
		if reply.Refusal == worker.NoRoom {
			s.avoid(h, "it has less room than is known", noRoomPause)
		}
		s.renewSoon(h, 0)
	}
}

const (
	// unhealthyPause is how long a worker that refuses work gets none.
	unhealthyPause = 700 * time.Millisecond
	// noRoomPause is how long a worker that had no room gets no tasks.
	noRoomPause = 300 * time.Millisecond
)

// refuseStart notes that a run surely didn't begin.
func (s *Scheduler) refuseStart(r *run, reason string) {
	s.Log.Write(event.TaskRefused, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.host.ID, "reason": reason})
	s.removeRun(r, reason)
}

// doubt notes that an order may yet be carried out. The run keeps its room; once the worker has answered an order to
// stop it, it can't begin any more.
func (s *Scheduler) doubt(r *run, err error) {
	r.doubt = true
	s.Log.Write(event.TaskInDoubt, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.host.ID, "reason": err.Error()})
	if r.stopping {
		s.sendStop(r)
	}
	s.stop(r, "the order to start it was not answered")
	s.renewSoon(r.host, 0)
}

// stop ends a run.
func (s *Scheduler) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.why = true, reason
	s.Log.Write(event.TaskStopped, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": r.host.ID, "reason": reason})
	if r.known != 0 || r.doubt {
		s.sendStop(r)
	}
}

func (s *Scheduler) sendStop(r *run) {
	if r.stopSent || r.host.runs[r.task.id()] != r {
		return
	}
	r.stopSent = true
	target := r.host.target()
	order := worker.StopOrder{Task: r.task.id(), Run: r.number, Token: s.Epoch}
	call(s, orderTimeout, func(ctx context.Context) (worker.Reply, error) {
		if !s.LeaseValid() {
			return worker.Reply{}, fault.New(fault.NotReady, "the lease must be renewed before an order").WithOutcome(fault.NotRun)
		}
		return s.Workers.Stop(ctx, target, order)
	}, func(reply worker.Reply, err error) {
		if r.host.runs[r.task.id()] == r {
			s.stopAnswered(r, reply, err)
		}
	})
}

func (s *Scheduler) stopAnswered(r *run, reply worker.Reply, err error) {
	h := r.host
	switch {
	case err == nil && reply.Refusal == worker.OtherBoot:
		s.lost(h, "another worker answers at its address")
	case err == nil && (reply.Refusal == worker.Accepted || reply.Refusal == worker.Superseded):
		s.readClock(h, reply)
		if r.doubt {
			// Whether it ran is told by the worker's next list; from now on it can't begin.
			r.doubt = false
			r.known = s.Now()
		}
		s.renewSoon(h, renewGap)
	default:
		s.after(stopRetry, func() {
			r.stopSent = false
			s.sendStop(r)
		})
	}
}

// takeRunning takes in a run that the worker lists.
func (s *Scheduler) takeRunning(h *host, live worker.Run) {
	now := s.Now()
	r := h.runs[live.Task]
	if r != nil && r.number == live.Run {
		if r.known == 0 || r.doubt {
			r.known, r.moved = now, now
		}
		s.progress(r, live, now)
		return
	}
	t := s.task(s.jobs[live.Task.Job], live.Task)
	if r != nil || t == nil {
		s.stopStranger(h, live)
		return
	}
	s.adopt(t, h, live)
	s.settleRuns(t)
}

// settleRuns stops the runs of a task that are too many after a change of the leader.
func (s *Scheduler) settleRuns(t *task) {
	if t.done || !t.job().open() {
		for _, r := range t.runs {
			s.stop(r, "no open job wants this run")
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
			s.stop(r, "a later run of the task goes on")
		}
	}
}

// adopt takes over a run of an earlier leader, which knew that the task's turn had come.
func (s *Scheduler) adopt(t *task, h *host, live worker.Run) {
	r := s.addRun(t, h, live.Run)
	now := s.Now()
	r.known, r.moved = now, now
	t.job().started = true
	s.progress(r, live, now)
}

func (s *Scheduler) progress(r *run, live worker.Run, now time.Duration) {
	if live.Percent > r.percent {
		r.percent, r.moved = live.Percent, now
	}
	r.looked = now
	r.load = live.Load
	if live.Checkpoint != "" {
		r.task.checkpoint = live.Checkpoint
	}
}

// stopStranger stops a run that no open job wants.
func (s *Scheduler) stopStranger(h *host, live worker.Run) {
	if h.strangers[live.Task] == live.Run {
		return
	}
	h.strangers[live.Task] = live.Run
	s.Log.Write(event.TaskStopped, event.Fields{"task": live.Task.String(), "run": live.Run, "worker": h.ID, "reason": "no open job wants this run"})
	s.sendStrangerStop(h, live)
}

func (s *Scheduler) sendStrangerStop(h *host, live worker.Run) {
	target := h.target()
	order := worker.StopOrder{Task: live.Task, Run: live.Run, Token: s.Epoch}
	call(s, orderTimeout, func(ctx context.Context) (worker.Reply, error) { return s.Workers.Stop(ctx, target, order) },
		func(_ worker.Reply, err error) {
			if h.gone || h.strangers[live.Task] != live.Run {
				return
			}
			if err != nil {
				s.after(stopRetry, func() {
					if h.strangers[live.Task] == live.Run {
						s.sendStrangerStop(h, live)
					}
				})
				return
			}
			s.renewSoon(h, renewGap)
		})
}

// maxBackoffs bounds the pause before a failed task starts again.
const maxBackoffs = 10
