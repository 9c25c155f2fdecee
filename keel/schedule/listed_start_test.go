package schedule

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against a run that is never stopped: it was to be stopped while its start order was in flight, the worker listed it,
// and then the order ended without a response.
func TestListedRunIsStoppedAfterStartWithoutResponse(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		inner := b.fleet.WorkerClient("leader")
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			_, err := inner.Start(ctx, to, o)
			assert.NilError(t, err)
			b.checker.Cancelled(firstJob)
			b.onLoop(func() {
				b.s.Cancel(firstJob, func() {})
				b.s.scheduleRenewal(b.s.workers[to.ID], 0)
			})
			<-ctx.Done()
			return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		})
		b.submit(singleStepJob(firstJob, "p", 1, 30*time.Second), 30*time.Second)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(b.hosts()), 0)
	})
}

// Guards against a stop of a run that the worker lists: its start order got no response, and the same order, sent again, was
// rejected.
func TestListedRunGoesOnAfterRepeatIsRejected(t *testing.T) {
	for _, refusal := range []worker.Refusal{worker.Expired, worker.Unhealthy, worker.NoTicket} {
		t.Run(string(refusal), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				inner := b.fleet.WorkerClient("leader")
				var orders atomic.Int64
				b.setRenew(func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
					for orders.Load() == 1 {
						time.Sleep(time.Millisecond)
					}
					return inner.Renew(ctx, to, o)
				})
				b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
					if orders.Add(1) == 1 {
						_, err := inner.Start(ctx, to, o)
						assert.NilError(t, err)
						<-ctx.Done()
						return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
					}
					time.Sleep(150 * time.Millisecond)
					return worker.Reply{Refusal: refusal}, nil
				})
				b.submit(singleStepJob(firstJob, "p", 1, 3*time.Second), 3*time.Second)
				elapsed := b.timeUntilCompleted(10 * time.Second)
				assert.Check(t, elapsed < 3500*time.Millisecond, "completed after %s", elapsed)
				assert.Check(t, orders.Load() <= 2, "%d orders", orders.Load())
				assert.Equal(t, b.state(), work.Completed)
			})
		})
	}
}
