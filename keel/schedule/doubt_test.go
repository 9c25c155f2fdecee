package schedule

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against a task whose start was in doubt and that waits for seconds after its worker has accepted the stop: the
// renewal that would show that the run is gone was held open for a run to end.
func TestListFollowsStopOfStartInDoubt(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		inner := b.fleet.WorkerClient("leader")
		var accepted atomic.Int64
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			if o.Run == 1 {
				<-ctx.Done()
				return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
			}
			return inner.Start(ctx, to, o)
		})
		b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			if strings.HasSuffix(o.Task.String(), ".1") {
				time.Sleep(200 * time.Millisecond)
			}
			reply, err := inner.Stop(ctx, to, o)
			accepted.Store(int64(time.Since(b.began)))
			return reply, err
		})
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.submit(singleStepJob(firstJob, "p", 2, 100*time.Millisecond), 100*time.Millisecond)
		for b.state() != work.Completed {
			time.Sleep(10 * time.Millisecond)
		}
		// The runs take 0.1 s, and a worker without a running task is to list its runs a few times per second.
		elapsed := time.Since(b.began) - time.Duration(accepted.Load())
		assert.Assert(b.t, elapsed <= 500*time.Millisecond, "completed %s after the last stop was accepted", elapsed)
	})
}

// Guards against renewals of a worker in quick succession while the outcome of a start is unknown: many starts in doubt
// then took most of the leader's processor time.
func TestFewRenewalsWhileStartInDoubt(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.setStart(func(ctx context.Context, _ worker.Target, _ worker.StartOrder) (worker.Reply, error) {
			<-ctx.Done()
			return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		})
		b.setStop(func(ctx context.Context, _ worker.Target, _ worker.StopOrder) (worker.Reply, error) {
			<-ctx.Done()
			return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		})
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
		time.Sleep(500 * time.Millisecond)
		before := b.renewals()
		time.Sleep(time.Second)
		renewals := b.renewals() - before
		assert.Assert(b.t, renewals >= 1 && renewals <= 20, "%d renewals in 1 s", renewals)
	})
}

// renewals returns the number of lease renewals that workers have received.
func (b *testbed) renewals() int {
	n := 0
	b.onLoop(func() { n = b.fleet.Renewals })
	return n
}
