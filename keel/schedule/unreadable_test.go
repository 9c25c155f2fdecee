package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// Guards against running a job again whose stored progress or outcome can't be decoded, for example because a later build
// has written it: what is unknown of it was taken for nothing done, and a new record replaced the unreadable one.
func TestJobWithUnreadableRecordIsHeld(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		b.onLoop(b.s.End)
		record := ledger.InPartition("ledger0", ledger.JobRecordKey(firstJob))
		b.store.Put(table.Write{Key: record, Value: []byte(`{"outcome":"later"}`)})
		// The outcome has not replaced the submission yet, and an entry announces the job again.
		b.store.Remove(ledger.EndedKey(firstJob))
		job := singleStepJob(firstJob, "p", 1, 100*time.Millisecond)
		b.store.Put(table.Write{Key: ledger.SubmissionKey(firstJob), Value: ledger.Encode(job)})
		b.startEpoch(2, "p")
		time.Sleep(2 * time.Second)
		b.onLoop(func() { b.s.AddJob(job, 1) })
		const other = "00000000000000b2"
		b.submit(singleStepJob(other, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(8 * time.Second)
		assert.Equal(t, b.starts(), 2)
		b.onLoop(func() {
			_, known := b.s.State(firstJob)
			assert.Assert(t, !known)
			assert.Assert(t, !b.s.Cancel(firstJob, func() {}))
			state, _ := b.s.State(other)
			assert.Equal(t, state, work.Completed)
		})
		row, ok := b.store.Get(record)
		assert.Assert(t, ok)
		assert.Equal(t, string(row.Value), `{"outcome":"later"}`)
	})
}

// Guards against starting a task beside its run on a worker that the new leader can't reach and whose roster row can't be
// decoded: the worker was taken for one that runs nothing.
func TestWorkerWithUnreadableRosterRowMayRunTasks(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstanceIn("m1", "b")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, time.Minute), time.Minute)
		time.Sleep(time.Second)
		b.addInstance("m2")
		time.Sleep(2 * time.Second)
		hosts := b.hosts()
		assert.Equal(t, len(hosts), 1)
		b.onLoop(b.s.End)
		b.fleet.SetPartitioned("leader", "b", true)
		contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
		assert.NilError(t, err)
		for _, row := range contents.RosterRows[hosts[0].ID] {
			b.store.Put(table.Write{Key: row.Key, Value: []byte("later")})
		}
		b.startEpoch(2, "p")
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.starts(), 1)
		time.Sleep(workerLease + time.Second)
		assert.Equal(t, b.starts(), 2)
	})
}

// Guards against runs that are lost, and leaders that end, because of odd registrations: hundreds of rows that can't be decoded, written
// again and again, and a worker's own row that turns odd and back while tasks run there, also when the leader changes.
func TestOddRegistrationsLoseNoRuns(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 4, 8*time.Second), 8*time.Second)
		time.Sleep(time.Second)
		host := b.hosts()[0]
		putOdd := func(name string) {
			b.store.Put(table.Write{Key: table.Key{Table: emulator.RegistrationTable, Name: name}, Value: []byte(`{"ID":[[[[`)})
		}
		for range 5 {
			for i := range 400 {
				putOdd(fmt.Sprintf("odd-%d", i))
			}
			// The next heartbeat replaces the worker's odd row.
			putOdd(host.ID)
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, len(b.hosts()), 1)
			b.nextEpoch()
			time.Sleep(900 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 4)
		b.submit(singleStepJob("00000000000000b2", "p", 4, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, b.countStates(work.Completed), 2)
		b.onLoop(func() { assert.Equal(t, len(b.s.workers), 1) })
	})
}
