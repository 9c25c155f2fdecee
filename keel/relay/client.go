package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

const (
	// OfferInterval is the interval between the offers of an entry.
	OfferInterval = 400 * time.Millisecond
	// offerLifetime is how long an offer holds; two offers may be lost.
	offerLifetime = 1300 * time.Millisecond
	// maxOfferDelay is how long an offer may take from the relay's reading of its clock.
	maxOfferDelay = time.Second
	// clockWindow is how long the estimate of a relay's clock is kept before a lower one may replace it.
	clockWindow = 10 * time.Second
	// avoidWorkerTime is how long a worker gets no orders through a relay whose call to it failed.
	avoidWorkerTime = 3 * time.Second
)

// Client sends the leader's orders to workers through relays, or by itself where there is none; its exported fields are
// set before it is used. Its methods are safe for concurrent use.
type Client struct {
	Log *event.Log
	// Direct sends orders without a relay.
	Direct *worker.Client
	// Address is this entry's address for the results.
	Address string
	// Send sends a batch to the relay at the address; it returns once the relay has received it, and fails if that is not
	// known.
	Send func(ctx context.Context, address string, batch Batch) error
	// Now is a monotonic clock.
	Now func() time.Duration

	mu    sync.Mutex
	links map[string]*link
	// calls holds the calls without a result, by order ID.
	calls  map[uint64]*call
	nextID uint64
}

// NewClient returns a client without relays.
func NewClient() *Client {
	// Results of orders that an earlier process at the same address sent must not match an order of this one.
	return &Client{links: make(map[string]*link), calls: make(map[uint64]*call), nextID: rand.Uint64() >> 2}
}

// Workers returns the worker calls that go through relays.
func (c *Client) Workers() *worker.Client {
	return &worker.Client{Start: c.start, Stop: c.stop, Throttle: c.throttle, Renew: c.renew, Healthy: c.Direct.Healthy, Forget: c.Direct.Forget}
}

// Accept records a relay's offer.
func (c *Client) Accept(o Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	l := c.links[o.Name]
	if l == nil || l.offer.Address != o.Address {
		if l != nil {
			c.removeLocked(o.Name, l, "it has moved to address "+o.Address)
		}
		l = &link{client: c, avoided: make(map[string]time.Duration)}
		c.links[o.Name] = l
		c.Log.Write(event.RelayJoined, event.Fields{"relay": o.Name, "address": o.Address, "data_centre": o.DataCentre, "cpu_share": o.CPUShare})
	}
	l.recordClock(now, time.Duration(o.ClockMillis)*time.Millisecond)
	l.offer, l.offeredAt = o, now
}

// Deliver hands results to the calls that wait for them; results of other calls are dropped.
func (c *Client) Deliver(results Results) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range results.Results {
		result := &results.Results[i]
		waiting := c.calls[result.ID]
		if waiting != nil {
			delete(c.calls, result.ID)
			waiting.done <- result
		}
	}
}

// relayFor returns the relay for the worker, or nil if there is none in its data centre. The choice among several is
// stable, so that a worker has connections from one of them.
func (c *Client) relayFor(to worker.Target) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	var best *link
	var bestWeight uint64
	for name, l := range c.links {
		if now-l.offeredAt > offerLifetime {
			c.removeLocked(name, l, "it no longer offers to carry orders")
			continue
		}
		if l.offer.DataCentre != to.DataCentre || now < l.suspectUntil || now < l.avoided[to.ID] {
			continue
		}
		weight := rendezvousWeight(name, to.ID)
		if best == nil || weight > bestWeight {
			best, bestWeight = l, weight
		}
	}
	return best
}

// removeLocked removes a relay; its calls without a response fail.
func (c *Client) removeLocked(name string, l *link, reason string) {
	delete(c.links, name)
	failed := l.failLocked(func(*call) bool { return true }, fault.New(fault.EndpointFailed, "relay %s lost: %s", name, reason).WithOutcome(fault.Unknown))
	l.queue = nil
	c.Log.Write(event.RelayLost, event.Fields{"relay": name, "reason": reason, "calls": failed})
}

func (c *Client) start(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
	l := c.relayFor(to)
	if l == nil {
		return c.Direct.Start(ctx, to, o)
	}
	status, err := l.do(ctx, to, Order{
		Kind: kindStart, Token: o.Token, Task: o.Task.String(), Run: o.Run, LeaseEndMillis: o.LeaseEnd.Milliseconds(),
		Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	}, o.Spec)
	return status.Reply, err
}

func (c *Client) stop(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
	l := c.relayFor(to)
	if l == nil {
		return c.Direct.Stop(ctx, to, o)
	}
	status, err := l.do(ctx, to, Order{Kind: kindStop, Token: o.Token, Task: o.Task.String(), Run: o.Run}, "")
	return status.Reply, err
}

func (c *Client) throttle(ctx context.Context, to worker.Target, o worker.ThrottleOrder) (worker.Reply, error) {
	l := c.relayFor(to)
	if l == nil {
		return c.Direct.Throttle(ctx, to, o)
	}
	status, err := l.do(ctx, to, Order{Kind: kindThrottle, Token: o.Token, Task: o.Task.String(), Run: o.Run, Percent: o.Percent}, "")
	return status.Reply, err
}

// renew renews a worker's lease. Where a relay fails it, it tries the next way, because a renewal may be repeated and
// the loss of a relay says nothing about its workers.
func (c *Client) renew(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
	for {
		l := c.relayFor(to)
		if l == nil {
			return c.Direct.Renew(ctx, to, o)
		}
		status, err := l.do(ctx, to, Order{
			Kind: kindRenew, Token: o.Token, LeaseEndMillis: o.LeaseEnd.Milliseconds(), Acknowledged: o.Acknowledged,
			WaitMillis: o.Wait.Milliseconds(), EndsSuffice: o.EndsSuffice,
		}, "")
		if err == nil || ctx.Err() != nil || !errors.Is(err, errRelayFailed) {
			return status, err
		}
	}
}
