package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// loseStartResponses loses the responses to the first orders to start each run. If carriedOut is set, the worker carries
// these out at once, else after the delay.
func (b *testbed) loseStartResponses(orders int, carriedOut bool, delay time.Duration) {
	inner := b.fleet.WorkerClient("leader")
	sent := make(map[int64]int)
	b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		b.mu.Lock()
		sent[o.Run]++
		lost := sent[o.Run] <= orders
		b.mu.Unlock()
		if !lost {
			return inner.Start(ctx, to, o)
		}
		if carriedOut {
			_, err := inner.Start(ctx, to, o)
			assert.NilError(b.t, err)
		} else {
			time.AfterFunc(delay, func() {
				late, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = inner.Start(late, to, o)
			})
		}
		<-ctx.Done()
		return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
	})
}

// Guards against a task that waits for seconds, run by run, while some orders to start runs get no response: each such run was
// stopped, and the next one began once the stop was accepted and the worker's list didn't show the run.
func TestStartWithoutResponseIsRepeated(t *testing.T) {
	for name, run := range map[string]struct {
		carriedOut bool
		duration   time.Duration
	}{"carried_out": {true, time.Second}, "ended_meanwhile": {true, 100 * time.Millisecond}, "carried_out_late": {false, 300 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.addInstance("m2")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				b.loseStartResponses(1, run.carriedOut, 2*time.Second)
				b.submit(singleStepJob(firstJob, "p", 1, run.duration), run.duration)
				elapsed := b.timeUntilCompleted(10 * time.Second)
				assert.Assert(t, elapsed < run.duration+500*time.Millisecond)
				assert.Equal(t, b.state(), work.Completed)
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(b.hosts()), 0)
			})
		})
	}
}
