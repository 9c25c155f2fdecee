package route

import (
	"time"

	"samphirekeel.example/keel/fault"
)

// waitQueue holds the requests of one service that wait for a slot; it is guarded by Pool.mu.
type waitQueue struct {
	waiters []*waiter
}

// waiter is one request that waits for a slot.
type waiter struct {
	// ready receives the endpoint with an acquired slot, or nil if the pool has no endpoint left.
	ready chan *Endpoint
	// tried holds the endpoints of earlier attempts.
	tried []*Endpoint
}

// dequeueFor removes and returns the first waiter that hasn't tried the endpoint, or nil.
func (q *waitQueue) dequeueFor(e *Endpoint) *waiter {
	for i, w := range q.waiters {
		if !contains(w.tried, e) {
			q.removeAt(i)
			return w
		}
	}
	return nil
}

// removeAt removes a waiter and keeps the order; removing the first, the usual case, copies nothing.
func (q *waitQueue) removeAt(i int) {
	if i == 0 {
		q.waiters[0] = nil
		q.waiters = q.waiters[1:]
		return
	}
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
}

// remove removes the waiter and reports whether it was in the queue.
func (q *waitQueue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// wait waits for a slot until an average service time before the deadline.
func (p *Pool) wait(s *Service, deadline time.Time, tried []*Endpoint) (choice, error) {
	w := &waiter{ready: make(chan *Endpoint, 1), tried: tried}
	latestStart := deadline.Add(-time.Duration(s.state.avgServiceTime.Load()))
	err := p.enqueue(s, w, latestStart)
	if err != nil {
		return choice{}, err
	}
	s.state.waiting.Inc()
	defer s.state.waiting.Dec()
	timer := time.NewTimer(time.Until(latestStart))
	defer timer.Stop()
	select {
	case e := <-w.ready:
		if e == nil {
			return choice{}, p.noEndpointError(string(s.Path))
		}
		return choice{endpoint: e, reason: ReasonWaited}, nil
	case <-timer.C:
	}
	return choice{}, p.cancelWait(s, w)
}

// enqueue queues the request; it rejects the request if the queue is full or the expected wait ends after latestStart.
func (p *Pool) enqueue(s *Service, w *waiter, latestStart time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := &s.state.queue
	requestsAhead := min(p.waiting.Load(), int64(len(queue.waiters)*len(p.queues)))
	expected := p.drainTime(requestsAhead + 1)
	if len(queue.waiters) >= s.QueueDepth {
		return fault.New(fault.Overloaded, "queue full: %d requests already wait for a slot", len(queue.waiters)).WithRetryAfter(p.retryAfter())
	}
	if time.Now().Add(expected).After(latestStart) {
		return fault.New(fault.Overloaded, "a slot would come too late for the deadline").WithRetryAfter(p.retryAfter())
	}
	queue.waiters = append(queue.waiters, w)
	if p.waiting.Add(1) > 1 {
		return nil
	}
	// release assigns a slot only if it sees waiting > 0, so one that was freed before this Add was assigned to nobody.
	members := p.endpoints()
	if len(members) == 0 {
		return nil
	}
	found, ok := p.acquireFrom(0, len(members), w.tried)
	if ok {
		queue.remove(w)
		p.waiting.Add(-1)
		w.ready <- found.endpoint
	}
	return nil
}

// cancelWait removes the request from the queue and returns its error; it releases a slot that was assigned meanwhile.
func (p *Pool) cancelWait(s *Service, w *waiter) error {
	p.mu.Lock()
	removed := s.state.queue.remove(w)
	if removed {
		p.waiting.Add(-1)
	}
	p.mu.Unlock()
	if !removed {
		e := <-w.ready
		if e != nil {
			e.release()
		}
	}
	return fault.New(fault.DeadlineExceeded, "no slot became free before the deadline").WithRetryAfter(p.retryAfter())
}

// retryAfter returns the time after which a rejected caller should try again: the drain time of the queue, at least one
// average service time.
func (p *Pool) retryAfter() time.Duration {
	wait := max(p.drainTime(p.waiting.Load()+1), time.Duration(p.avgServiceTime.Load()), minRetryAfter)
	return wait.Round(time.Millisecond)
}

// minRetryAfter is the minimum of retryAfter.
const minRetryAfter = 10 * time.Millisecond
