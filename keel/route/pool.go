package route

import (
	"sync"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/fault"
)

// maxProbes is the number of endpoints, from a random position, that are tried before a request waits.
const maxProbes = 8

// averageWeight is the divisor of the moving average of service times: a new value counts 1/16.
const averageWeight = 16

// Pool holds the endpoints that serve the same services, and the requests that wait for one of their slots.
type Pool struct {
	members atomic.Pointer[[]*Endpoint]
	// waiting is the number of requests that wait for a slot.
	waiting atomic.Int64
	// slots is the sum of the limits of the endpoints.
	slots atomic.Int64
	// avgServiceTime is the moving average of the service time in nanoseconds, 0 before the first response.
	avgServiceTime atomic.Int64
	ok, failed     atomic.Int64
	// lastResponse is the time of the last response of any endpoint, in nanoseconds since 1970.
	lastResponse atomic.Int64
	// remote reports that endpoints in other data centres are used.
	remote atomic.Bool

	// mu guards the queues below and the quarantines of the endpoints.
	mu        sync.Mutex
	queues    []*waitQueue
	nextQueue int

	// local holds the endpoints in the entry's own data centre; it is guarded by Router.mu.
	local []*Endpoint
}

// endpoints returns the endpoints that may get new requests.
func (p *Pool) endpoints() []*Endpoint {
	members := p.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// Reason is the reason for the choice of an endpoint, as it is logged.
type Reason string

// The reasons for a choice.
const (
	ReasonOnlyEndpoint     Reason = "only_endpoint"
	ReasonLeastOutstanding Reason = "least_outstanding"
	ReasonFreeSlot         Reason = "free_slot"
	ReasonWaited           Reason = "waited_for_slot"
)

// choice is an endpoint with an acquired slot, the endpoint that it was compared with, if any, and the reason.
type choice struct {
	endpoint, other *Endpoint
	reason          Reason
}

// pick acquires a slot without waiting: of the less loaded of two random endpoints, or else of one of up to maxProbes
// others. It skips the endpoints in tried.
func (p *Pool) pick(random func(int) int, tried []*Endpoint) (choice, bool) {
	members := p.endpoints()
	n := len(members)
	if n == 0 {
		return choice{}, false
	}
	first := members[random(n)]
	if n == 1 {
		return choice{endpoint: first, reason: ReasonOnlyEndpoint}, !contains(tried, first) && first.acquire()
	}
	second := members[random(n)]
	if second.lessLoaded(first) {
		first, second = second, first
	}
	if !contains(tried, first) && first.acquire() {
		return choice{endpoint: first, other: second, reason: ReasonLeastOutstanding}, true
	}
	if !contains(tried, second) && second.acquire() {
		return choice{endpoint: second, other: first, reason: ReasonFreeSlot}, true
	}
	return p.acquireFrom(random(n), min(n, maxProbes), tried)
}

// acquireFrom acquires a slot of the first endpoint with a free one among count endpoints from a position on.
func (p *Pool) acquireFrom(from, count int, tried []*Endpoint) (choice, bool) {
	members := p.endpoints()
	for i := range count {
		e := members[(from+i)%len(members)]
		if !contains(tried, e) && e.acquire() {
			return choice{endpoint: e, reason: ReasonFreeSlot}, true
		}
	}
	return choice{}, false
}

func contains(tried []*Endpoint, e *Endpoint) bool {
	for _, other := range tried {
		if other == e {
			return true
		}
	}
	return false
}

// assignSlots assigns free slots of the endpoint to waiting requests, round-robin by service.
func (p *Pool) assignSlots(e *Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.waiting.Load() > 0 && e.acquire() {
		w := p.nextWaiter(e)
		if w == nil {
			// All waiting requests have tried this endpoint already.
			e.inFlight.Add(-1)
			return
		}
		w.ready <- e
	}
}

// nextWaiter removes and returns the next waiting request that hasn't tried the endpoint, or nil.
func (p *Pool) nextWaiter(e *Endpoint) *waiter {
	for i := range p.queues {
		at := (p.nextQueue + i) % len(p.queues)
		w := p.queues[at].dequeueFor(e)
		if w != nil {
			p.nextQueue = (at + 1) % len(p.queues)
			p.waiting.Add(-1)
			return w
		}
	}
	return nil
}

// assignFreeSlots assigns all free slots to waiting requests; it is called when endpoints or limits have changed.
func (p *Pool) assignFreeSlots() {
	for _, e := range p.endpoints() {
		if p.waiting.Load() == 0 {
			return
		}
		p.assignSlots(e)
	}
}

// rejectWaiting rejects all waiting requests when the pool has lost its last endpoint.
func (p *Pool) rejectWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.queues {
		for _, w := range q.waiters {
			w.ready <- nil
			p.waiting.Add(-1)
		}
		q.waiters = nil
	}
}

// updateAverage adds the service time of a request that ran to a moving average.
func updateAverage(average *atomic.Int64, duration time.Duration) {
	old := average.Load()
	if old == 0 {
		average.Store(int64(duration))
		return
	}
	average.Store(old + (int64(duration)-old)/averageWeight)
}

// drainTime returns the estimated time until a number of waiting requests have got slots.
func (p *Pool) drainTime(count int64) time.Duration {
	return time.Duration(count * p.avgServiceTime.Load() / max(1, p.slots.Load()))
}

// noEndpointError returns the error for a service without a usable endpoint.
func (p *Pool) noEndpointError(name string) error {
	return fault.New(fault.NoEndpoint, "service %q has no available endpoint", name).WithRetryAfter(defaultRetryAfter)
}
