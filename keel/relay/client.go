package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// expiryCheckInterval is the interval between checks for relays that no longer offer.
	expiryCheckInterval = 50 * time.Millisecond
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
	// Post runs a function on the control loop; it may block.
	Post func(func())

	mu    sync.Mutex
	links map[string]*link
	// checkedAt is when the links were last checked for relays that no longer offer.
	checkedAt time.Duration
	// calls holds the calls without a result, by order ID.
	calls  map[uint64]*call
	nextID uint64
	// timeouts holds the submitted calls by the time until which they wait, in units of timeoutResolution;
	// checkingTimeouts is set while a check of them is scheduled.
	timeouts         map[int64][]*call
	checkingTimeouts bool
}

// NewClient returns a client without relays.
func NewClient() *Client {
	// Results of orders that an earlier process at the same address sent must not match an order of this one.
	return &Client{
		links: make(map[string]*link), calls: make(map[uint64]*call), nextID: rand.Uint64() >> 2, timeouts: make(map[int64][]*call),
	}
}

// Workers returns the worker calls that go through relays.
func (c *Client) Workers() *worker.Client {
	return &worker.Client{
		Start: c.start, Stop: c.stop, Throttle: c.throttle, Renew: c.renew,
		SubmitStart: c.submitStart, SubmitStop: c.submitStop, SubmitRenew: c.submitRenew,
		Healthy: c.Direct.Healthy, Forget: c.Direct.Forget,
	}
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
		l = &link{client: c, address: o.Address, nameHash: xxhash.Sum64String(o.Name), avoided: make(map[string]time.Duration)}
		c.links[o.Name] = l
		c.Log.Write(event.RelayJoined, event.Fields{"relay": o.Name, "address": o.Address, "data_centre": o.DataCentre, "cpu_share": o.CPUShare})
	}
	l.recordClock(now, time.Duration(o.ClockMillis)*time.Millisecond)
	l.offer, l.offeredAt = o, now
}

// Deliver hands results to the calls that wait for them; results of other calls are dropped.
func (c *Client) Deliver(results Results) {
	now := c.Now()
	calls := c.takeCalls(results)
	var posted []ended
	for i, waiting := range calls {
		if waiting == nil {
			continue
		}
		status, err := results.Results[i].status()
		if err != nil {
			waiting.link.avoid(waiting.workerID)
		}
		posted = waiting.end(outcome{status: status, took: now - waiting.began, err: err}, posted)
	}
	c.post(posted)
}

// takeCalls removes the calls that the results are for and returns them in the order of the results, nil for none.
func (c *Client) takeCalls(results Results) []*call {
	calls := make([]*call, len(results.Results))
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range results.Results {
		id := results.Results[i].ID
		calls[i] = c.calls[id]
		delete(c.calls, id)
	}
	return calls
}

// post ends submitted calls on the control loop, all of them in one function.
func (c *Client) post(posted []ended) {
	if len(posted) == 0 {
		return
	}
	go c.Post(func() {
		for _, e := range posted {
			finish := e.call.finish
			// The call is kept until its timeout, and with it what the function refers to.
			e.call.finish = nil
			finish(e.outcome)
		}
	})
}

// relayForLocked returns the relay for the worker, or nil if there is none in its data centre. The choice among several
// is stable, so that a worker has connections from one of them.
func (c *Client) relayForLocked(to worker.Target, now time.Duration) *link {
	c.removeExpiredLocked(now)
	workerHash := xxhash.Sum64String(to.ID)
	var best *link
	var bestWeight uint64
	for _, l := range c.links {
		if l.offer.DataCentre != to.DataCentre || l.expired(now) || now < l.suspectUntil || now < l.avoided[to.ID] {
			continue
		}
		weight := rendezvousWeight(l.nameHash, workerHash)
		if best == nil || weight > bestWeight {
			best, bestWeight = l, weight
		}
	}
	return best
}

// removeExpiredLocked removes the relays that no longer offer, if the last check was long enough ago.
func (c *Client) removeExpiredLocked(now time.Duration) {
	if now-c.checkedAt < expiryCheckInterval {
		return
	}
	c.checkedAt = now
	for name, l := range c.links {
		if l.expired(now) {
			c.removeLocked(name, l, "it no longer offers to carry orders")
		}
	}
}

// removeLocked removes a relay; its calls without a response fail.
func (c *Client) removeLocked(name string, l *link, reason string) {
	delete(c.links, name)
	failed := l.failLocked(func(*call) bool { return true }, fault.New(fault.EndpointFailed, "relay %s lost: %s", name, reason).WithOutcome(fault.Unknown))
	l.queue = nil
	c.Log.Write(event.RelayLost, event.Fields{"relay": name, "reason": reason, "calls": failed})
}

func (c *Client) start(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
	status, relayed, err := c.do(ctx, to, encodeStart(o), o.Spec)
	if !relayed {
		return c.Direct.Start(ctx, to, o)
	}
	return status.Reply, err
}

func (c *Client) stop(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
	status, relayed, err := c.do(ctx, to, encodeStop(o), "")
	if !relayed {
		return c.Direct.Stop(ctx, to, o)
	}
	return status.Reply, err
}

func (c *Client) throttle(ctx context.Context, to worker.Target, o worker.ThrottleOrder) (worker.Reply, error) {
	status, relayed, err := c.do(ctx, to, Order{Kind: kindThrottle, Token: o.Token, Task: o.Task.String(), Run: o.Run, Percent: o.Percent}, "")
	if !relayed {
		return c.Direct.Throttle(ctx, to, o)
	}
	return status.Reply, err
}

// renew renews a worker's lease. Where a relay fails it, it tries the next way, because a renewal may be repeated and
// the loss of a relay says nothing about its workers.
func (c *Client) renew(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
	for {
		status, relayed, err := c.do(ctx, to, encodeRenew(o), "")
		if !relayed {
			return c.Direct.Renew(ctx, to, o)
		}
		if err == nil || ctx.Err() != nil || !errors.Is(err, errRelayFailed) {
			return status, err
		}
	}
}

func (c *Client) submitStart(to worker.Target, o worker.StartOrder, timeout time.Duration, done func(worker.Reply, time.Duration, error)) bool {
	return c.submit(to, encodeStart(o), o.Spec, timeout, func(end outcome) { done(end.status.Reply, end.took, end.err) })
}

func (c *Client) submitStop(to worker.Target, o worker.StopOrder, timeout time.Duration, done func(worker.Reply, time.Duration, error)) bool {
	return c.submit(to, encodeStop(o), "", timeout, func(end outcome) { done(end.status.Reply, end.took, end.err) })
}

// submitRenew is renew for submitted calls.
func (c *Client) submitRenew(to worker.Target, o worker.RenewOrder, timeout time.Duration, done func(worker.Status, error)) bool {
	return c.submit(to, encodeRenew(o), "", timeout, func(end outcome) {
		remaining := timeout - end.took
		if end.err == nil || remaining <= 0 || !errors.Is(end.err, errRelayFailed) {
			done(end.status, end.err)
			return
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), remaining)
			defer cancel()
			status, err := c.renew(ctx, to, o)
			c.Post(func() { done(status, err) })
		}()
	})
}
