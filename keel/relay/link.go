package relay

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

const (
	// batchDelay collects the first orders for one relay; it is short beside the 20 ms of a transaction.
	batchDelay = 2 * time.Millisecond
	// batchInterval is the minimum interval between batches to one relay. A message costs as much as dozens of orders.
	batchInterval = 12 * time.Millisecond
	// maxBatchOrders is the maximum number of orders in one message.
	maxBatchOrders = 500
	// sendTimeout is the timeout for a relay to receive a batch.
	sendTimeout = 300 * time.Millisecond
	// suspectTime is how long a relay that may not have received a batch gets no orders.
	suspectTime = time.Second
	// defaultTimeout is the timeout of an order whose context has none.
	defaultTimeout = 2 * time.Second
	// timeoutResolution is the interval between checks of the timeouts of submitted calls.
	timeoutResolution = 20 * time.Millisecond
)

// link is the leader's view of one relay; its fields are guarded by the mutex of its client, but for client, address and
// nameHash, which don't change.
type link struct {
	client    *Client
	address   string
	nameHash  uint64
	offer     Offer
	offeredAt time.Duration
	// clockAhead is the highest known difference between the relay's clock and this entry's, seen at clockSeenAt; offers
	// that took long to arrive show a lower one.
	clockAhead  time.Duration
	clockSeenAt time.Duration
	// suspectUntil is until when the relay gets no orders, because it may not have received some.
	suspectUntil time.Duration
	// queue holds orders that have not been sent, with their specifications; sending is set while a batch is being
	// collected or sent.
	queue   []queued
	sending bool
	// avoided holds, by worker, until when its orders don't go through this relay; avoidedCheckedAt is when entries that
	// have ended were last removed.
	avoided          map[string]time.Duration
	avoidedCheckedAt time.Duration
}

type queued struct {
	order Order
	spec  string
}

// errRelayFailed is the cause of errors that the relay caused and not the worker.
var errRelayFailed = errors.New("relay failed")

// call waits for the end of one order.
type call struct {
	link     *link
	id       uint64
	workerID string
	began    time.Duration
	// finish gets the outcome. It is called on the control loop if the call was submitted, and must not block otherwise.
	finish    func(outcome)
	submitted bool
	// sent is set once the order may have reached the relay.
	sent bool
}

// outcome is the worker's response or the error of a call.
type outcome struct {
	status worker.Status
	took   time.Duration
	err    error
}

// ended is a submitted call with its outcome.
type ended struct {
	call    *call
	outcome outcome
}

// end ends a call, or adds it to those to be ended on the control loop, which it returns.
func (waiting *call) end(o outcome, posted []ended) []ended {
	if waiting.submitted {
		return append(posted, ended{waiting, o})
	}
	waiting.finish(o)
	return posted
}

// rendezvousWeight ranks a relay for a worker by the hashes of their names, with the mixing function of SplitMix64.
func rendezvousWeight(relay, worker uint64) uint64 {
	x := relay ^ worker
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// expired reports whether the relay no longer offers to carry orders.
func (l *link) expired(now time.Duration) bool { return now-l.offeredAt > offerLifetime }

// recordClock records the relay's clock as read when it made an offer. A clock that is behind by more than an offer can
// take is that of a restarted instance.
func (l *link) recordClock(now, clock time.Duration) {
	ahead := clock - now
	if l.clockSeenAt == 0 || ahead > l.clockAhead || ahead < l.clockAhead-maxOfferDelay || now-l.clockSeenAt > clockWindow {
		l.clockAhead, l.clockSeenAt = ahead, now
	}
}

// do sends the order through a relay and waits for its end; it returns false if there is no relay for the worker. An
// error has outcome NotRun if the order was certainly not sent to the worker.
func (c *Client) do(ctx context.Context, to worker.Target, o Order, spec string) (worker.Status, bool, error) {
	timeout := defaultTimeout
	deadline, ok := ctx.Deadline()
	if ok {
		timeout = time.Until(deadline)
	}
	if timeout <= 0 {
		return worker.Status{}, true, fault.New(fault.EndpointFailed, "deadline exceeded before the order was relayed").WithOutcome(fault.NotRun)
	}
	end := make(chan outcome, 1)
	waiting := &call{workerID: to.ID, finish: func(o outcome) { end <- o }}
	if !c.enqueue(to, o, spec, timeout, waiting) {
		return worker.Status{}, false, nil
	}
	select {
	case o := <-end:
		return o.status, true, o.err
	case <-ctx.Done():
		waiting.link.avoid(to.ID)
		return worker.Status{}, true, c.abandon(waiting)
	}
}

// submit sends the order through a relay and calls finish on the control loop when it ends; it returns false if there is
// no relay for the worker.
func (c *Client) submit(to worker.Target, o Order, spec string, timeout time.Duration, finish func(outcome)) bool {
	return c.enqueue(to, o, spec, timeout, &call{workerID: to.ID, finish: finish, submitted: true})
}

// enqueue queues the order for a relay; it returns false if there is none for the worker.
func (c *Client) enqueue(to worker.Target, o Order, spec string, timeout time.Duration, waiting *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	l := c.relayForLocked(to, now)
	if l == nil {
		return false
	}
	c.nextID++
	o.ID, o.Worker, o.Address = c.nextID, to.ID, to.Address
	o.TimeoutMillis = timeout.Milliseconds()
	o.ExpiresMillis = (now + l.clockAhead + timeout).Milliseconds()
	waiting.link, waiting.id, waiting.began = l, o.ID, now
	c.calls[o.ID] = waiting
	if waiting.submitted {
		c.addTimeoutLocked(waiting, now+timeout)
	}
	l.queue = append(l.queue, queued{o, spec})
	if !l.sending {
		l.sending = true
		time.AfterFunc(batchDelay, l.send)
	}
	return true
}

// addTimeoutLocked makes a submitted call end at the time, if it hasn't ended by then.
func (c *Client) addTimeoutLocked(waiting *call, at time.Duration) {
	unit := int64(at/timeoutResolution) + 1
	c.timeouts[unit] = append(c.timeouts[unit], waiting)
	if !c.checkingTimeouts {
		c.checkingTimeouts = true
		time.AfterFunc(timeoutResolution, c.checkTimeouts)
	}
}

// checkTimeouts ends the submitted calls whose time is over.
func (c *Client) checkTimeouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	var posted []ended
	for unit, calls := range c.timeouts {
		if unit > int64(now/timeoutResolution) {
			continue
		}
		delete(c.timeouts, unit)
		for _, waiting := range calls {
			if c.calls[waiting.id] == waiting {
				waiting.link.avoidLocked(waiting.workerID, now)
				posted = waiting.end(outcome{took: now - waiting.began, err: c.abandonLocked(waiting)}, posted)
			}
		}
	}
	c.post(posted)
	c.checkingTimeouts = len(c.timeouts) > 0
	if c.checkingTimeouts {
		time.AfterFunc(timeoutResolution, c.checkTimeouts)
	}
}

