package emulator

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/worker"
)

// maxWaitingCalls is the number of waiting calls of one caller from which the policy service rejects further ones.
const maxWaitingCalls = 32

// PolicyService emulates the service that decides on which workers a step may run. It handles the calls of each caller in turn, also
// those that the caller has given up meanwhile. Its methods are safe for concurrent use.
type PolicyService struct {
	// Timing holds the response time and the validity of tickets.
	Timing queue.PolicyTiming
	// AllowedShare is the share of the workers on which a step may run.
	AllowedShare float64

	mu     sync.Mutex
	slow   int
	silent bool
	lines  map[string][]*policyCall
	issued map[string]issuedTicket
	calls  PolicyCalls
}

// issuedTicket is what a ticket permits, and when it was issued.
type issuedTicket struct {
	step, worker string
	at           time.Time
}

// PolicyCalls counts the calls that the service has handled, Abandoned those of them that the caller had given up by then; Workers
// is the number of workers in all of them, and Rejected that of the calls rejected because too many were waiting.
type PolicyCalls struct {
	Handled, Abandoned, Workers, Rejected int
}

type policyCall struct {
	ctx     context.Context
	step    string
	workers []string
	tickets chan []worker.Ticket
}

// NewPolicyService returns a service for queues with the timing, which allows a share of the workers.
func NewPolicyService(timing queue.PolicyTiming, allowedShare float64) *PolicyService {
	return &PolicyService{Timing: timing, AllowedShare: allowedShare, lines: make(map[string][]*policyCall), issued: make(map[string]issuedTicket)}
}

// SetSlow makes the service take a multiple of the time; 0 and 1 end that.
func (p *PolicyService) SetSlow(factor int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = factor
}

// SetSilent makes the service not answer the calls that it begins to handle, or ends that.
func (p *PolicyService) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// Calls returns the counts so far.
func (p *PolicyService) Calls() PolicyCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Client returns a client for calls from the named entry.
func (p *PolicyService) Client(caller string) *worker.PolicyClient {
	return &worker.PolicyClient{RequestTickets: func(ctx context.Context, step string, workers []string, timeout time.Duration) ([]worker.Ticket, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		call := &policyCall{ctx: ctx, step: step, workers: workers, tickets: make(chan []worker.Ticket, 1)}
		if !p.enqueue(caller, call) {
			return nil, fault.New(fault.Overloaded, "emulated policy service has too many waiting calls")
		}
		select {
		case tickets := <-call.tickets:
			return tickets, nil
		case <-ctx.Done():
			return nil, fault.New(fault.EndpointFailed, "emulated response after the deadline").WithOutcome(fault.Unknown)
		}
	}}
}

// enqueue adds a call to the caller's line and reports whether there was room.
func (p *PolicyService) enqueue(caller string, call *policyCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := p.lines[caller]
	if len(line) > maxWaitingCalls {
		p.calls.Rejected++
		return false
	}
	p.lines[caller] = append(line, call)
	if len(line) == 0 {
		go p.serve(caller)
	}
	return true
}

// serve handles the calls of a caller until none is left; the first in its line is the one in progress.
func (p *PolicyService) serve(caller string) {
	for {
		p.mu.Lock()
		call := p.lines[caller][0]
		took := (p.Timing.BaseTime + p.Timing.TimePerWorker*time.Duration(len(call.workers))) * time.Duration(max(1, p.slow))
		p.mu.Unlock()
		time.Sleep(took)
		p.mu.Lock()
		p.finish(call)
		p.lines[caller] = p.lines[caller][1:]
		idle := len(p.lines[caller]) == 0
		p.mu.Unlock()
		if idle {
			return
		}
	}
}

// finish counts a handled call and answers it, unless the service is silent.
func (p *PolicyService) finish(call *policyCall) {
	p.calls.Handled++
	p.calls.Workers += len(call.workers)
	if call.ctx.Err() != nil {
		p.calls.Abandoned++
		return
	}
	if p.silent {
		return
	}
	tickets := []worker.Ticket{}
	for _, id := range call.workers {
		if !p.permits(call.step, id) {
			continue
		}
		ticket := fmt.Sprintf("t-%s-%s-%d", call.step, id, p.calls.Handled)
		p.issued[ticket] = issuedTicket{step: call.step, worker: id, at: time.Now()}
		tickets = append(tickets, worker.Ticket{Worker: id, Ticket: ticket})
	}
	call.tickets <- tickets
}

// permits reports whether the policy permits the step on the worker, which never changes.
func (p *PolicyService) permits(step, id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + " " + id))
	const scale = 1000
	return float64(h.Sum32()%scale) < p.AllowedShare*scale
}

// isValid reports whether the ticket was issued for the step on the worker and hasn't expired.
func (p *PolicyService) isValid(step, id, ticket string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.issued[ticket]
	return ok && t.step == step && t.worker == id && time.Since(t.at) <= p.Timing.TicketValidity
}

// hasTicket reports whether the order has a valid ticket, or needs none.
func (w *Worker) hasTicket(o worker.StartOrder) bool {
	p := w.fleet.Policy
	return p == nil || p.isValid(o.Task.StepName(), w.id, o.Ticket)
}
