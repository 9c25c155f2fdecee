package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// renewSoon looks at the worker after the delay, unless a look is under way or planned.
func (s *Scheduler) renewSoon(h *host, delay time.Duration) {
	if h.renewing || h.planned || h.gone {
		return
	}
	h.planned = true
	s.after(delay, func() {
		h.planned = false
		s.renewNow(h)
	})
}

// renewNow extends the worker's lease and asks what became of its runs.
func (s *Scheduler) renewNow(h *host) {
	if h.renewing || h.gone {
		return
	}
	if !s.LeaseValid() {
		s.renewSoon(h, renewRetry)
		return
	}
	h.renewing = true
	now := s.Now()
	h.renewed = now
	order := worker.RenewOrder{Token: s.Epoch, Acknowledged: h.acked}
	if h.fenced {
		order.LeaseEnd = s.leaseEnd(h)
		if len(h.ends) == 0 && len(h.runs) > 0 {
			order.Wait = renewWait
		}
	}
	target := h.target()
	call(s, order.Wait+renewSlack, func(ctx context.Context) (worker.Status, error) { return s.Workers.Renew(ctx, target, order) },
		func(status worker.Status, err error) {
			h.renewing = false
			if h.gone {
				return
			}
			s.Metrics.addLook()
			s.renewAnswered(h, now, status, err)
		})
}

func (s *Scheduler) renewAnswered(h *host, sent time.Duration, status worker.Status, err error) {
	if err != nil {
		s.noAnswer(h, err)
		s.renewSoon(h, renewRetry)
		return
	}
	s.readClock(h, status.Reply)
	switch status.Refusal {
	case worker.Accepted:
		s.heard(h)
		s.takeStatus(h, sent, status)
	case worker.OtherBoot:
		s.lost(h, "another worker answers at its address")
		return
	case worker.Fenced:
		s.Log.Write(event.RecoveryStep, event.Fields{"epoch": s.Epoch, "step": "fence " + h.ID, "outcome": "a later leader has given orders"})
		s.renewSoon(h, renewRetry)
		return
	default:
		s.noAnswer(h, fault.New(fault.EndpointRefused, "renewal refused: %s", status.Refusal))
		s.renewSoon(h, renewRetry)
		return
	}
	s.planRenewal(h)
}

// planRenewal says when the worker is looked at next.
func (s *Scheduler) planRenewal(h *host) {
	switch {
	case len(h.ends) > 0:
		// The next look follows once these ends are stored, or as a retry.
		s.renewSoon(h, renewRetry)
	case len(h.runs)+len(h.strangers) > 0:
		s.renewSoon(h, renewGap)
	}
}

// noAnswer notes that a worker doesn't answer.
func (s *Scheduler) noAnswer(h *host, err error) {
	if h.silent == 0 {
		h.silent = s.Now()
		s.Log.Write(event.WorkerSilent, event.Fields{"worker": h.ID, "reason": err.Error(), "runs": len(h.runs)})
		s.copySilent(h)
	}
}

// heard notes that a worker answers.
func (s *Scheduler) heard(h *host) {
	if h.silent != 0 {
		s.Log.Write(event.WorkerHeard, event.Fields{"worker": h.ID, "silent_ms": (s.Now() - h.silent).Milliseconds()})
		h.silent = 0
	}
	if !h.fenced {
		h.fenced = true
		delete(s.unheard, h.ID)
	}
}

// takeStatus takes in what the worker says of its runs; the answer is about a moment after it was asked for.
func (s *Scheduler) takeStatus(h *host, sent time.Duration, status worker.Status) {
	listed := make(map[work.TaskID]int64, len(status.Running))
	for _, live := range status.Running {
		listed[live.Task] = live.Run
		s.takeRunning(h, live)
	}
	for _, end := range status.Ended {
		if end.Number > h.last {
			h.last = end.Number
			s.takeEnd(h, end)
		}
	}
	for _, r := range sortedRuns(h.runs) {
		if r.known < sent && r.known != 0 && listed[r.task.id()] != r.number {
			s.Log.Write(event.TaskLost, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": h.ID, "reason": "the worker lists neither the run nor its end"})
			s.removeRun(r, "the worker lists neither the run nor its end")
		}
	}
	for id, number := range h.strangers {
		if listed[id] != number {
			delete(h.strangers, id)
		}
	}
	s.acknowledgeHost(h)
	s.soon()
}

// acknowledge lets the workers forget the ends that are stored.
func (s *Scheduler) acknowledge() {
	for _, h := range s.workers {
		if len(h.ends) > 0 {
			s.acknowledgeHost(h)
		}
	}
}

func (s *Scheduler) acknowledgeHost(h *host) {
	before := len(h.ends)
	for len(h.ends) > 0 && (h.ends[0].job == nil || h.ends[0].job.kept >= h.ends[0].change) {
		h.acked = h.ends[0].number
		h.ends = h.ends[1:]
	}
	if before > 0 && len(h.ends) == 0 && !h.renewing {
		s.renewNow(h)
	}
}

// checkWorkers gives up workers whose lease has surely lapsed, and looks at idle ones now and then.
func (s *Scheduler) checkWorkers(now time.Duration) {
	for _, h := range s.workers {
		switch {
		case h.silent != 0 && h.lapses != 0 && now > h.lapses:
			s.lapsed(h)
		case !h.registered && len(h.runs)+len(h.strangers) == 0 && h.fenced:
			s.lost(h, "its registration was removed and nothing runs on it")
		case !h.renewing && !h.planned && (len(h.runs) > 0 || now-h.renewed > idleRenew || !h.fenced):
			s.renewNow(h)
		}
	}
}

// lapsed notes that nothing can run any more on a worker that doesn't answer.
func (s *Scheduler) lapsed(h *host) {
	for _, r := range sortedRuns(h.runs) {
		s.removeRun(r, "the worker's lease has lapsed")
	}
	clear(h.strangers)
	delete(s.unheard, h.ID)
	h.lapses = 0
	if !h.registered {
		s.lost(h, "it does not answer, its lease has lapsed and its registration was removed")
	}
}
