package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/worker"
)

const (
	// maxAdviceWorkers is the maximum number of workers in one request.
	maxAdviceWorkers = 30
	// adviceTimeoutMargin is added to the response time that the queue's policy declares.
	adviceTimeoutMargin = 500 * time.Millisecond
	// adviceRetry is the minimum interval between requests about the same step.
	adviceRetry = 150 * time.Millisecond
	// ticketValidityMargin is the share of a ticket's validity that is left unused.
	ticketValidityMargin = 0.1
)

// adviceState is the state of a step under its queue's placement policy, which issues a ticket for each worker that the
// step may start on.
type adviceState struct {
	// tickets holds the tickets by worker; it is nil for a step without a policy.
	tickets     map[string]cachedTicket
	requesting  bool
	requestedAt time.Duration
	// denied holds the workers that the policy gave no ticket for.
	denied map[string]bool
}

type cachedTicket struct {
	ticket  string
	expires time.Duration
}

// allows reports whether the step may start on the worker.
func (a *adviceState) allows(w *workerState, now time.Duration) bool {
	if a.tickets == nil {
		return true
	}
	t, ok := a.tickets[w.ID]
	return ok && now < t.expires
}

func (a *adviceState) ticket(w *workerState) string { return a.tickets[w.ID].ticket }

// ensureTickets reports whether the step has no policy or has a valid ticket for some worker with enough capacity. It
// requests further tickets if there are fewer such workers than waiting tasks.
func (s *Scheduler) ensureTickets(step *stepState, pl *planner) bool {
	q := step.occurrence.job.queue
	if q == nil || q.Policy == nil || s.Adviser == nil {
		step.advice.tickets = nil
		return true
	}
	a := &step.advice
	if a.tickets == nil {
		a.tickets = make(map[string]cachedTicket)
		a.denied = make(map[string]bool)
	}
	available := 0
	for _, w := range pl.workers {
		if a.allows(w, pl.now) && w.free().Holds(step.size()) {
			available++
		}
	}
	if available < step.waiting && !a.requesting && pl.now-a.requestedAt >= adviceRetry {
		s.requestTickets(step, pl)
	}
	return available > 0
}

// requestTickets requests tickets for workers with enough capacity that the policy hasn't denied.
func (s *Scheduler) requestTickets(step *stepState, pl *planner) {
	a := &step.advice
	var ids []string
	for _, w := range pl.workers {
		if len(ids) < maxAdviceWorkers && !a.denied[w.ID] && !a.allows(w, pl.now) && w.free().Holds(step.size()) {
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 {
		clear(a.denied)
		return
	}
	policy := step.occurrence.job.queue.Policy
	timeout := policy.BaseTime + policy.TimePerWorker*time.Duration(len(ids)) + adviceTimeoutMargin
	name := (&task{step: step}).id().StepName()
	a.requesting, a.requestedAt = true, pl.now
	call(s, timeout, func(ctx context.Context) ([]worker.Ticket, error) {
		return s.Adviser.RequestTickets(ctx, name, ids, timeout)
	},
		func(tickets []worker.Ticket, err error) {
			a.requesting = false
			a.requestedAt = s.Now()
			if err != nil {
				s.Log.Write(event.TaskRefused, event.Fields{"task": name, "run": 0, "worker": "", "reason": "advice: " + err.Error()})
				return
			}
			expires := s.Now() + time.Duration(float64(policy.TicketValidity)*(1-ticketValidityMargin))
			for _, t := range tickets {
				a.tickets[t.Worker] = cachedTicket{ticket: t.Ticket, expires: expires}
			}
			for _, id := range ids {
				_, ok := a.tickets[id]
				if !ok {
					a.denied[id] = true
				}
			}
			s.schedulePlan()
		})
}
