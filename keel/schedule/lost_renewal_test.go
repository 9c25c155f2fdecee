package schedule

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

// loseRenewals makes the renewals for which lost returns true get no response. It returns the counter of all renewals.
func (b *testbed) loseRenewals(lost func(number int64) bool) *atomic.Int64 {
	inner := b.fleet.WorkerClient("leader")
	var renewals atomic.Int64
	b.setRenew(func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
		if lost(renewals.Add(1)) {
			<-ctx.Done()
			return worker.Status{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		}
		return inner.Renew(ctx, to, o)
	})
	return &renewals
}

// longestSilence returns the longest time for which the instance's worker was unresponsive during the time.
func (b *testbed) longestSilence(instance string, length time.Duration) time.Duration {
	var longest, silent time.Duration
	const step = 5 * time.Millisecond
	for range length / step {
		time.Sleep(step)
		b.onLoop(func() {
			if b.s.workerOf[instance].unresponsiveSince == 0 {
				silent = 0
				return
			}
			silent += step
			longest = max(longest, silent)
		})
	}
	return longest
}

// Guards against workers that get no tasks for 250 ms longer than necessary whenever a renewal gets no response. Where half of
// them got none, most workers were unusable.
func TestLostRenewalsAreRepeatedAtOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is the number of renewals in a row without a response.
		lost    int64
		silence time.Duration
	}{
		{"one", 1, 100 * time.Millisecond},
		{"two", 2, renewTimeoutMargin + 100*time.Millisecond},
		{"three", 3, 2*renewTimeoutMargin + 100*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				b.submit(singleStepJob(firstJob, "p", 1, 20*time.Second), 20*time.Second)
				time.Sleep(500 * time.Millisecond)
				renewals := b.loseRenewals(func(number int64) bool { return number%(test.lost+1) != 0 })
				silence := b.longestSilence("m1", 15*time.Second)
				t.Logf("%d renewals, silent for at most %s", renewals.Load(), silence)
				assert.Check(t, silence > 0 && silence < test.silence, "silent for %s", silence)
			})
		})
	}
}

// Guards against renewals without a pause to a worker that is gone.
func TestSilentWorkerIsRenewedWithPauses(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 20*time.Second), 20*time.Second)
		time.Sleep(500 * time.Millisecond)
		renewals := b.loseRenewals(func(int64) bool { return true })
		time.Sleep(5 * time.Second)
		// The first one lasts up to 1.55 s, the others 0.35 s and a pause of 0.25 s.
		assert.Check(t, renewals.Load() <= 8, "%d renewals", renewals.Load())
		b.setRenew(nil)
		time.Sleep(30 * time.Second)
	})
}
