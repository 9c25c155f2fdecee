package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
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
