package schedule

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// A write of a job's progress is under way when its last task ends; the success of that write is not that of the outcome.
func TestOutcomeIsShownOnlyOnceItIsStored(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.lead(1, "p")
		time.Sleep(2 * time.Second)
		inner := b.store.Client("leader").Commit
		refusing := false
		b.commit = func(ctx context.Context, txn table.Txn) (table.Result, error) {
			if refusing {
				return table.Result{}, fault.New(fault.PlatformUnavailable, "away").WithOutcome(fault.NotRun)
			}
			time.Sleep(300 * time.Millisecond)
			result, err := inner(ctx, txn)
			refusing = true
			return result, err
		}
		b.submit(simple(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Running)
		b.commit = nil
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// A run is told to stop while its order to start is under way, and that is not answered: the stop must follow.
func TestRunStoppedBeforeItsStartIsAnswered(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.lead(1, "p")
		time.Sleep(2 * time.Second)
		lost := true
		inner := b.fleet.Workers("leader").Start
		b.start = func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			if lost {
				lost = false
				<-ctx.Done()
				return worker.Reply{}, fault.New(fault.EndpointFailed, "no answer").WithOutcome(fault.Unknown)
			}
			return inner(ctx, to, o)
		}
		job := simple(firstJob, "p", 1, 0)
		job.Steps[0].LongRunning = true
		b.submit(job, 0)
		time.Sleep(20 * time.Millisecond)
		b.on(func() {
			for _, h := range b.s.workers {
				for _, r := range sortedRuns(h.runs) {
					b.s.stop(r, "its instance is due for maintenance")
				}
			}
		})
		time.Sleep(3 * time.Second)
		at, all := b.truth.LastingAtWork()
		assert.Equal(t, at, all)
	})
}

// A worker that is gone from the roster comes back before its row was removed: the row must stay.
func TestRosterRowOfAWorkerThatComesBackStays(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.lead(1, "p")
		time.Sleep(2 * time.Second)
		id := ""
		b.on(func() {
			for _, h := range b.s.workers {
				id = h.ID
				r := h.Registration
				b.s.lost(h, "cut off for long")
				b.s.register(r)
			}
		})
		time.Sleep(5 * time.Second)
		contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
		assert.NilError(t, err)
		_, ok := contents.Roster[id]
		assert.Assert(t, ok, "worker %s is not in the roster", id)
	})
}

// A worker that an earlier leader used and that doesn't answer may be running tasks: its instance gets no orders.
func TestNoOrdersToInstancesOfWorkersThatDoNotAnswer(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.add("m2")
		b.lead(1, "p", "q")
		time.Sleep(time.Second)
		job := simple(firstJob, "p", 32, 20*time.Second)
		b.submit(job, 20*time.Second)
		time.Sleep(time.Second)
		b.on(b.s.End)
		before := len(b.orders())
		b.fleet.Cut("leader", "a", true)
		b.truth.AddWave(provider.Wave{Number: 1, Instances: []string{"m1", "m2"}, DeadlineSeconds: 4, MaxConcurrent: 2})
		b.lead(2, "p", "q")
		b.on(func() {
			b.s.SetWaves([]provider.Wave{{Number: 1, Instances: []string{"m1", "m2"}, DeadlineSeconds: 4, MaxConcurrent: 2}})
		})
		other := simple("00000000000000a2", "q", 16, time.Second)
		b.submit(other, time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(b.orders()), before, "orders to %v", b.orders())
		b.fleet.Cut("leader", "a", false)
		time.Sleep(time.Second)
	})
}

// The notes of an earlier leader say which instances had their maintenance, and the list which are down for it.
func TestWaveGoesOnAfterAnEarlierLeader(t *testing.T) {
	inBench(t, func(b *bench) {
		all := []string{"m1", "m2", "m3", "m4"}
		for _, id := range all {
			b.add(id)
		}
		// The maintenance that is under way outlasts the new leader's first look at the list.
		b.fleet.Times.MaintenanceTime = 4 * time.Second
		wave := provider.Wave{Number: 1, Instances: all, DeadlineSeconds: 60, MaxConcurrent: 1}
		b.truth.AddWave(wave)
		b.lead(1, "p")
		b.on(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(1500 * time.Millisecond)
		b.on(b.s.End)
		first := b.maintenance()
		b.lead(2, "p")
		b.on(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(45 * time.Second)
		later := b.maintenance()[len(first):]
		for _, id := range first {
			assert.Assert(t, !slices.Contains(later, id), "%s is maintained again", id)
		}
		done, wanted := b.truth.WaveDone(1)
		assert.Equal(t, done, wanted)
	})
}

// An instance has reached the spare pool, where no worker registers, and is wanted again at once.
func TestParkedInstanceMayBeMovedAgain(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.add("m2")
		b.lead(1, "p")
		// One of the two idle instances is parked after 1.2 s and spare 1.5 s later; the list lags by some time.
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, len(b.orders()), 1)
		b.submit(simple(firstJob, "p", 32, 500*time.Millisecond), 500*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(b.orders()), 2, "the spare instance isn't moved")
	})
}

// A cancel that another entry has stored is delivered before the submission: the tables are followed one by one.
func TestCancelThatComesBeforeItsJob(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.lead(1, "p")
		time.Sleep(time.Second)
		b.on(func() { b.s.cancelStored(firstJob) })
		b.submit(simple(firstJob, "p", 1, time.Second), time.Second)
		b.truth.Cancelled(firstJob)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.state(), work.Cancelled)
		assert.Equal(t, b.fleet.Starts, 0)
	})
}

// A registration that an ended worker wrote reaches the store after that of its successor: the successor lives.
func TestLateRegistrationEndsNobody(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.add("m2")
		b.lead(1, "p")
		time.Sleep(time.Second)
		b.fleet.Crash("m1", time.Second)
		b.fleet.Crash("m2", time.Second)
		time.Sleep(1500 * time.Millisecond)
		b.submit(simple(firstJob, "p", 20, 8*time.Second), 8*time.Second)
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.fleet.Starts, 20)
		b.fleet.RegisterLate("m1")
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.fleet.Starts, 20)
	})
}

// Ends are forgotten by the workers only once what follows from them is stored.
func TestEndsAreAcknowledgedOnceTheyAreStored(t *testing.T) {
	inBench(t, func(b *bench) {
		b.add("m1")
		b.lead(1, "p")
		time.Sleep(2 * time.Second)
		b.submit(simple(firstJob, "p", 4, 300*time.Millisecond), 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		outage := &emulator.Trouble{Outage: emulator.Busy}
		b.store.Begin(outage)
		time.Sleep(2 * time.Second)
		b.on(func() {
			for _, h := range b.s.workers {
				assert.Equal(t, h.acked, int64(0))
				assert.Equal(t, len(h.ends), 4)
			}
		})
		assert.Equal(t, b.state(), work.Running)
		b.store.End(outage)
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Completed)
		b.on(func() {
			for _, h := range b.s.workers {
				assert.Equal(t, h.acked, int64(4))
			}
		})
	})
}
