package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

const (
	// batchDelay collects orders for one relay; it is short beside the 20 ms of a transaction.
	batchDelay = 5 * time.Millisecond
	// maxBatchOrders is the maximum number of orders in one message.
	maxBatchOrders = 500
	// sendTimeout is the timeout for a relay to receive a batch.
	sendTimeout = 300 * time.Millisecond
	// suspectTime is how long a relay that may not have received a batch gets no orders.
	suspectTime = time.Second
	// defaultTimeout is the timeout of an order whose context has none.
	defaultTimeout = 2 * time.Second
)

// link is the leader's view of one relay; its fields are guarded by the mutex of its client.
type link struct {
	client    *Client
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
	// avoided holds, by worker, until when its orders don't go through this relay.
	avoided map[string]time.Duration
}

type queued struct {
	order Order
	spec  string
}

// errRelayFailed is the cause of errors that the relay caused and not the worker.
var errRelayFailed = errors.New("relay failed")

// call waits for the result of one order. It gets either a result or, if the relay fails, an error.
type call struct {
	link   *link
	done   chan *Result
	failed chan error
	id     uint64
	// sent is set once the order may have reached the relay.
	sent bool
}

// rendezvousWeight ranks a relay for a worker.
func rendezvousWeight(relay, workerID string) uint64 {
	return xxhash.Sum64String(relay + "/" + workerID)
}

// recordClock records the relay's clock as read when it made an offer. A clock that is behind by more than an offer can
// take is that of a restarted instance.
func (l *link) recordClock(now, clock time.Duration) {
	ahead := clock - now
	if l.clockSeenAt == 0 || ahead > l.clockAhead || ahead < l.clockAhead-maxOfferDelay || now-l.clockSeenAt > clockWindow {
		l.clockAhead, l.clockSeenAt = ahead, now
	}
}

// do sends the order through the relay and waits for its result. An error has outcome NotRun if the order was certainly
// not sent to the worker.
func (l *link) do(ctx context.Context, to worker.Target, o Order, spec string) (worker.Status, error) {
	timeout := defaultTimeout
	deadline, ok := ctx.Deadline()
	if ok {
		timeout = time.Until(deadline)
	}
	if timeout <= 0 {
		return worker.Status{}, fault.New(fault.EndpointFailed, "deadline exceeded before the order was relayed").WithOutcome(fault.NotRun)
	}
	waiting := &call{link: l, done: make(chan *Result, 1), failed: make(chan error, 1)}
	id := l.enqueue(to, o, spec, timeout, waiting)
	select {
	case result := <-waiting.done:
		status, err := result.status()
		if err != nil {
			l.avoid(to.ID)
		}
		return status, err
	case err := <-waiting.failed:
		return worker.Status{}, err
	case <-ctx.Done():
		l.avoid(to.ID)
		return worker.Status{}, l.abandon(id, waiting)
	}
}

func (l *link) enqueue(to worker.Target, o Order, spec string, timeout time.Duration, waiting *call) uint64 {
	c := l.client
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	o.ID, o.Worker, o.Address = c.nextID, to.ID, to.Address
	o.TimeoutMillis = timeout.Milliseconds()
	o.ExpiresMillis = (c.Now() + l.clockAhead + timeout).Milliseconds()
	waiting.id = o.ID
	c.calls[o.ID] = waiting
	l.queue = append(l.queue, queued{o, spec})
	if !l.sending {
		l.sending = true
		time.AfterFunc(batchDelay, l.send)
	}
	return o.ID
}

// abandon gives up a call whose time is over and returns its error.
func (l *link) abandon(id uint64, waiting *call) error {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	delete(l.client.calls, id)
	failure := fault.New(fault.EndpointFailed, "no response through relay %s", l.offer.Name)
	if waiting.sent {
		return failure.WithOutcome(fault.Unknown)
	}
	for i, q := range l.queue {
		if q.order.ID == id {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			break
		}
	}
	return failure.WithOutcome(fault.NotRun)
}

// avoid keeps the worker's orders off this relay for a while, since the relay may be unable to reach the worker.
func (l *link) avoid(workerID string) {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	now := l.client.Now()
	for id, until := range l.avoided {
		if now >= until {
			delete(l.avoided, id)
		}
	}
	l.avoided[workerID] = now + avoidWorkerTime
}

// send sends the queued orders in batches until none is left.
func (l *link) send() {
	for {
		batch, ok := l.nextBatch()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		err := l.client.Send(ctx, l.offer.Address, batch)
		cancel()
		if err != nil {
			l.failBatch(batch, err)
		}
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
	n := 0
	for id, waiting := range l.client.calls {
		if waiting.link != l || !match(waiting) {
			continue
		}
		delete(l.client.calls, id)
		n++
		outcome := failure.Outcome()
		if !waiting.sent {
			outcome = fault.NotRun
		}
		waiting.failed <- fault.Wrap(fault.EndpointFailed, errors.Mark(failure, errRelayFailed), "order not confirmed").WithOutcome(outcome)
	}
	return n
}
