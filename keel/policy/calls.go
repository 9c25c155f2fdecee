package policy

import (
	"slices"
	"time"
)

const (
	// ResponseTimeout is the time after which a call is given up in any case, since its connection may be dead.
	ResponseTimeout = 20 * time.Second
	// maxAwaited is the number of calls that may be in flight and not overdue: the service handles one while the next arrives.
	maxAwaited = 2
	// maxOpen is the number of calls that are counted as in flight, overdue ones included.
	maxOpen = 4
	// overdueFactor and overdueMargin set when a response is overdue: after overdueFactor times what the service takes of late for
	// the call and those before it, and overdueMargin for the network and a busy process.
	overdueFactor = 1.5
	overdueMargin = 500 * time.Millisecond
	// maxSlowdown bounds the slowdown that unanswered calls suggest.
	maxSlowdown = 64
	// slowdownDecay is the weight of a response that came sooner than expected.
	slowdownDecay = 0.5
	// After a failure the next call waits for minRetry, for each further one twice as long, up to maxRetry.
	minRetry     = 150 * time.Millisecond
	maxRetry     = 1200 * time.Millisecond
	maxDoublings = 10
)

// Calls paces the calls of one entry to the policy service; its methods may only be called on one goroutine, with times of one
// clock.
type Calls struct {
	open []*Call
	// slowdown is the response time of late over the declared one, 0 before the first response.
	slowdown float64
	// lastResponse is when the service last answered: it began the next call then.
	lastResponse time.Duration
	failures     int
	notBefore    time.Duration
}

// Call is a call in flight.
type Call struct {
	declared, sent, overdueAt time.Duration
}

// IsOverdue reports whether the response should have come by now.
func (c *Call) IsOverdue(now time.Duration) bool { return now >= c.overdueAt }

// MayCall reports whether a call may be sent now. While a response is overdue, one call at a time shows whether the service
// answers others.
func (c *Calls) MayCall(now time.Duration) bool {
	awaited := c.Awaited(now)
	if awaited < len(c.open) {
		return now >= c.notBefore && awaited == 0
	}
	return now >= c.notBefore && awaited < maxAwaited
}

// Awaited returns the number of calls in flight that aren't overdue.
func (c *Calls) Awaited(now time.Duration) int {
	n := 0
	for _, call := range c.open {
		if !call.IsOverdue(now) {
			n++
		}
	}
	return n
}

// Begin records that a call is sent now, to which the service declares to respond within the duration. If too many are open, the
// oldest one, which is overdue, isn't counted any more, and the service is expected to be slower.
func (c *Calls) Begin(now, declared time.Duration) *Call {
	if len(c.open) >= maxOpen {
		c.open = slices.Delete(c.open, 0, 1)
		c.slowdown = min(maxSlowdown, 2*max(1, c.slowdown))
	}
	call := &Call{declared: declared, sent: now}
	expected := c.serviceTime(declared)
	for _, earlier := range c.open {
		expected += c.serviceTime(earlier.declared)
	}
	call.overdueAt = now + time.Duration(overdueFactor*float64(expected)) + overdueMargin
	c.open = append(c.open, call)
	return call
}

// serviceTime returns how long the service takes for a call with the declared response time.
func (c *Calls) serviceTime(declared time.Duration) time.Duration {
	return time.Duration(max(1, c.slowdown) * float64(declared))
}

// Answered records that the service answered the call.
func (c *Calls) Answered(call *Call, now time.Duration) {
	c.remove(call)
	c.failures, c.notBefore = 0, 0
	took := now - max(call.sent, c.lastResponse)
	c.lastResponse = now
	if call.declared <= 0 {
		return
	}
	ratio := float64(took) / float64(call.declared)
	if ratio < c.slowdown {
		ratio = c.slowdown + slowdownDecay*(ratio-c.slowdown)
	}
	c.slowdown = min(maxSlowdown, max(1, ratio))
}

// Failed records that the call failed.
func (c *Calls) Failed(call *Call, now time.Duration) {
	c.remove(call)
	c.notBefore = now + min(maxRetry, minRetry<<min(c.failures, maxDoublings))
	c.failures++
}

func (c *Calls) remove(call *Call) {
	c.open = slices.DeleteFunc(c.open, func(other *Call) bool { return other == call })
}

// Slowdown returns the response time of late over the declared one, at least 1.
func (c *Calls) Slowdown() float64 { return max(1, c.slowdown) }
