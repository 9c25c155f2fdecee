package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/worker"
)

const (
	// adviceNames bounds the workers in one question.
	adviceNames = 30
	// adviceSlack is how long an answer may take beyond what the queue's policy says.
	adviceSlack = 500 * time.Millisecond
	// adviceRetry is the time between two questions about the same step.
	adviceRetry = 150 * time.Millisecond
	// adviceMargin is the part of a ticket's validity that isn't used.
	adviceMargin = 0.1
)

// adviceState is what is known of a step's policy.
type adviceState struct {
	// tickets holds the tickets by worker, nil for a step without a policy.
	tickets map[string]ticketUntil
	asking  bool
	asked   time.Duration
	// refused holds the workers that the policy doesn't allow.
	refused map[string]bool
}

type ticketUntil struct {
	ticket string
	until  time.Duration
}

// allows reports whether the step may start on the worker.
func (a *adviceState) allows(h *host, now time.Duration) bool {
	if a.tickets == nil {
		return true
	}
	t, ok := a.tickets[h.ID]
	return ok && now < t.until
}

func (a *adviceState) ticket(h *host) string { return a.tickets[h.ID].ticket }

// advised reports whether the step has no policy, or has tickets enough to look for workers; else it asks for some.
func (s *Scheduler) advised(step *stepState, pl *planner) bool {
	q := step.occ.job.queue
	if q == nil || q.Policy == nil || s.Adviser == nil {
		step.advice.tickets = nil
		return true
	}
	a := &step.advice
	if a.tickets == nil {
		a.tickets = make(map[string]ticketUntil)
		a.refused = make(map[string]bool)
	}
	room := 0
	for _, h := range pl.hosts {
		if a.allows(h, pl.now) && h.free().Holds(step.size()) {
			room++
		}
	}
	if room < step.waiting && !a.asking && pl.now-a.asked >= adviceRetry {
		s.ask(step, pl)
	}
	return room > 0
}

// ask asks the policy about workers with room that it hasn't refused.
func (s *Scheduler) ask(step *stepState, pl *planner) {
	a := &step.advice
	var ids []string
	for _, h := range pl.hosts {
		if len(ids) < adviceNames && !a.refused[h.ID] && !a.allows(h, pl.now) && h.free().Holds(step.size()) {
			ids = append(ids, h.ID)
		}
	}
	if len(ids) == 0 {
		clear(a.refused)
		return
	}
	policy := step.occ.job.queue.Policy
	wait := policy.BaseTime + policy.TimePerWorker*time.Duration(len(ids)) + adviceSlack
	name := (&task{step: step}).id().StepName()
	a.asking, a.asked = true, pl.now
	call(s, wait, func(ctx context.Context) ([]worker.Ticket, error) {
		return s.Adviser.RequestTickets(ctx, name, ids, wait)
	},
		func(tickets []worker.Ticket, err error) {
			a.asking = false
			a.asked = s.Now()
			if err != nil {
				s.Log.Write(event.TaskRefused, event.Fields{"task": name, "run": 0, "worker": "", "reason": "advice: " + err.Error()})
				return
			}
			until := s.Now() + time.Duration(float64(policy.TicketValidity)*(1-adviceMargin))
			for _, t := range tickets {
				a.tickets[t.Worker] = ticketUntil{ticket: t.Ticket, until: until}
			}
			for _, id := range ids {
				_, ok := a.tickets[id]
				if !ok {
					a.refused[id] = true
				}
			}
			s.soon()
		})
}
