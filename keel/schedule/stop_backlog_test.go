package schedule

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against stops that stay held back after the path to the workers was slow: the limit on stops in flight falls to
// its minimum and must rise again as soon as replies are fast.
func TestStopsAfterSlowPath(t *testing.T) {
	for _, latency := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprintf("replies after %s", latency), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				for i := range 60 {
					b.addInstance(fmt.Sprintf("m%d", i))
				}
				b.startEpoch(1, "p")
				time.Sleep(time.Second)
				b.submitMany(80, 12, time.Minute)
				time.Sleep(time.Second)
				b.delayStops(400 * time.Millisecond)
				b.cancelJobs(1, 20)
				time.Sleep(2 * time.Second)
				b.cancelJobs(21, 80)
				time.Sleep(300 * time.Millisecond)
				heldBack, limit := b.heldBackStops()
				b.t.Logf("%d stops held back at a limit of %d", heldBack, limit)
				b.delayStops(latency)
				recovered := time.Now()
				for b.countRuns("p") > 0 && time.Since(recovered) < 10*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				_, limit = b.heldBackStops()
				b.t.Logf("no run is left %s after the recovery, limit %d", time.Since(recovered), limit)
				assert.Assert(b.t, time.Since(recovered) <= 2*time.Second)
			})
		})
	}
}

// Guards against stops that wait behind starts for good: a backlog of starts keeps a slow path full, so that the replies
// to stops are late and the limit on stops stays at its minimum.
func TestStopsBesideBacklogOfStarts(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 60 {
			b.addInstance(fmt.Sprintf("m%d", i))
		}
		for i := range 60 {
			b.fleet.Add(fmt.Sprintf("n%d", i), "q", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
		b.startEpoch(1, "p", "q")
		time.Sleep(time.Second)
		b.submitMany(60, 12, time.Minute)
		time.Sleep(time.Second)
		b.slowPath(time.Millisecond)
		var submitted sync.WaitGroup
		for i := range 1000 {
			submitted.Go(func() {
				b.submit(singleStepJob(fmt.Sprintf("%016x", 0x1000+i), "q", 16, 500*time.Millisecond), 500*time.Millisecond)
			})
		}
		submitted.Wait()
		// Idle instances of pool "q" that moved to the spare pool are back after 1.5 s.
		time.Sleep(3 * time.Second)
		b.onLoop(func() {
			b.t.Logf("%d starts in flight at a limit of %d, after %s on average", b.s.starts.inFlight, b.s.starts.limit, b.s.starts.latency)
		})
		b.cancelJobs(1, 60)
		began := time.Now()
		for b.countRuns("p") > 0 && time.Since(began) < 20*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		_, limit := b.heldBackStops()
		b.t.Logf("no run is left after %s, limit %d", time.Since(began), limit)
		// The path carries 1,000 orders per second, so that half of it carries the 720 stops in 1.5 s.
		assert.Assert(b.t, time.Since(began) <= b.checker.CancelTime+b.fleet.Times.StopTime)
	})
}

// delayStops makes the reply to each stop take the given time in addition.
func (b *testbed) delayStops(delay time.Duration) {
	inner := b.fleet.WorkerClient("leader")
	b.onLoop(func() {
		b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			time.Sleep(delay)
			return inner.Stop(ctx, to, o)
		})
	})
}

// cancelJobs cancels the jobs of submitMany from the first to the last number.
func (b *testbed) cancelJobs(first, last int) {
	b.onLoop(func() {
		for i := first; i <= last; i++ {
			id := fmt.Sprintf("%016x", i)
			b.checker.Cancelled(id)
			b.s.Cancel(id, func() {})
		}
	})
}

// heldBackStops returns the number of stops that the limit holds back, and the limit.
func (b *testbed) heldBackStops() (heldBack, limit int) {
	b.onLoop(func() { heldBack, limit = len(b.s.stops.waiting), b.s.stops.limit })
	return heldBack, limit
}

// countRuns returns the number of runs in the pool that may be in progress.
func (b *testbed) countRuns(pool string) int {
	n := 0
	b.onLoop(func() {
		for _, w := range b.s.workers {
			if w.Pool == pool {
				n += len(w.runs)
			}
		}
	})
	return n
}
