package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// Guards against an instance that came for a long-running task and is moved on to another pool before the ledger permits
// the task in its data centre.
func TestInstanceForLongRunningTaskIsKept(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.fleet.Add("m2", "spare", "b", "rb-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		b.startEpoch(1, "p", "q")
		time.Sleep(2 * time.Second)
		inner := b.store.Client("leader").Commit
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			time.Sleep(250 * time.Millisecond)
			return inner(ctx, txn)
		})
		job := longRunningJob(2, 1)
		job.Home, job.Steps[0].MaxPerWorker = "a", 1
		b.submit(job, 0)
		time.Sleep(time.Second)
		for _, id := range []string{"00000000000000b1", "00000000000000b2"} {
			b.submit(singleStepJob(id, "q", 400, 2*time.Second), 2*time.Second)
		}
		time.Sleep(6 * time.Second)
		running, total := b.checker.LongRunningCounts()
		assert.Equal(t, running, total)
	})
}

// Guards against a long-running task that waits for one worker behind the many that the on-time jobs of another pool
// ask for, because that pool comes first by its name.
func TestLongRunningTaskComesBeforeOnTimeJobs(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		for _, id := range []string{"m2", "m3", "m4"} {
			b.fleet.Add(id, "spare", "a", "ra-1", work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
		b.startEpoch(1, "a", "p")
		time.Sleep(2 * time.Second)
		b.onLoop(func() { b.s.OrdersFrom = b.s.Now() + time.Second })
		job := longRunningJob(2, 1)
		job.Steps[0].MaxPerWorker = 1
		b.submit(job, 0)
		for _, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
			b.submit(singleStepJob(id, "a", 16, 30*time.Second), 30*time.Second)
		}
		time.Sleep(5 * time.Second)
		running, total := b.checker.LongRunningCounts()
		assert.Equal(t, running, total)
	})
}
