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
	"samphirekeel.example/keel/worker"
)

// nextEpoch replaces the leader.
func (b *testbed) nextEpoch() {
	epoch := b.s.Epoch + 1
	b.onLoop(b.s.End)
	b.startEpoch(epoch, "p")
}

// Guards against a wait for a worker that is gone that begins anew with each leader, although no leader has extended its
// lease: with leaders that follow one another within a lease it doesn't end while the instance list can't be read.
func TestLeaseEndOutlivesLeaders(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.fleet.SetServiceUnavailable(true)
		job := longRunningJob(1, 1)
		job.Home = "a"
		b.submit(job, 0)
		time.Sleep(time.Second)
		b.fleet.SetUnreachable(true, b.hosts()[0].Instance)
		gone := time.Now()
		for range 4 {
			time.Sleep(2800 * time.Millisecond)
			b.nextEpoch()
		}
		assert.Assert(t, time.Since(gone)+b.timeUntilLongRunning(time.Minute) < 12*time.Second)
		b.fleet.SetServiceUnavailable(false)
	})
}

// Guards against taking an earlier end of a lease for the last one: the worker has responded in between, and its lease was
// extended after the end was removed from the roster.
func TestLeaseEndIsClearedBeforeExtension(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := longRunningJob(1, 1)
		job.Home = "a"
		b.submit(job, 0)
		time.Sleep(time.Second)
		host := b.hosts()[0]
		b.fleet.SetUnreachable(true, host.Instance)
		time.Sleep(4 * time.Second)
		assert.Assert(t, b.rosterRecord(host.ID).LeaseEndMillis > 0)
		inner := b.store.Client("leader").Commit
		b.onLoop(func() {
			b.setCommit(func(context.Context, table.Txn) (table.Result, error) {
				return table.Result{}, fault.New(fault.PlatformUnavailable, "store unavailable").WithOutcome(fault.NotRun)
			})
		})
		b.fleet.SetUnreachable(false, host.Instance)
		time.Sleep(500 * time.Millisecond)
		expiry := time.Duration(0)
		b.onLoop(func() {
			expiry = b.s.workers[host.ID].leaseExpiry - b.s.Now()
			b.setCommit(inner)
		})
		assert.Assert(t, expiry < 3*time.Second, "the lease was extended: %s", expiry)
		time.Sleep(time.Second)
		assert.Equal(t, b.rosterRecord(host.ID).LeaseEndMillis, int64(0))
		b.onLoop(func() { expiry = b.s.workers[host.ID].leaseExpiry - b.s.Now() })
		assert.Assert(t, expiry > 4*time.Second, "the lease wasn't extended: %s", expiry)
		b.fleet.SetUnreachable(true, host.Instance)
		b.nextEpoch()
		time.Sleep(15 * time.Second)
		b.fleet.SetUnreachable(false, host.Instance)
	})
}

// rosterRecord returns the worker's record in the ledger's roster.
func (b *testbed) rosterRecord(id string) ledger.RosterRecord {
	contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
	assert.NilError(b.t, err)
	return contents.Roster[id]
}

// Guards against a lease that outlasts what the next leader assumes: the worker's clock is slow, and was read long ago.
func TestLeaseOnSlowClock(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		read, end, longest := time.Duration(0), time.Duration(0), time.Duration(0)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				read = w.clockValue
				w.clockReadAt = b.s.Now() - idleRenewInterval
				w.leaseExpiry = 0
				w.runs[work.TaskID{}] = &run{confirmedAt: 1}
				end = b.s.extendLease(w)
				delete(w.runs, work.TaskID{})
			}
			longest = b.s.maxLeaseTime()
		})
		slow := read + time.Duration(float64(idleRenewInterval)*(1-maxClockDrift))
		assert.Assert(t, time.Duration(float64(end-slow)/(1-maxClockDrift)) <= longest)
	})
}

// Guards against taking back the lease that a start order has granted while a renewal could not be sent.
func TestFailedRenewalKeepsLeaseOfStart(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.onLoop(func() {
			b.setRenew(func(context.Context, worker.Target, worker.RenewOrder) (worker.Status, error) {
				time.Sleep(10 * time.Millisecond)
				return worker.Status{}, fault.New(fault.Overloaded, "all control workers are busy").WithOutcome(fault.NotRun)
			})
		})
		granted, kept := time.Duration(0), time.Duration(0)
		var host *workerState
		b.onLoop(func() {
			for _, w := range b.s.workers {
				host = w
				w.leaseExpiry = 1
				// The renewal asks for a longer lease than the start.
				w.runs[work.TaskID{}] = &run{confirmedAt: 1}
				b.s.renew(w)
				delete(w.runs, work.TaskID{})
				before := b.s.Now()
				b.s.extendLease(w)
				granted = before + startLease
			}
		})
		time.Sleep(20 * time.Millisecond)
		b.onLoop(func() { kept = host.leaseExpiry })
		assert.Assert(t, kept >= granted)
		b.setRenew(nil)
	})
}

// Guards against a second run beside the first: a renewal through a relay was carried out but failed there, and could not
// be sent in any other way, so that its extension of the lease was taken back.
func TestRenewalCarriedOutThoughNotSent(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstanceIn("m2", "b")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		// The other instance stays in the pool.
		b.fleet.SetServiceUnavailable(true)
		b.submit(longRunningJob(1, 1), 0)
		time.Sleep(time.Second)
		host := b.hosts()[0]
		inner := b.fleet.WorkerClient("leader").Renew
		b.onLoop(func() {
			b.setRenew(func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
				status, err := inner(ctx, to, o)
				if to.ID == host.ID {
					return worker.Status{}, fault.New(fault.Overloaded, "no other way to the worker").WithOutcome(fault.NotRun)
				}
				return status, err
			})
		})
		time.Sleep(4 * time.Second)
		b.fleet.SetPartitioned("leader", host.DataCentre, true)
		time.Sleep(15 * time.Second)
		running, total := b.checker.LongRunningCounts()
		assert.Equal(t, running, total)
		b.fleet.SetPartitioned("leader", host.DataCentre, false)
		b.fleet.SetServiceUnavailable(false)
		b.setRenew(nil)
		time.Sleep(time.Second)
	})
}
