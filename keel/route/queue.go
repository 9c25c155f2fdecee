package route

import (
	"time"

	"samphirekeel.example/keel/fault"
)

// lane holds the requests of one service that wait for a slot; it is guarded by the lock of its pool.
type lane struct {
	waiters []*waiter
}

// waiter is one request that waits for a slot.
type waiter struct {
	// ready takes the endpoint of which a slot is held for the request.
	ready chan *Endpoint
	tried []*Endpoint
}

// take takes out the first waiter that may have the endpoint.
func (l *lane) take(e *Endpoint) *waiter {
	for i, w := range l.waiters {
		if !contains(w.tried, e) {
			l.remove(i)
			return w
		}
	}
	return nil
}

// remove keeps the order; the first is removed without a copy.
func (l *lane) remove(i int) {
	if i == 0 {
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
		return
	}
	l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
}

// cancel takes out the waiter and reports whether it still waited.
func (l *lane) cancel(w *waiter) bool {
	for i, other := range l.waiters {
		if other == w {
			l.remove(i)
			return true
		}
	}
	return false
}

// wait waits for a slot as long as the request can still make its deadline.
func (p *Pool) wait(s *Service, deadline time.Time, tried []*Endpoint) (choice, error) {
	w := &waiter{ready: make(chan *Endpoint, 1), tried: tried}
	last := deadline.Add(-time.Duration(s.state.typical.Load()))
	err := p.join(s, w, last)
	if err != nil {
		return choice{}, err
	}
	s.state.waiting.Inc()
	defer s.state.waiting.Dec()
	timer := time.NewTimer(time.Until(last))
	defer timer.Stop()
	select {
	case e := <-w.ready:
		if e == nil {
			return choice{}, p.none(string(s.Path))
		}
		return choice{endpoint: e, reason: Waited}, nil
	case <-timer.C:
	}
	return choice{}, p.giveUp(s, w)
}

// join queues the request, unless the queue is full or its turn would come too late.
func (p *Pool) join(s *Service, w *waiter, last time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := &s.state.lane
	ahead := min(p.waiting.Load(), int64(len(queue.waiters)*len(p.lanes)))
	expected := p.drainTime(ahead + 1)
	if len(queue.waiters) >= s.QueueDepth {
		return fault.New(fault.Overloaded, "%d requests wait for a slot already", len(queue.waiters)).WithRetryAfter(p.comeBack())
	}
	if time.Now().Add(expected).After(last) {
		return fault.New(fault.Overloaded, "a slot would come too late").WithRetryAfter(p.comeBack())
	}
	queue.waiters = append(queue.waiters, w)
	if p.waiting.Add(1) > 1 {
		return nil
	}
	// A slot that came free before the count was raised has been offered to nobody.
	members := p.endpoints()
	if len(members) == 0 {
		return nil
	}
	found, ok := p.probe(0, len(members), w.tried)
	if ok {
		queue.cancel(w)
		p.waiting.Add(-1)
		w.ready <- found.endpoint
	}
	return nil
}

// giveUp takes the request out of the queue; a slot that came at the same instant goes to the next one.
func (p *Pool) giveUp(s *Service, w *waiter) error {
	p.mu.Lock()
	waited := s.state.lane.cancel(w)
	if waited {
		p.waiting.Add(-1)
	}
	p.mu.Unlock()
	if !waited {
		e := <-w.ready
		if e != nil {
			e.release()
		}
	}
	return fault.New(fault.DeadlineExceeded, "no slot came free in time").WithRetryAfter(p.comeBack())
}

// comeBack returns when all that waits now will have got its slots, and not less than one service time.
func (p *Pool) comeBack() time.Duration {
	wait := max(p.drainTime(p.waiting.Load()+1), time.Duration(p.typical.Load()), minComeBack)
	return wait.Round(time.Millisecond)
}

// minComeBack is the shortest delay that a caller is told to wait before it asks again.
const minComeBack = 10 * time.Millisecond
