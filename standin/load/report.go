package load

import (
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/standin/endpoint"
)

// TicketReport counts the tickets of a run by outcome.
type TicketReport struct {
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	// Unknown counts tickets whose final response stated that the outcome is unknown.
	Unknown int `json:"unknown"`
	// Lost counts tickets without a final response after the last attempt.
	Lost int `json:"lost"`
	// Duplicated counts tickets that ran more than once.
	Duplicated int `json:"doubled"`
	// WrongResponse counts tickets that got the response of another ticket, or a success although no endpoint ran them.
	WrongResponse int `json:"wrong"`
	// FalseNotRun counts tickets that ran although every response stated that they did not run.
	FalseNotRun int `json:"untrue"`
	// Interrupted counts requests that were in flight at an endpoint when it was stopped.
	Interrupted int `json:"cut"`
	Retries     int `json:"retries"`
}

// ExactlyOnce reports whether every ticket ran once and got its own response, and no request was interrupted.
func (r TicketReport) ExactlyOnce() bool {
	return r.Consistent() && r.Unknown == 0 && r.Interrupted == 0
}

// Consistent reports whether every ticket got a final response that matches the endpoints' audit, and none ran twice;
// unknown outcomes are allowed.
func (r TicketReport) Consistent() bool {
	return r.Completed+r.Unknown == r.Sent && r.Lost == 0 && r.Duplicated == 0 && r.WrongResponse == 0 && r.FalseNotRun == 0
}

// attemptResult is the result of one attempt as its client saw it.
type attemptResult struct {
	outcome fault.Outcome
	// noRetry reports that the response advised against a retry.
	noRetry    bool
	retryAfter time.Duration
	body       string
}

func (r attemptResult) final() bool { return r.outcome == fault.Ran || r.noRetry }

// ticket is one ticket with the results of its attempts.
type ticket struct {
	name, service string
	lastResult    attemptResult
	attempts      int
	// mayHaveRun reports that the outcome of at least one attempt was not "not run".
	mayHaveRun bool
}

// ticketSet is the set of tickets of a run; its methods are safe for concurrent use.
type ticketSet struct {
	mu      sync.Mutex
	tickets []*ticket
}

func (s *ticketSet) add(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets = append(s.tickets, t)
}

func (s *ticketSet) record(t *ticket, result attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.attempts++
	t.lastResult = result
	t.mayHaveRun = t.mayHaveRun || result.outcome != fault.NotRun
}

// report compares the responses that the clients got with the runs that the endpoints counted.
func (s *ticketSet) report(audit endpoint.Audit) TicketReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := TicketReport{Sent: len(s.tickets), Interrupted: audit.Interrupted}
	for _, t := range s.tickets {
		report.Retries += t.attempts - 1
		runs := audit.Runs[t.name]
		switch {
		case t.lastResult.outcome == fault.Ran:
			report.Completed++
		case t.lastResult.noRetry:
			report.Unknown++
		default:
			report.Lost++
		}
		if runs > 1 {
			report.Duplicated++
		}
		if t.lastResult.outcome == fault.Ran && (t.lastResult.body != "done "+t.name || runs == 0) {
			report.WrongResponse++
		}
		if runs > 0 && !t.mayHaveRun {
			report.FalseNotRun++
		}
	}
	return report
}
