package route

import (
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/upstream"
)

// Endpoint is an instance to which requests are sent; it exists until it is unlisted and nothing is in flight to it.
type Endpoint struct {
	key      string
	slots    int64
	pool     *Pool
	upstream *upstream.Pool
	health   health
	control  controlState

	inFlight atomic.Int64
	// limit is the number of slots that this entry may use.
	limit atomic.Int64
	// leaving stops new requests; it is set before the heartbeat that reports no requests in flight.
	leaving atomic.Bool
	// signalled is set when a response of the endpoint reports that it is leaving.
	signalled atomic.Bool
}

// controlState is the state of an endpoint that the control loop maintains; it is guarded by Router.mu.
type controlState struct {
	record  instance.Record
	version uint64
	// listed reports that the pool holds the instance and uses its data centre.
	listed bool
	// leavingReason is one of the Leaving constants, or empty if the endpoint isn't leaving.
	leavingReason string
	// signalSeen is when a refresh first saw signalled set.
	signalSeen time.Time
}

// Key returns the row key of the instance.
func (e *Endpoint) Key() string { return e.key }

// InFlight returns the number of requests that this entry has in flight to the endpoint.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// Limit returns the number of requests that this entry may have in flight to the endpoint.
func (e *Endpoint) Limit() int64 { return e.limit.Load() }

// usable reports whether the endpoint may get new requests, provided that it has a free slot.
func (e *Endpoint) usable() bool {
	return !e.leaving.Load() && !e.health.ejected.Load()
}

// acquire takes a slot; it returns false if the endpoint has no free slot or isn't usable.
func (e *Endpoint) acquire() bool {
	for e.usable() {
		n := e.inFlight.Load()
		if n >= e.limit.Load() {
			return false
		}
		if !e.inFlight.CompareAndSwap(n, n+1) {
			continue
		}
		if n == 0 {
			e.health.touch()
		}
		// leaving is checked again after inFlight was raised: a heartbeat that reports nothing in flight after leaving
		// was set must not miss this request.
		if e.leaving.Load() {
			e.inFlight.Add(-1)
			return false
		}
		return true
	}
	return false
}

// release frees the slot and assigns it to a waiting request if there is one.
func (e *Endpoint) release() {
	e.inFlight.Add(-1)
	if e.pool.waiting.Load() > 0 {
		e.pool.assignSlots(e)
	}
}

// lowerLimit lowers the limit to the number of requests that the endpoint has accepted: all in flight except the one
// that it has just rejected. updateLimit raises the limit again.
func (e *Endpoint) lowerLimit() {
	e.limit.Store(max(1, e.inFlight.Load()-1))
}

// lessLoaded reports whether the endpoint uses a smaller part of its limit than the other.
// Consecutive failures count as load, since an endpoint that fails fast has few requests in flight.
func (e *Endpoint) lessLoaded(other *Endpoint) bool {
	own := e.inFlight.Load() + e.health.penalty()
	theirs := other.inFlight.Load() + other.health.penalty()
	return own*other.limit.Load() < theirs*e.limit.Load()
}

// updateLimit sets the limit to the slots that the other entries leave free, or to a fair share if that is more.
// The limit grows by half of the difference at a time, so that entries that see the same free slots don't all take
// them.
func (e *Endpoint) updateLimit(entries, others int64) {
	fair := max(1, e.slots/max(1, entries))
	target := max(fair, e.slots-others)
	limit := e.limit.Load()
	if target > limit {
		target = limit + max(1, (target-limit)/2)
	}
	e.limit.Store(target)
}
