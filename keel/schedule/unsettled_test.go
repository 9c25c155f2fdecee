package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

// loseOrdersTo makes the orders to start and to stop runs on an instance's worker get no response. Its renewals get one.
func (b *testbed) loseOrdersTo(instance string) {
	inner := b.fleet.WorkerClient("leader")
	var unreachable string
	b.onLoop(func() { unreachable = b.s.workerOf[instance].ID })
	lost := func(ctx context.Context, to worker.Target) bool {
		if to.ID != unreachable {
			return false
		}
		<-ctx.Done()
		return true
	}
	noResponse := fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
	b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		if lost(ctx, to) {
			return worker.Reply{}, noResponse
		}
		return inner.Start(ctx, to, o)
	})
	b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
		if lost(ctx, to) {
			return worker.Reply{}, noResponse
		}
		return inner.Stop(ctx, to, o)
	})
}

// Guards against a task whose start gets no response and that waits for the response to its stop without a bound: the
// worker's renewals succeed, so that its lease never ends.
func TestUnsettledStartEndsWithoutEvidence(t *testing.T) {
	for _, beside := range []int{0, 1} {
		withTestbed(t, func(b *testbed) {
			b.addInstance("m1")
			b.startEpoch(1, "p")
			time.Sleep(500 * time.Millisecond)
			if beside > 0 {
				b.submit(singleStepJob("00000000000000b1", "p", beside, 90*time.Second), 90*time.Second)
				time.Sleep(500 * time.Millisecond)
			}
			b.loseOrdersTo("m1")
			b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			b.addInstance("m2")
			elapsed := b.timeUntilCompleted(60 * time.Second)
			assert.Check(t, elapsed < 9*time.Second, "%d runs beside it", beside)
		})
	}
}