// abandon gives up a call whose time is over and returns its error.
func (c *Client) abandon(waiting *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandonLocked(waiting)
}

// abandonLocked is abandon; an order that hasn't been sent stays in the queue, but isn't sent any more.
func (c *Client) abandonLocked(waiting *call) error {
	delete(c.calls, waiting.id)
	failure := fault.New(fault.EndpointFailed, "no response through relay %s", waiting.link.offer.Name)
	if waiting.sent {
		return failure.WithOutcome(fault.Unknown)
	}
	return failure.WithOutcome(fault.NotRun)
}

// avoid keeps the worker's orders off this relay for a while, since the relay may be unable to reach the worker.
func (l *link) avoid(workerID string) {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	l.avoidLocked(workerID, l.client.Now())
}

func (l *link) avoidLocked(workerID string, now time.Duration) {
	if now-l.avoidedCheckedAt >= avoidWorkerTime {
		// Many calls may end at the same time, so not each of them goes through all workers.
		l.avoidedCheckedAt = now
		maps.DeleteFunc(l.avoided, func(_ string, until time.Duration) bool { return now >= until })
	}
	l.avoided[workerID] = now + avoidWorkerTime
}

// send sends the queued orders in batches, batchInterval apart, until none is left.
func (l *link) send() {
	for {
		began := l.client.Now()
		batch, ok := l.nextBatch()
		if !ok {
			return
		}
		if len(batch.Orders) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		err := l.client.Send(ctx, l.address, batch)
		cancel()
		if err != nil {
			l.failBatch(batch, err)
		}
		time.Sleep(batchInterval - (l.client.Now() - began))
	}
}

// nextBatch takes orders from the queue; it returns false if there are none, and ends the sending then.
func (l *link) nextBatch() (Batch, bool) {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	if len(l.queue) == 0 {
		l.sending = false
		return Batch{}, false
	}
	n := min(len(l.queue), maxBatchOrders)
	batch := Batch{ReplyTo: l.client.Address, Orders: make([]Order, 0, n), Compact: l.offer.Compact}
	indexes := make(map[string]int)
	for _, q := range l.queue[:n] {
		waiting := l.client.calls[q.order.ID]
		if waiting == nil {
			continue
		}
		waiting.sent = true
		if q.spec != "" {
			index, known := indexes[q.spec]
			if !known {
				batch.Specs = append(batch.Specs, q.spec)
				index = len(batch.Specs)
				indexes[q.spec] = index
			}
			q.order.Spec = index
		}
		batch.Orders = append(batch.Orders, q.order)
	}
	l.queue = l.queue[n:]
	return batch, true
}

// failBatch fails the orders of a batch that the relay may not have received, and keeps further orders off it for a
// while. The relay may still respond to earlier orders.
func (l *link) failBatch(batch Batch, err error) {
	c := l.client
	c.mu.Lock()
	defer c.mu.Unlock()
	l.suspectUntil = c.Now() + suspectTime
	failed := make(map[uint64]bool)
	for _, o := range batch.Orders {
		failed[o.ID] = true
	}
	for _, q := range l.queue {
		failed[q.order.ID] = true
	}
	l.queue = nil
	c.Log.Write(event.RelaySuspected, event.Fields{"relay": l.offer.Name, "orders": len(failed), "reason": err.Error()})
	failure := fault.New(fault.EndpointFailed, "relay %s: %s", l.offer.Name, err).WithOutcome(fault.As(err).Outcome())
	l.failLocked(func(waiting *call) bool { return failed[waiting.id] }, failure)
}

// failLocked fails those of the relay's calls that match, the unsent ones with outcome NotRun, and returns their number.
func (l *link) failLocked(match func(*call) bool, failure *fault.Error) int {
	c := l.client
	now := c.Now()
	n := 0
	var posted []ended
	for id, waiting := range c.calls {
		if waiting.link != l || !match(waiting) {
			continue
		}
		delete(c.calls, id)
		n++
		result := failure.Outcome()
		if !waiting.sent {
			result = fault.NotRun
		}
		err := fault.Wrap(fault.EndpointFailed, errors.Mark(failure, errRelayFailed), "order not confirmed").WithOutcome(result)
		posted = waiting.end(outcome{took: now - waiting.began, err: err}, posted)
	}
	c.post(posted)
	return n
}
