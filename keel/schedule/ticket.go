package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/worker"
)

const (
	// maxTicketWorkers is the maximum number of workers in one request for tickets.
	maxTicketWorkers = 30
	// ticketTimeoutMargin is added to the response time that the queue's policy declares.
	ticketTimeoutMargin = 500 * time.Millisecond
	// ticketRequestInterval is the minimum interval between requests for the same step.
	ticketRequestInterval = 150 * time.Millisecond
	// ticketValidityMargin is the share of a ticket's validity that is left unused.
	ticketValidityMargin = 0.1
)

// stepTickets holds the tickets that the placement policy of a step's queue has issued, one for each worker that the
// step may start on.
type stepTickets struct {
	// byWorker holds the tickets by worker; it is nil for a step without a policy.
	byWorker    map[string]cachedTicket
	requesting  bool
	requestedAt time.Duration
	// denied holds the workers for which the policy issued no ticket; it is cleared when no further worker qualifies
	// for a request, so that these are requested again.
	denied map[string]bool
}

type cachedTicket struct {
	ticket  string
	expires time.Duration
	// boot is the worker's boot for which the ticket was issued.
	boot worker.Boot
}

// allows reports whether the step may start on the worker.
func (st *stepTickets) allows(w *workerState, now time.Duration) bool {
	if st.byWorker == nil {
		return true
	}
	t, ok := st.byWorker[w.ID]
	return ok && now < t.expires && !t.boot.IsOther(w.boot)
}

func (st *stepTickets) forWorker(w *workerState) string { return st.byWorker[w.ID].ticket }

// ensureTickets reports whether the step has no policy or has a valid ticket for some worker with enough capacity that
// its constraints permit. It requests further tickets if there are fewer such workers than waiting tasks.
func (s *Scheduler) ensureTickets(step *stepState, pl *planner) bool {
	q := step.occurrence.job.queue
	if q.Policy == nil || s.Policy == nil {
		step.tickets.byWorker = nil
		return true
	}
	st := &step.tickets
	if st.byWorker == nil {
		st.byWorker = make(map[string]cachedTicket)
		st.denied = make(map[string]bool)
	}
	available := 0
	eligible := pl.eligible(step)
	for _, w := range eligible {
		if st.allows(w, pl.now) && step.permits(w, 1) && w.free().Holds(step.size()) {
			available++
		}
	}
	mayRequest := !st.requesting && pl.now-st.requestedAt >= ticketRequestInterval
	if mayRequest && available < step.waiting {
		s.requestTickets(step, eligible, pl.now)
	}
	if mayRequest && available == 0 && !st.requesting {
		// No candidate is left that could get a ticket.
		pl.addMissing(step, step.waiting)
	}
	return available > 0
}

// requestTickets requests tickets for those of the workers with enough capacity that the step's constraints permit and the
// policy hasn't denied.
func (s *Scheduler) requestTickets(step *stepState, eligible []*workerState, now time.Duration) {
	st := &step.tickets
	var ids []string
	boots := make(map[string]worker.Boot)
	for _, w := range eligible {
		if len(ids) < maxTicketWorkers && !st.denied[w.ID] && !st.allows(w, now) && step.permits(w, 1) && w.free().Holds(step.size()) {
			ids = append(ids, w.ID)
			boots[w.ID] = w.boot
		}
	}
	if len(ids) == 0 {
		clear(st.denied)
		return
	}
	policy := step.occurrence.job.queue.Policy
	timeout := policy.BaseTime + policy.TimePerWorker*time.Duration(len(ids)) + ticketTimeoutMargin
	name := (&task{step: step}).id().StepName()
	st.requesting, st.requestedAt = true, now
	call(s, timeout, func(ctx context.Context) ([]worker.Ticket, error) {
		return s.Policy.RequestTickets(ctx, name, ids, timeout)
	},
		func(tickets []worker.Ticket, err error) {
			st.requesting = false
			st.requestedAt = s.Now()
			if err != nil {
				s.Log.Write(event.TaskRefused, event.Fields{"task": name, "run": 0, "worker": "", "reason": "ticket request failed: " + err.Error()})
				return
			}
			if st.byWorker == nil {
				// A new version of the configuration has no policy for the queue.
				return
			}
			expires := s.Now() + time.Duration(float64(policy.TicketValidity)*(1-ticketValidityMargin))
			for _, t := range tickets {
				st.byWorker[t.Worker] = cachedTicket{ticket: t.Ticket, expires: expires, boot: boots[t.Worker]}
			}
			for _, id := range ids {
				_, ok := st.byWorker[id]
				if !ok {
					st.denied[id] = true
				}
			}
			s.schedulePlan()
		})
}
