package route

import (
	"sync"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/fault"
)

// probes is how many endpoints are tried at random before a request waits.
const probes = 8

// typicalWeight is the weight of the past in the average of service times.
const typicalWeight = 16

// Pool holds the endpoints that serve the same services, and the requests that wait for one of their slots.
type Pool struct {
	members atomic.Pointer[[]*Endpoint]
	// waiting is the number of requests that wait for a slot.
	waiting atomic.Int64
	// slots is the sum of the limits of the endpoints.
	slots atomic.Int64
	// typical is the average service time in nanoseconds.
	typical    atomic.Int64
	ok, failed atomic.Int64
	// answered is when an endpoint last answered, in nanoseconds since 1970.
	answered atomic.Int64
	// away is set while the endpoints are in other data centres.
	away atomic.Bool

	// mu guards the queues and the quarantines.
	mu    sync.Mutex
	lanes []*lane
	next  int

	// local are the endpoints of the own data centre; they are guarded by the lock of the router.
	local []*Endpoint
}

// endpoints returns the endpoints that may be given new work.
func (p *Pool) endpoints() []*Endpoint {
	members := p.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// Reason says why an endpoint was chosen.
type Reason string

// The reasons of a choice.
const (
	OnlyEndpoint     Reason = "only_endpoint"
	LeastOutstanding Reason = "least_outstanding"
	FreeSlot         Reason = "free_slot"
	Waited           Reason = "waited_for_slot"
)

// choice is an endpoint of which a slot is held, with the reason and the one that it was compared with.
type choice struct {
	endpoint, other *Endpoint
	reason          Reason
}

// pick takes a slot without waiting: of the less loaded of two endpoints at random, or of any of a few more.
// It never takes one of those tried before.
func (p *Pool) pick(random func(int) int, tried []*Endpoint) (choice, bool) {
	members := p.endpoints()
	n := len(members)
	if n == 0 {
		return choice{}, false
	}
	first := members[random(n)]
	if n == 1 {
		return choice{endpoint: first, reason: OnlyEndpoint}, !contains(tried, first) && first.acquire()
	}
	second := members[random(n)]
	if second.lessLoaded(first) {
		first, second = second, first
	}
	if !contains(tried, first) && first.acquire() {
		return choice{endpoint: first, other: second, reason: LeastOutstanding}, true
	}
	if !contains(tried, second) && second.acquire() {
		return choice{endpoint: second, other: first, reason: FreeSlot}, true
	}
	return p.probe(random(n), min(n, probes), tried)
}

// probe takes a slot of the first endpoint from a position on that has one.
func (p *Pool) probe(from, number int, tried []*Endpoint) (choice, bool) {
	members := p.endpoints()
	for i := range number {
		e := members[(from+i)%len(members)]
		if !contains(tried, e) && e.acquire() {
			return choice{endpoint: e, reason: FreeSlot}, true
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

// handOver gives the slots of the endpoint to waiting requests, one service after the other.
func (p *Pool) handOver(e *Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.waiting.Load() > 0 && e.acquire() {
		w := p.nextWaiter(e)
		if w == nil {
			// Those that wait have tried this endpoint already.
			e.inFlight.Add(-1)
			return
		}
		w.ready <- e
	}
}

// nextWaiter takes out the next request that may have the endpoint.
func (p *Pool) nextWaiter(e *Endpoint) *waiter {
	for i := range p.lanes {
		at := (p.next + i) % len(p.lanes)
		w := p.lanes[at].take(e)
		if w != nil {
			p.next = (at + 1) % len(p.lanes)
			p.waiting.Add(-1)
			return w
		}
	}
	return nil
}

// offerAll gives free slots to waiting requests; it is called when endpoints or limits have changed.
func (p *Pool) offerAll() {
	for _, e := range p.endpoints() {
		if p.waiting.Load() == 0 {
			return
		}
		p.handOver(e)
	}
}

// dismiss ends the wait of all requests of a pool that has no endpoint any more.
func (p *Pool) dismiss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lanes {
		for _, w := range l.waiters {
			w.ready <- nil
			p.waiting.Add(-1)
		}
		l.waiters = nil
	}
}

// learn takes in the service time of a request that ran.
func learn(average *atomic.Int64, took time.Duration) {
	old := average.Load()
	if old == 0 {
		average.Store(int64(took))
		return
	}
	average.Store(old + (int64(took)-old)/typicalWeight)
}

// drainTime returns how long a number of waiting requests takes to get slots at the present pace.
func (p *Pool) drainTime(number int64) time.Duration {
	return time.Duration(number * p.typical.Load() / max(1, p.slots.Load()))
}

// none returns the error of a service without any endpoint.
func (p *Pool) none(name string) error {
	return fault.New(fault.NoEndpoint, "service %q has no endpoint in service", name).WithRetryAfter(retryDelay)
}
