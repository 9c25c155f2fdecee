package control

import (
	"context"
	"time"

	"github.com/panjf2000/ants/v2"

	"samphirekeel.example/keel/fault"
)

// mailboxSize is the number of posted functions that may be queued before Post blocks.
const mailboxSize = 1024

// startStagger is the delay between the first runs of two repeated functions, so that they don't run all at once.
const startStagger = 1700 * time.Microsecond

// Loop runs posted functions one at a time on the goroutine that called Run.
type Loop struct {
	// Workers is the maximum number of concurrent calls.
	Workers int
	// Phase delays the first run of every repeated function, so that processes don't run them at the same time.
	Phase time.Duration

	repeatedCount time.Duration
	mailbox       chan func()
	pool          *ants.Pool
	ctx           context.Context
}

// New returns a loop that runs at most the given number of calls at once.
func New(workers int) *Loop {
	return &Loop{Workers: workers, mailbox: make(chan func(), mailboxSize)}
}

// Run calls start, then runs posted functions until ctx ends; it fails if the worker pool can't be created.
func (l *Loop) Run(ctx context.Context, start func()) error {
	pool, err := ants.NewPool(l.Workers, ants.WithNonblocking(true))
	if err != nil {
		return fault.Wrap(fault.Internal, err, "create worker pool")
	}
	defer pool.Release()
	l.pool = pool
	l.ctx = ctx
	start()
	for {
		select {
		case f := <-l.mailbox:
			f()
		case <-ctx.Done():
			return nil
		}
	}
}

// Context returns the context that ends when the loop does; only the loop's goroutine may call it.
func (l *Loop) Context() context.Context { return l.ctx }

// Post queues f to run on the loop, blocking while the queue is full; it drops f if ctx ends first. Any goroutine may
// call it.
func (l *Loop) Post(ctx context.Context, f func()) {
	select {
	case l.mailbox <- f:
	case <-ctx.Done():
	}
}

// Every runs f on the loop at each interval, offset from other repeated functions; only the loop's goroutine may
// call it.
func (l *Loop) Every(interval time.Duration, f func()) {
	l.repeatedCount++
	l.After(l.Phase+l.repeatedCount*startStagger, func() { l.repeat(interval, f) })
}

func (l *Loop) repeat(interval time.Duration, f func()) {
	f()
	l.After(interval, func() { l.repeat(interval, f) })
}

// After runs f on the loop once the delay has passed; only the loop's goroutine may call it.
func (l *Loop) After(delay time.Duration, f func()) {
	ctx := l.ctx
	time.AfterFunc(delay, func() { l.Post(ctx, f) })
}

// Call runs work in the worker pool with the timeout, and then done on the loop; only the loop's goroutine may call it.
// It calls done with an error of kind Overloaded and outcome not_run if all workers are busy.
func Call[T any](l *Loop, timeout time.Duration, work func(context.Context) (T, error), done func(T, error)) {
	parent := l.ctx
	err := l.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		result, err := work(ctx)
		l.Post(parent, func() { done(result, err) })
	})
	if err != nil {
		var none T
		full := fault.Wrap(fault.Overloaded, err, "all control workers are busy")
		go l.Post(parent, func() { done(none, full) })
	}
}
