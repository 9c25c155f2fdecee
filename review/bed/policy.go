package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// policy is a stand-in for the service that decides on which workers a step may run. It handles one call at a time, in turn, and drops
// a call whose connection is closed before its turn.
type policy struct {
	b              *bed
	decide, each   time.Duration
	valid          time.Duration
	mu             sync.Mutex
	turn           chan struct{}
	waiting        int
	tickets        map[string]ticket
	calls, dropped int
}

type ticket struct {
	text   string
	issued time.Time
}

const maxWaitingCalls = 32

func newPolicy(b *bed, decide, each, valid time.Duration) *policy {
	return &policy{b: b, decide: decide, each: each, valid: valid, turn: make(chan struct{}, 1), tickets: make(map[string]ticket)}
}

func (p *policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	p.mu.Lock()
	if p.waiting >= maxWaitingCalls {
		p.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.waiting++
	p.mu.Unlock()
	select {
	case p.turn <- struct{}{}:
	case <-r.Context().Done():
		p.leave("dropped, the caller has closed the connection before its turn", body.Step, arrived)
		return
	}
	time.Sleep(p.decide + time.Duration(len(body.Workers))*p.each)
	good := [][]string{}
	p.mu.Lock()
	for _, id := range body.Workers {
		t := ticket{text: fmt.Sprintf("t-%s-%s-%d", body.Step, id, p.calls), issued: time.Now()}
		p.tickets[body.Step+" "+id] = t
		good = append(good, []string{id, t.text})
	}
	p.mu.Unlock()
	<-p.turn
	outcome := "answered"
	if r.Context().Err() != nil {
		outcome = "decided, but the caller has closed the connection"
	}
	p.leave(outcome, body.Step, arrived)
	reply(w, http.StatusOK, map[string]any{"good": good, "validMs": p.valid.Milliseconds()})
}

func (p *policy) leave(outcome, step string, arrived time.Time) {
	p.mu.Lock()
	p.waiting--
	p.calls++
	n := p.waiting
	p.mu.Unlock()
	p.b.record("policy: call for step %s %s after %d ms, %d calls wait", step, outcome, time.Since(arrived).Milliseconds(), n)
}

// allows reports whether the ticket is valid for the step on the worker.
func (p *policy) allows(step, worker, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tickets[step+" "+worker]
	return ok && t.text == text && time.Since(t.issued) <= p.valid
}
