package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// failCommits makes the store reject all transactions of the leader until the returned function is called.
func (b *testbed) failCommits() func() {
	b.onLoop(func() {
		b.setCommit(func(context.Context, table.Txn) (table.Result, error) {
			return table.Result{}, fault.New(fault.PlatformUnavailable, "store unavailable").WithOutcome(fault.NotRun)
		})
	})
	return func() { b.setCommit(nil) }
}

// Guards against a task that runs again after its end was acknowledged: its job was cancelled, but neither the end nor the
// cancellation was stored when the leader failed.
func TestEndOfCancelledJobAcknowledgedAfterStored(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, 300*time.Millisecond), 300*time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		repair := b.failCommits()
		b.onLoop(func() { assert.Assert(t, b.s.Cancel(firstJob, func() {})) })
		time.Sleep(time.Second)
		b.onLoop(b.s.End)
		repair()
		b.startEpoch(2, "p")
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 1)
	})
}

// Guards against a gang that runs again after the end of a member was acknowledged: the end of another member has completed
// the job, which wasn't stored when the leader and that member's worker failed.
func TestEndsOfGangAcknowledgedAfterStored(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 2, 300*time.Millisecond)
		job.Steps[0].Gang, job.Steps[0].Size.MilliCores = true, 10000
		b.submit(job, 300*time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		repair := b.failCommits()
		time.Sleep(time.Second)
		var acknowledged []int64
		b.onLoop(func() {
			for _, w := range b.s.workers {
				acknowledged = append(acknowledged, w.acked)
			}
		})
		assert.DeepEqual(t, acknowledged, []int64{0, 0})
		b.onLoop(b.s.End)
		repair()
		b.startEpoch(2, "p")
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 2)
	})
}

// Guards against a second run beside the first one after a change of leader: the entry that announced the job isn't the one
// that stored it, and has another home data centre than the stored job.
func TestAnnouncedJobIsTheStoredOne(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstanceIn("m1", "a")
		b.addInstanceIn("m2", "b")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		stored := singleStepJob(firstJob, "p", 1, 3*time.Second)
		stored.Home = "a"
		submissions := &ledger.SubmissionWriter{Store: b.store.Client("entry")}
		_, err := submissions.Submit(context.Background(), stored)
		assert.NilError(t, err)
		again := singleStepJob(firstJob, "p", 1, 3*time.Second)
		again.Home = "b"
		b.submit(again, 3*time.Second)
		time.Sleep(500 * time.Millisecond)
		host := b.hosts()[0]
		b.fleet.SetUnreachable(true, host.Instance)
		b.nextEpoch()
		time.Sleep(2 * time.Second)
		b.fleet.SetUnreachable(false, host.Instance)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 1)
	})
}

// Guards against a task that starts again although the end of its first run is acknowledged later. The worker's registration
// was gone, so that it left the roster while that end wasn't stored, and the next leader didn't wait for the worker.
func TestWorkerWithEndsToStoreStaysInRoster(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		// The other instance stays in the pool.
		b.fleet.SetServiceUnavailable(true)
		b.submit(singleStepJob(firstJob, "p", 1, 6*time.Second), 6*time.Second)
		time.Sleep(500 * time.Millisecond)
		host := b.hosts()[0]
		b.fleet.SetSilent(true, host.Instance)
		time.Sleep(5 * time.Second)
		b.rejectInvalid(func(txn table.Txn) bool {
			for _, w := range txn.Writes {
				if w.Table == ledger.JobRecords {
					return true
				}
			}
			return false
		})
		time.Sleep(3 * time.Second)
		b.onLoop(b.s.End)
		b.setCommit(nil)
		b.startEpoch(2, "p")
		time.Sleep(200 * time.Millisecond)
		b.fleet.SetSilent(false, host.Instance)
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 1)
		b.fleet.SetServiceUnavailable(false)
	})
}

// Guards against a task that starts again after its end was acknowledged. The worker had no registration when its runs ended,
// as after a partition, and listed their ends again when it registered; by then they had completed the job, which wasn't
// stored.
func TestEndsListedAgainAcknowledgedAfterStored(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 2, 6*time.Second), 6*time.Second)
		time.Sleep(500 * time.Millisecond)
		host := b.hosts()[0]
		b.fleet.SetSilent(true, host.Instance)
		time.Sleep(5 * time.Second)
		b.rejectInvalid(func(txn table.Txn) bool {
			for _, w := range txn.Writes {
				if w.Table == ledger.JobRecords {
					return true
				}
			}
			return false
		})
		time.Sleep(time.Second)
		b.fleet.SetSilent(false, host.Instance)
		time.Sleep(2 * time.Second)
		b.onLoop(b.s.End)
		b.setCommit(nil)
		b.startEpoch(2, "p")
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 2)
	})
}

// Guards against tasks that start again because the leader fails after it has moved the instance that still reports their
// ends, before these are stored.
func TestInstanceWithEndsToStoreIsNotMoved(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 2, 300*time.Millisecond)
		job.Steps[0].Size.MilliCores = 10000
		b.submit(job, 300*time.Millisecond)
		time.Sleep(250 * time.Millisecond)
		repair := b.failCommits()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(b.orders()), 0)
		b.onLoop(b.s.End)
		repair()
		b.startEpoch(2, "p")
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 2)
	})
}
