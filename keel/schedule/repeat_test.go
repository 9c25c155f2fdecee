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

// loseStartResponses loses the responses to the first orders to start each run. If carriedOut is set, the worker carries
// these out at once, else after the delay. It returns a function that returns the number of runs that were to be started.
func (b *testbed) loseStartResponses(orders int, carriedOut bool, delay time.Duration) (runs func() int) {
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
	return func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(sent)
	}
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

// Guards against runs that are given up although their worker responds: a run whose start order had got no response three times
// was stopped, and held its room until the worker had accepted that and listed its runs.
func TestStartIsRepeatedWhileWorkerResponds(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		const duration = 300 * time.Millisecond
		b.loseStartResponses(5, false, 2*time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, duration), duration)
		elapsed := b.timeUntilCompleted(20 * time.Second)
		assert.Check(t, elapsed < 5*orderTimeout+duration+300*time.Millisecond, "completed after %s", elapsed)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(b.hosts()), 0)
	})
}

// Guards against repeats that hold a task for longer than its worker's lease is extended, where replies are slow.
func TestStartIsNotRepeatedForLong(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"fast_replies": orderTimeout, "slow_replies": maxOrderTimeout} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				b.onLoop(func() { b.s.starts.latency = timeout / latencyFactor })
				var stopped time.Time
				inner := b.fleet.WorkerClient("leader")
				b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
					b.mu.Lock()
					if stopped.IsZero() {
						stopped = time.Now()
					}
					b.mu.Unlock()
					return inner.Stop(ctx, to, o)
				})
				b.loseStartResponses(100, false, 10*time.Second)
				submitted := time.Now()
				b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
				time.Sleep(4 * time.Second)
				b.setStart(nil)
				b.mu.Lock()
				held := stopped.Sub(submitted)
				b.mu.Unlock()
				assert.Check(t, held > 0 && held < max(unsettledStartTime, 3*timeout)+100*time.Millisecond, "stopped after %s", held)
				b.timeUntilCompleted(30 * time.Second)
			})
		})
	}
}

// Guards against a run that is given up because its start order got no response just when a renewal got none either.
func TestStartIsRepeatedOnceWorkerResponds(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob("00000000000000b1", "p", 1, 20*time.Second), 20*time.Second)
		time.Sleep(500 * time.Millisecond)
		var answered atomic.Bool
		renewals := b.loseRenewals(func(int64) bool { return !answered.Load() })
		for renewals.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		// The renewal is given up while the start order waits for its response.
		time.Sleep(renewWait + renewTimeoutMargin - 100*time.Millisecond)
		runs := b.loseStartResponses(1, false, 5*time.Second)
		const duration = 300 * time.Millisecond
		time.AfterFunc(300*time.Millisecond, func() { answered.Store(true) })
		b.submit(singleStepJob(firstJob, "p", 1, duration), duration)
		b.timeUntilCompleted(20 * time.Second)
		assert.Equal(t, runs(), 1)
		time.Sleep(10 * time.Second)
	})
}
