package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// scheduleRenewal renews the worker's lease after the delay, unless a renewal is in progress or scheduled.
func (s *Scheduler) scheduleRenewal(h *host, delay time.Duration) {
	if h.renewing || h.renewalPlanned || h.removed {
		return
	}
	h.renewalPlanned = true
	s.after(delay, func() {
		h.renewalPlanned = false
		s.renew(h)
	})
}

// renew extends the worker's lease and requests the state of its runs.
func (s *Scheduler) renew(h *host) {
	if h.renewing || h.removed {
		return
	}
	if !s.Valid() {
		s.scheduleRenewal(h, renewRetry)
		return
	}
	h.renewing = true
	now := s.Now()
	h.renewedAt = now
	order := worker.RenewOrder{Token: s.Epoch, Acknowledged: h.acked}
	if h.fenced {
		order.LeaseEnd = s.extendLease(h)
		if len(h.ends) == 0 && len(h.runs) > 0 {
			order.Wait = renewWait
		}
	}
	target := h.target()
	call(s, order.Wait+renewTimeoutMargin, func(ctx context.Context) (worker.Status, error) { return s.Workers.Renew(ctx, target, order) },
		func(status worker.Status, err error) {
			h.renewing = false
			if h.removed {
				return
			}
			s.Metrics.addRenewal()
			s.handleRenewal(h, now, status, err)
		})
}

func (s *Scheduler) handleRenewal(h *host, sent time.Duration, status worker.Status, err error) {
	if err != nil {
		s.markUnresponsive(h, err)
		s.scheduleRenewal(h, renewRetry)
		return
	}
	s.recordClock(h, status.Reply)
	switch status.Refusal {
	case worker.Accepted:
		s.markResponsive(h)
		s.applyStatus(h, sent, status)
	case worker.OtherBoot:
		s.removeWorker(h, "another worker responds at its address")
		return
	case worker.Fenced:
		s.Log.Write(event.RecoveryStep, event.Fields{"epoch": s.Epoch, "step": "fence " + h.ID, "outcome": "worker has accepted a later epoch; retrying"})
		s.scheduleRenewal(h, renewRetry)
		return
	default:
		s.markUnresponsive(h, fault.New(fault.EndpointRefused, "renewal refused: %s", status.Refusal))
		s.scheduleRenewal(h, renewRetry)
		return
	}
	s.scheduleNextRenewal(h)
}

func (s *Scheduler) scheduleNextRenewal(h *host) {
	switch {
	case len(h.ends) > 0:
		// The next renewal follows as soon as these ends are stored; this one is the fallback.
		s.scheduleRenewal(h, renewRetry)
	case len(h.runs)+len(h.orphans) > 0:
		s.scheduleRenewal(h, minRenewInterval)
	}
}

// markUnresponsive records that the worker failed to respond.
func (s *Scheduler) markUnresponsive(h *host, err error) {
	if h.unresponsiveSince == 0 {
		h.unresponsiveSince = s.Now()
		s.Log.Write(event.WorkerSilent, event.Fields{"worker": h.ID, "reason": err.Error(), "runs": len(h.runs)})
		s.speculateUnresponsive(h)
	}
}

// markResponsive records that the worker responded under this epoch.
func (s *Scheduler) markResponsive(h *host) {
	if h.unresponsiveSince != 0 {
		s.Log.Write(event.WorkerHeard, event.Fields{"worker": h.ID, "silent_ms": (s.Now() - h.unresponsiveSince).Milliseconds()})
		h.unresponsiveSince = 0
	}
	if !h.fenced {
		h.fenced = true
		delete(s.unfenced, h.ID)
	}
}

// applyStatus applies the worker's list of runs. The list may lack runs that were confirmed after sent, the time of the
// request.
func (s *Scheduler) applyStatus(h *host, sent time.Duration, status worker.Status) {
	listed := make(map[work.TaskID]int64, len(status.Running))
	for _, live := range status.Running {
		listed[live.Task] = live.Run
		s.applyRunning(h, live)
	}
	for _, end := range status.Ended {
		if end.Number > h.lastEnd {
			h.lastEnd = end.Number
			s.applyEnd(h, end)
		}
	}
	for _, r := range sortedRuns(h.runs) {
		if r.confirmedAt < sent && r.confirmedAt != 0 && listed[r.task.id()] != r.number {
			s.Log.Write(event.TaskLost, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": h.ID, "reason": "the worker lists neither the run nor its end"})
			s.removeRun(r, "the worker lists neither the run nor its end")
		}
	}
	for id, number := range h.orphans {
		if listed[id] != number {
			delete(h.orphans, id)
		}
	}
	s.acknowledgeHost(h)
	s.schedulePlan()
}

// acknowledgeAll allows the workers to discard the ends whose changes are stored.
func (s *Scheduler) acknowledgeAll() {
	for _, h := range s.workers {
		if len(h.ends) > 0 {
			s.acknowledgeHost(h)
		}
	}
}

func (s *Scheduler) acknowledgeHost(h *host) {
	pending := len(h.ends)
	for len(h.ends) > 0 && (h.ends[0].job == nil || h.ends[0].job.storedChange >= h.ends[0].change) {
		h.acked = h.ends[0].number
		h.ends = h.ends[1:]
	}
	if pending > 0 && len(h.ends) == 0 && !h.renewing {
		s.renew(h)
	}
}

// checkWorkers expires workers whose lease has certainly run out, removes idle ones without a registration, and renews
// the leases of the others that are due for it.
func (s *Scheduler) checkWorkers(now time.Duration) {
	for _, h := range s.workers {
		switch {
		case h.unresponsiveSince != 0 && h.leaseExpiry != 0 && now > h.leaseExpiry:
			s.expireWorkerLease(h)
		case !h.registered && len(h.runs)+len(h.orphans) == 0 && h.fenced:
			s.removeWorker(h, "its registration was removed and nothing runs on it")
		case !h.renewing && !h.renewalPlanned && (len(h.runs) > 0 || now-h.renewedAt > idleRenewInterval || !h.fenced):
			s.renew(h)
		}
	}
}

// expireWorkerLease removes the runs of an unresponsive worker whose lease has run out, because none of them can still
// be running.
func (s *Scheduler) expireWorkerLease(h *host) {
	for _, r := range sortedRuns(h.runs) {
		s.removeRun(r, "worker lease expired")
	}
	clear(h.orphans)
	delete(s.unfenced, h.ID)
	h.leaseExpiry = 0
	if !h.registered {
		s.removeWorker(h, "worker is unresponsive, its lease has expired and its registration was removed")
	}
}
