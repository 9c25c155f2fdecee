package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// rowsOf returns the number of rows of the tables that hold jobs.
func (b *testbed) rowsOf(tables ...string) map[string]int {
	counts := make(map[string]int)
	client := b.store.Client("reader")
	for _, name := range tables {
		for _, partition := range append(ledger.LeaderPartitions(), ledger.SubmissionPartitions()...) {
			page, err := client.ReadAll(context.Background(), table.Range{Table: name, Partition: partition})
			assert.NilError(b.t, err)
			if len(page.Rows) > 0 {
				counts[name] += len(page.Rows)
			}
		}
	}
	return counts
}

// storedState returns the state of a job by the store alone.
func (b *testbed) storedState(id string) (work.State, error) {
	return (&ledger.JobStore{Store: b.store.Client("reader")}).Find(context.Background(), id)
}

// endedFaults holds what happens while the rows of ended jobs are removed.
var endedFaults = map[string]func(b *testbed){
	"no fault":         func(*testbed) {},
	"change of leader": func(b *testbed) { b.nextEpoch() },
	"slow store":       func(b *testbed) { b.store.Inject(&emulator.StoreFault{SlowFactor: 60}) },
	"responses lost": func(b *testbed) {
		b.store.Inject(&emulator.StoreFault{Outage: emulator.Lost})
		b.nextEpoch()
	},
	"writes late": func(b *testbed) {
		b.store.Inject(&emulator.StoreFault{Outage: emulator.Late})
		b.nextEpoch()
	},
	"store without response": func(b *testbed) {
		outage := &emulator.StoreFault{Outage: emulator.Silent}
		b.store.Inject(outage)
		time.Sleep(30 * time.Second)
		b.store.Clear(outage)
	},
}

// Guards against rows of ended jobs that stay for ever, so that each takeover reads more of them than the one before, until none is
// in time; and against the loss of a state that callers may still ask for.
func TestRowsOfEndedJobsGo(t *testing.T) {
	for name, disturb := range endedFaults {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				const jobs = 30
				b.jobRetention = 2 * time.Minute
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				for i := range jobs {
					b.submit(singleStepJob(fmt.Sprintf("%016x", i), "p", 2, 200*time.Millisecond), 200*time.Millisecond)
				}
				err := (&ledger.JobStore{Store: b.store.Client("entry")}).Cancel(context.Background(), fmt.Sprintf("%016x", jobs-1))
				assert.NilError(t, err)
				b.checker.Cancelled(fmt.Sprintf("%016x", jobs-1))
				time.Sleep(300 * time.Millisecond)
				disturb(b)
				time.Sleep(85 * time.Second)
				assert.Equal(t, b.countStates(work.Completed)+b.countStates(work.Cancelled), jobs)
				time.Sleep(30 * time.Second)
				for i := range jobs {
					state, err := b.storedState(fmt.Sprintf("%016x", i))
					assert.NilError(t, err)
					assert.Assert(t, state.Final())
				}
				time.Sleep(6 * time.Minute)
				assert.DeepEqual(t, b.rowsOf(ledger.Submissions, ledger.Ended, ledger.JobRecords, ledger.Cancels), map[string]int{})
				b.onLoop(func() { assert.Check(t, len(b.s.jobs) == 0 && len(b.s.retired) == 0 && len(b.s.cancelRows) == 0) })
				_, err = b.storedState(fmt.Sprintf("%016x", 0))
				assert.Assert(t, fault.IsKind(err, fault.NotExist), "%v", err)
				assert.Assert(t, b.starts() <= 2*jobs)
			})
		})
	}
}

// Guards against a job that is taken for another one because its outcome has replaced its submission, and against one that is
// accepted again while callers may ask for the first one.
func TestRepeatOfEndedJob(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.jobRetention = 2 * time.Minute
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 1, 200*time.Millisecond)
		b.submit(job, 200*time.Millisecond)
		for range 3 {
			time.Sleep(60 * time.Second)
			stored, err := (&ledger.SubmissionWriter{Store: b.store.Client("entry")}).Submit(context.Background(), job)
			assert.NilError(t, err)
			assert.Assert(t, stored.Ended)
			other := *job
			other.Digest++
			_, err = (&ledger.SubmissionWriter{Store: b.store.Client("entry")}).Submit(context.Background(), &other)
			assert.Assert(t, fault.IsKind(err, fault.KeyReused), "%v", err)
			b.nextEpoch()
		}
		time.Sleep(3 * time.Minute)
		assert.Equal(t, b.starts(), 1)
		// Long after its end the job is forgotten, and the ID names a new one.
		b.submit(job, 200*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 2)
	})
}

// Guards against a takeover whose cost grows with the jobs that have ended.
func TestTakeoverReadsNoEndedJobs(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 20_000 {
			id := fmt.Sprintf("%016x", i)
			outcome := &work.Outcome{State: work.Completed, Queue: "p", Ended: time.Now().UnixMilli()}
			b.store.Put(table.Write{Key: ledger.EndedKey(id), Value: ledger.Encode(ledger.Stub{ID: id, Ended: true, Outcome: outcome})})
		}
		b.addInstance("m1")
		b.startEpoch(1, "p")
		began := time.Now()
		for !b.ready() {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "ready after %s", time.Since(began))
		assert.Assert(t, b.store.Reads < 60, "%d reads", b.store.Reads)
		time.Sleep(10 * time.Second)
		state := work.State("")
		b.onLoop(func() { state, _ = b.s.State(fmt.Sprintf("%016x", 17)) })
		assert.Equal(t, state, work.Completed)
	})
}

// Guards against a job that runs again after the next change of leader because its submission stays: the leader knows another
// version of the row.
func TestSubmissionGoesUnderItsPresentVersion(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 200*time.Millisecond), 200*time.Millisecond)
		b.onLoop(func() { b.s.jobs[firstJob].version++ })
		time.Sleep(8 * time.Second)
		assert.DeepEqual(t, b.rowsOf(ledger.Submissions, ledger.Ended, ledger.JobRecords), map[string]int{ledger.Ended: 1})
		b.nextEpoch()
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.starts(), 1)
		assert.Equal(t, b.state(), work.Completed)
	})
}
