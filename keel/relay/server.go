package relay

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// maxConcurrentOrders is the maximum number of orders that a relay carries out at once.
	maxConcurrentOrders = 3000
	// resultDelay collects the first results for one leader.
	resultDelay = 2 * time.Millisecond
	// resultInterval is the minimum interval between messages of results to one leader.
	resultInterval = 12 * time.Millisecond
	// resultRetry is the delay before results that the leader may not have received are sent again.
	resultRetry = 30 * time.Millisecond
	// resultLifetime is how long results are sent again; the leader has given up its calls by then.
	resultLifetime = time.Second
)

// Server carries out the orders of leaders; its exported fields are set before it is used. Its methods are safe for
// concurrent use.
type Server struct {
	Log *event.Log
	// Workers sends orders to workers.
	Workers *worker.Client
	// Reply sends results to the leader at the address; it fails if the leader may not have received them.
	Reply func(ctx context.Context, address string, results Results) error
	// Now is the relay's monotonic clock.
	Now func() time.Duration

	pool *ants.Pool

	mu sync.Mutex
	// results holds the results that have not been sent, by leader; sending names the leaders to which results are being
	// collected or sent.
	results map[leader][]Result
	sending map[leader]bool
}

// leader is the leader at an address that takes results in one form.
type leader struct {
	address string
	compact bool
}

// NewServer returns a server; it fails if its pool of goroutines can't be created.
func NewServer() (*Server, error) {
	pool, err := ants.NewPool(maxConcurrentOrders, ants.WithNonblocking(true))
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "create pool for orders")
	}
	return &Server{pool: pool, results: make(map[leader][]Result), sending: make(map[leader]bool)}, nil
}

// Close ends the server's idle goroutines.
func (s *Server) Close() { s.pool.Release() }

// Accept begins to carry out a batch of orders and returns at once.
func (s *Server) Accept(batch Batch) {
	from := leader{address: batch.ReplyTo, compact: batch.Compact}
	for _, o := range batch.Orders {
		spec := ""
		if o.Spec > 0 && o.Spec <= len(batch.Specs) {
			spec = batch.Specs[o.Spec-1]
		}
		err := s.pool.Submit(func() { s.report(from, s.execute(o, spec)) })
		if err != nil {
			full := fault.Wrap(fault.Overloaded, err, "the relay carries too many orders").WithOutcome(fault.NotRun)
			s.report(from, encodeResult(o.ID, worker.Status{}, full))
		}
	}
}

// execute sends one order to its worker unless it has expired.
func (s *Server) execute(o Order, spec string) Result {
	remaining := time.Duration(o.ExpiresMillis)*time.Millisecond - s.Now()
	timeout := min(remaining, time.Duration(o.TimeoutMillis)*time.Millisecond)
	if timeout <= 0 {
		return encodeResult(o.ID, worker.Status{}, fault.New(fault.Overloaded, "order reached the relay too late").WithOutcome(fault.NotRun))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, err := s.call(ctx, o, spec)
	return encodeResult(o.ID, status, err)
}

func (s *Server) call(ctx context.Context, o Order, spec string) (worker.Status, error) {
	to := worker.Target{ID: o.Worker, Address: o.Address}
	if o.Kind == kindRenew {
		return s.Workers.Renew(ctx, to, worker.RenewOrder{
			Token: o.Token, LeaseEnd: time.Duration(o.LeaseEndMillis) * time.Millisecond, Acknowledged: o.Acknowledged,
			Wait: time.Duration(o.WaitMillis) * time.Millisecond, EndsSuffice: o.EndsSuffice,
		})
	}
	task, ok := work.ParseTaskID(o.Task)
	if !ok {
		return worker.Status{}, fault.New(fault.BadRequest, "order %d has invalid task ID %q", o.ID, o.Task).WithOutcome(fault.NotRun)
	}
	var reply worker.Reply
	var err error
	switch o.Kind {
	case kindStart:
		reply, err = s.Workers.Start(ctx, to, worker.StartOrder{
			Task: task, Run: o.Run, Spec: spec, LeaseEnd: time.Duration(o.LeaseEndMillis) * time.Millisecond, Token: o.Token,
			Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	case kindStop:
		reply, err = s.Workers.Stop(ctx, to, worker.StopOrder{Task: task, Run: o.Run, Token: o.Token})
	case kindThrottle:
		reply, err = s.Workers.Throttle(ctx, to, worker.ThrottleOrder{Task: task, Run: o.Run, Percent: o.Percent, Token: o.Token})
	default:
		err = fault.New(fault.BadRequest, "order %d has unknown kind %d", o.ID, o.Kind).WithOutcome(fault.NotRun)
	}
	return worker.Status{Reply: reply}, err
}

// report queues a result for the leader.
func (s *Server) report(to leader, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[to] = append(s.results[to], result)
	if !s.sending[to] {
		s.sending[to] = true
		time.AfterFunc(resultDelay, func() { s.send(to) })
	}
}

// send sends the leader's results, in messages resultInterval apart, until none is left, and drops those that it can't
// deliver within resultLifetime.
func (s *Server) send(to leader) {
	for {
		began := s.Now()
		s.mu.Lock()
		results := s.results[to]
		delete(s.results, to)
		if len(results) == 0 {
			delete(s.sending, to)
		}
		s.mu.Unlock()
		if len(results) == 0 {
			return
		}
		s.deliver(to, Results{Results: results, Compact: to.compact})
		time.Sleep(resultInterval - (s.Now() - began))
	}
}

func (s *Server) deliver(to leader, results Results) {
	giveUpAt := s.Now() + resultLifetime
	for {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		err := s.Reply(ctx, to.address, results)
		cancel()
		if err == nil {
			return
		}
		if s.Now() > giveUpAt {
			s.Log.Write(event.RelayResultsDropped, event.Fields{"leader": to.address, "results": len(results.Results), "reason": err.Error()})
			return
		}
		time.Sleep(resultRetry)
	}
}
