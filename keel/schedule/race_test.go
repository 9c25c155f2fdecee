package schedule

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against taking the successful write of a job's progress for that of its outcome. The job's last task ends
// while the progress write is in flight, and the write of the outcome then fails.
func TestOutcomeVisibleOnlyAfterStored(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		inner := b.store.Client("leader").Commit
		failing := false
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			if failing {
				return table.Result{}, fault.New(fault.PlatformUnavailable, "store unavailable").WithOutcome(fault.NotRun)
			}
			time.Sleep(300 * time.Millisecond)
			result, err := inner(ctx, txn)
			failing = true
			return result, err
		})
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Running)
		b.setCommit(nil)
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a run that is never stopped. The stop is requested while the start order is in flight, and that order
// gets no response.
func TestStopBeforeStartResponse(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		dropResponse := true
		inner := b.fleet.WorkerClient("leader").Start
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			if dropResponse {
				dropResponse = false
				<-ctx.Done()
				return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
			}
			return inner(ctx, to, o)
		})
		job := singleStepJob(firstJob, "p", 1, 0)
		job.Steps[0].LongRunning = true
		b.submit(job, 0)
		time.Sleep(20 * time.Millisecond)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				for _, r := range sortedRuns(w.runs) {
					b.s.stop(r, "its instance is due for maintenance")
				}
			}
		})
		time.Sleep(3 * time.Second)
		serving, total := b.checker.LongRunningCounts()
		assert.Equal(t, serving, total)
	})
}

// Guards against removing the roster row of a live worker. The worker is removed and registers again before its old row
// is deleted.
func TestRosterRowKeptForReturningWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		id := ""
		b.onLoop(func() {
			for _, w := range b.s.workers {
				id = w.ID
				r := w.Registration
				b.s.removeWorker(w, "lease expired")
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

// Guards against orders to instances that may be running tasks. The workers ran tasks for the previous leader and do
// not respond to the new one.
func TestNoOrdersToUnresponsiveWorkers(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p", "q")
		time.Sleep(time.Second)
		job := singleStepJob(firstJob, "p", 32, 20*time.Second)
		b.submit(job, 20*time.Second)
		time.Sleep(time.Second)
		b.onLoop(b.s.End)
		before := len(b.orders())
		b.fleet.SetPartitioned("leader", "a", true)
		b.checker.AddWave(provider.Wave{Number: 1, Instances: []string{"m1", "m2"}, DeadlineSeconds: 4, MaxConcurrent: 2})
		b.startEpoch(2, "p", "q")
		b.onLoop(func() {
			b.s.SetWaves([]provider.Wave{{Number: 1, Instances: []string{"m1", "m2"}, DeadlineSeconds: 4, MaxConcurrent: 2}})
		})
		other := singleStepJob("00000000000000a2", "q", 16, time.Second)
		b.submit(other, time.Second)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(b.orders()), before, "orders to %v", b.orders())
		b.fleet.SetPartitioned("leader", "a", false)
		time.Sleep(time.Second)
	})
}

// Guards against repeating or skipping maintenance after a leader change. The new leader learns from the stored
// progress which instances were maintained, and from the instance list which are down.
func TestWaveResumesAfterLeaderChange(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		all := []string{"m1", "m2", "m3", "m4"}
		for _, id := range all {
			b.addInstance(id)
		}
		// The current maintenance must still be in progress when the new leader first reads the instance list.
		b.fleet.Times.MaintenanceTime = 4 * time.Second
		wave := provider.Wave{Number: 1, Instances: all, DeadlineSeconds: 60, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		b.startEpoch(1, "p")
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(1500 * time.Millisecond)
		b.onLoop(b.s.End)
		first := b.maintenanceOrders()
		b.startEpoch(2, "p")
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(45 * time.Second)
		later := b.maintenanceOrders()[len(first):]
		for _, id := range first {
			assert.Assert(t, !slices.Contains(later, id), "%s gets maintenance twice", id)
		}
		done, wanted := b.checker.WaveProgress(1)
		assert.Equal(t, done, wanted)
	})
}

// Guards against an instance that can't leave the spare pool. No worker registers there, so its arrival shows only in
// the instance list.
func TestSpareInstanceCanMoveAgain(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		// One of the two idle instances is moved after 1.2 s and reaches the spare pool 1.5 s later. The list lags
		// behind that.
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, len(b.orders()), 1)
		b.submit(singleStepJob(firstJob, "p", 32, 500*time.Millisecond), 500*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(b.orders()), 2, "the spare instance isn't moved")
	})
}

// Guards against losing a cancel that arrives before its submission. Another entry stored both, and the tables are
// polled independently.
func TestCancelBeforeSubmission(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.onLoop(func() { b.s.cancelStored(firstJob) })
		b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
		b.checker.Cancelled(firstJob)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.state(), work.Cancelled)
		assert.Equal(t, b.starts(), 0)
	})
}

// Guards against taking a live worker for ended. The registration of its predecessor on the instance reaches the store
// after its own.
func TestLateRegistrationKeepsSuccessor(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.fleet.Crash("m1", time.Second)
		b.fleet.Crash("m2", time.Second)
		time.Sleep(1500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 20, 8*time.Second), 8*time.Second)
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.starts(), 20)
		b.fleet.RegisterLate("m1")
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 20)
	})
}

// Guards against workers discarding the ends of runs before the resulting changes are stored.
func TestEndsAcknowledgedAfterStored(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.submit(singleStepJob(firstJob, "p", 4, 300*time.Millisecond), 300*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		outage := &emulator.StoreFault{Outage: emulator.Busy}
		b.store.Inject(outage)
		time.Sleep(2 * time.Second)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				assert.Equal(t, w.acked, int64(0))
				assert.Equal(t, len(w.ends), 4)
			}
		})
		assert.Equal(t, b.state(), work.Running)
		b.store.Clear(outage)
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Completed)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				assert.Equal(t, w.acked, int64(4))
			}
		})
	})
}

// Guards against holding back the jobs of a data centre for the whole lease of a worker whose instance was taken away
// just before a leader change: the roster still has the worker, but the instance list doesn't have its instance.
func TestRemovedInstanceHoldsNoJobs(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.fleet.Remove("m2")
		job := singleStepJob(firstJob, "p", 4, 100*time.Millisecond)
		job.Home = "a"
		b.onLoop(b.s.End)
		b.submit(job, 100*time.Millisecond)
		b.startEpoch(2, "p")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a long-running task that never runs again after its instance was taken away for good around a leader
// change: nothing but the instance list shows that its worker has ended.
func TestRemovedInstanceReleasesLongRunningTask(t *testing.T) {
	tests := []struct {
		name string
		// removedAfter is the time from the start of the new epoch until the instance is taken away.
		removedAfter time.Duration
	}{{"before", -200 * time.Millisecond}, {"during", 0}, {"after", time.Second}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.addInstance("m2")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				job := singleStepJob(firstJob, "p", 1, time.Minute)
				job.Home, job.Steps[0].LongRunning = "a", true
				b.submit(job, time.Minute)
				time.Sleep(time.Second)
				hosts := b.hosts()
				assert.Equal(b.t, len(hosts), 1)
				if test.removedAfter < 0 {
					b.fleet.Remove(hosts[0].Instance)
					time.Sleep(-test.removedAfter)
				}
				b.onLoop(b.s.End)
				b.startEpoch(2, "p")
				if test.removedAfter >= 0 {
					time.Sleep(test.removedAfter)
					b.fleet.Remove(hosts[0].Instance)
				}
				assert.Assert(b.t, b.timeUntilLongRunning(time.Minute) <= 3*time.Second)
			})
		})
	}
}

// startPair starts an epoch and a job of two long-running tasks on different workers, of which one may be unavailable.
func (b *testbed) startPair() {
	b.startEpoch(1, "p")
	time.Sleep(500 * time.Millisecond)
	job := singleStepJob(firstJob, "p", 2, time.Minute)
	job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker = true, 1
	job.Steps[0].HasDisruptionBudget, job.Steps[0].DisruptionBudget = true, 1
	b.submit(job, time.Minute)
	time.Sleep(1100 * time.Millisecond)
}

// Guards against an order that stops a healthy task after its step's disruption budget was used up. The first orders
// get no response for 6 s, and another task of the step is lost meanwhile.
func TestStopNotRepeatedOverBudget(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startPair()
		inner := b.fleet.WorkerClient("leader").Stop
		cut := time.Now().Add(6 * time.Second)
		b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			if time.Now().After(cut) {
				return inner(ctx, to, o)
			}
			<-ctx.Done()
			return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
		})
		wave := provider.Wave{Number: 1, Instances: []string{"m1"}, DeadlineSeconds: 30, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(500 * time.Millisecond)
		b.fleet.Crash("m2", 12*time.Second)
		time.Sleep(30 * time.Second)
		done, wanted := b.checker.WaveProgress(1)
		assert.Equal(t, done, wanted)
	})
}

// Guards against taking a task for available after an order to stop it got no response. The order was carried out, and
// the step's other task must not be stopped as well.
func TestStopWithoutResponseUsesBudget(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for _, id := range []string{"m1", "m2", "m3", "m4"} {
			b.addInstance(id)
		}
		b.startPair()
		var hosts []string
		b.onLoop(func() {
			for _, w := range b.s.workers {
				if len(w.runs) > 0 {
					hosts = append(hosts, w.Instance)
				}
			}
		})
		assert.Equal(t, len(hosts), 2)
		inner := b.fleet.WorkerClient("leader").Stop
		b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			time.Sleep(200 * time.Millisecond)
			_, err := inner(ctx, to, o)
			<-ctx.Done()
			return worker.Reply{}, fault.Wrap(fault.EndpointFailed, err, "response lost").WithOutcome(fault.Unknown)
		})
		first := provider.Wave{Number: 1, Instances: hosts[:1], DeadlineSeconds: 20, MaxConcurrent: 1}
		second := provider.Wave{Number: 2, Instances: hosts[1:], DeadlineSeconds: 3, MaxConcurrent: 1}
		b.checker.AddWave(first)
		b.checker.AddWave(second)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{first}) })
		time.Sleep(240 * time.Millisecond)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{second}) })
		time.Sleep(20 * time.Second)
		done, wanted := b.checker.WaveProgress(2)
		assert.Equal(t, done, wanted)
	})
}

// Guards against a speculative run on the worker that runs the task already: the worker rejects it, the scheduler forgot
// the first run with it, and the next pass ordered another one.
func TestNoCopyOnTheSameWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 1, 100*time.Millisecond)
		job.Steps[0].Speculative = true
		b.submit(job, 3*time.Second)
		time.Sleep(1500 * time.Millisecond)
		b.fleet.Crash("m1", 2*time.Second)
		time.Sleep(15 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Assert(t, b.starts() <= 3, "%d start orders", b.starts())
	})
}

// Guards against a task that never runs again after a failure: the only worker with room is on the instance where it
// failed, another worker of the pool is full, and so the pool isn't short of capacity.
func TestRetryWhereItFailed(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		lasting := singleStepJob("00000000000000a2", "p", 1, time.Minute)
		lasting.Steps[0].LongRunning, lasting.Steps[0].Size.MilliCores = true, 16000
		b.submit(lasting, time.Minute)
		time.Sleep(100 * time.Millisecond)
		idle := ""
		b.onLoop(func() {
			for _, w := range b.s.workers {
				if len(w.runs) == 0 {
					idle = w.Instance
				}
			}
		})
		b.fleet.SetBehaviour(idle, emulator.Behaviour{Fails: true})
		b.submit(singleStepJob(firstJob, "p", 1, 400*time.Millisecond), 400*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		b.fleet.SetBehaviour(idle, emulator.Behaviour{})
		time.Sleep(4 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against holding the runs of an unresponsive worker for as long as it is partitioned from the leader: renewals
// without a response must not extend its recorded lease. The instance list shows its instance as up throughout.
func TestPartitionedWorkerHoldsTaskForOneLease(t *testing.T) {
	tests := []struct {
		name        string
		longRunning bool
	}{{"short", false}, {"long_running", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.addInstanceIn("m2", "b")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				job := singleStepJob(firstJob, "p", 1, 2*time.Second)
				job.Steps[0].LongRunning = test.longRunning
				b.submit(job, 2*time.Second)
				time.Sleep(time.Second)
				hosts := b.hosts()
				assert.Equal(b.t, len(hosts), 1)
				b.fleet.SetPartitioned("leader", hosts[0].DataCentre, true)
				time.Sleep(workerLease + 3*time.Second)
				starts := b.starts()
				time.Sleep(31 * time.Second)
				b.fleet.SetPartitioned("leader", hosts[0].DataCentre, false)
				assert.Equal(b.t, starts, 2, "start orders within the lease and 3 s of the partition")
				running, total := b.checker.LongRunningCounts()
				assert.Equal(b.t, running, total)
				if !test.longRunning {
					assert.Equal(b.t, b.state(), work.Completed)
				}
			})
		})
	}
}

// Guards against a roster row that outlives its worker. The worker does not respond to the new leader, its lease expires
// while it is still registered, and the instance list is unreachable; each later leader would wait for it again.
func TestExpiredWorkerLeavesRoster(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstanceIn("m2", "b")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		b.onLoop(b.s.End)
		b.fleet.SetPartitioned("leader", "b", true)
		b.startEpoch(2, "p")
		b.onLoop(func() { b.s.Provider = nil })
		time.Sleep(workerLease + 2*time.Second)
		b.fleet.Remove("m2")
		time.Sleep(5 * time.Second)
		contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
		assert.NilError(t, err)
		assert.Equal(t, len(contents.Roster), 1)
	})
}

// Guards against a worker that never gets tasks again: it rejects the order to stop a run that no open job needs, because
// it is unhealthy for a moment, and the order wasn't repeated.
func TestRejectedOrphanStopIsRepeated(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, time.Minute), time.Minute)
		time.Sleep(500 * time.Millisecond)
		b.fleet.SetPartitioned("leader", "a", true)
		b.onLoop(func() { b.s.cancelStored(firstJob) })
		b.checker.Cancelled(firstJob)
		time.Sleep(time.Second)
		b.onLoop(b.s.End)
		b.fleet.SetPartitioned("leader", "a", false)
		inner := b.fleet.WorkerClient("leader").Stop
		healthy := time.Now().Add(time.Second)
		b.setStop(func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			if time.Now().Before(healthy) {
				return worker.Reply{Refusal: worker.Unhealthy}, nil
			}
			return inner(ctx, to, o)
		})
		b.startEpoch(2, "p")
		next := singleStepJob("00000000000000a2", "p", 1, 100*time.Millisecond)
		b.submit(next, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		var state work.State
		b.onLoop(func() { state, _ = b.s.State(next.ID) })
		assert.Equal(t, state, work.Completed)
	})
}

// Guards against tasks that wait beside a free worker: a speculative task, whose first run is on the only worker with
// room, marked its size as fitting nowhere.
func TestSpeculativeTaskHoldsNoOthers(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob("00000000000000a2", "p", 1, 100*time.Millisecond)
		job.Steps[0].Speculative = true
		b.submit(job, 20*time.Second)
		time.Sleep(2 * time.Second)
		// Its second step is ready when the job is late, and ranks behind the speculative task.
		late := singleStepJob(firstJob, "p", 1, 100*time.Millisecond)
		late.Steps = append(late.Steps, late.Steps[0])
		late.Steps[1].After = []int{0}
		b.submit(late, 2*time.Second)
		time.Sleep(6 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against taking the leader's own overload for a silent worker: renewals that could not be sent say nothing
// about the worker, which gets tasks in between. But they don't extend its lease either: once that has expired, its runs
// are over.
func TestRenewalsNotSent(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstanceIn("m2", "b")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(longRunningJob(1, 1), 0)
		time.Sleep(time.Second)
		host := b.hosts()[0]
		inner := b.fleet.WorkerClient("leader").Renew
		b.setRenew(func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
			if to.ID == host.ID {
				return worker.Status{}, fault.New(fault.Overloaded, "all control workers are busy").WithOutcome(fault.NotRun)
			}
			return inner(ctx, to, o)
		})
		time.Sleep(2 * time.Second)
		usable := false
		b.onLoop(func() { usable = b.s.usable(b.s.workers[host.ID], b.s.Now()) })
		assert.Assert(t, usable)
		time.Sleep(workerLease + 3*time.Second)
		running, total := b.checker.LongRunningCounts()
		assert.Equal(t, running, total)
	})
}

// Guards against losing a live worker for good. The order for the maintenance of its instance gets no response but is
// carried out; the order is given again when the instance is back, and is accepted since the maintenance was done.
func TestRepeatedMaintenanceOrderKeepsWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		// The store changes a registration only when more than its sequence number changes.
		b.fleet.Times.Heartbeat = 30 * time.Second
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		first := true
		wave := provider.Wave{Number: 1, Instances: []string{"m1"}, DeadlineSeconds: 20, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		b.onLoop(func() {
			maintain := b.s.Provider.Maintain
			b.s.Provider.Maintain = func(ctx context.Context, id string, wave int64, fence provider.Fence) (provider.Refusal, error) {
				refusal, err := maintain(ctx, id, wave, fence)
				if first {
					first = false
					<-ctx.Done()
					return provider.Accepted, fault.New(fault.PlatformUnavailable, "no response").WithOutcome(fault.Unknown)
				}
				return refusal, err
			}
			b.s.SetWaves([]provider.Wave{wave})
		})
		time.Sleep(15 * time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against losing a live worker for good when an instance list names another worker on its instance.
func TestStaleListLosesNoWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.fleet.Times.Heartbeat = 30 * time.Second
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(1500 * time.Millisecond)
		stale := true
		b.onLoop(func() {
			list := b.s.Provider.List
			b.s.Provider.List = func(ctx context.Context, token string) (provider.Page, error) {
				page, err := list(ctx, token)
				if stale && len(page.Instances) > 0 {
					stale = false
					page.Instances[0].Worker = "w-earlier"
				}
				return page, err
			}
		})
		time.Sleep(time.Second)
		unused := false
		b.onLoop(func() { unused = stale })
		assert.Assert(t, !unused)
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a worker that never gets tasks again: while an order to its instance is in flight, which then fails, the
// late registration of an earlier worker takes its place as the instance's latest one.
func TestFailedOrderFreesTheWorkerItWasFor(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.onLoop(func() {
			b.s.Provider.List = func(ctx context.Context, _ string) (provider.Page, error) {
				<-ctx.Done()
				return provider.Page{}, fault.New(fault.PlatformUnavailable, "no response").WithOutcome(fault.NotRun)
			}
			b.s.Provider.Move = func(context.Context, string, string, provider.Fence) (provider.Refusal, error) {
				time.Sleep(500 * time.Millisecond)
				return provider.Busy, nil
			}
			current := b.s.workerOf["m1"]
			i := b.s.fleet.instances["m1"]
			i.Worker = ""
			b.s.fleet.instances["m1"] = i
			b.s.move("m1", "spare", "p", 0, b.s.Now(), "instance is idle")
			earlier := current.Registration
			earlier.ID, earlier.Address = "w-earlier", "10.0.9.9:80"
			b.s.register(earlier)
		})
		time.Sleep(time.Second)
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a task that waits for ever beside a spare instance: the pool has as much capacity as its tasks need, but
// no worker has room for the task.
func TestTaskThatFitsNowhereGetsAnInstance(t *testing.T) {
	for _, gang := range []bool{false, true} {
		withTestbed(t, func(b *testbed) {
			b.addInstance("m1")
			b.addInstance("m2")
			b.startEpoch(1, "p")
			time.Sleep(500 * time.Millisecond)
			lasting := singleStepJob("00000000000000a2", "p", 2, time.Minute)
			lasting.Steps[0].LongRunning, lasting.Steps[0].MaxPerWorker, lasting.Steps[0].Size.MilliCores = true, 1, 8000
			b.submit(lasting, time.Minute)
			time.Sleep(time.Second)
			job := singleStepJob(firstJob, "p", 1, 500*time.Millisecond)
			job.Steps[0].Gang, job.Steps[0].Size.MilliCores = gang, 16000
			b.submit(job, 500*time.Millisecond)
			// The job's arrival isn't counted as expected work any more.
			time.Sleep(5 * time.Second)
			b.fleet.Add("m3", "spare", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
			time.Sleep(6 * time.Second)
			assert.Equal(t, b.state(), work.Completed, "gang: %v", gang)
		})
	}
}

// Guards against a task that waits for ever for a labelled worker while the spare pool has an instance with the label.
func TestLabelledTaskGetsALabelledInstance(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		for _, id := range []string{"m2", "m3", "m4"} {
			b.fleet.Add(id, "spare", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
		b.fleet.Add("m5", "spare", "a", "ra-1", work.Size{MilliCores: 16000, MemoryMB: 32768})
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 1, 100*time.Millisecond)
		job.Steps[0].Label = "ra-1"
		b.submit(job, 100*time.Millisecond)
		time.Sleep(8 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.orders()[0], "m5")
	})
}

// failInstanceService makes the instance service unreachable, with its list and all orders.
func (b *testbed) failInstanceService() {
	failed := fault.New(fault.PlatformUnavailable, "connection refused").WithOutcome(fault.NotRun)
	b.s.Provider.List = func(context.Context, string) (provider.Page, error) { return provider.Page{}, failed }
	b.s.Provider.Move = func(context.Context, string, string, provider.Fence) (provider.Refusal, error) {
		return provider.Accepted, failed
	}
	b.s.Provider.Maintain = func(context.Context, string, int64, provider.Fence) (provider.Refusal, error) {
		return provider.Accepted, failed
	}
}

// Guards against tasks that wait, and long-running tasks that are stopped, for a maintenance that can't start: the
// instance service is unreachable, and the wave is behind schedule.
func TestNoCordonWithoutInstanceService(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startPair()
		b.onLoop(b.failInstanceService)
		time.Sleep(500 * time.Millisecond)
		started := b.starts()
		wave := provider.Wave{Number: 1, Instances: []string{"m1", "m2"}, DeadlineSeconds: 5, MaxConcurrent: 2}
		b.checker.AddWave(wave)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(time.Second)
		job := singleStepJob("00000000000000a2", "p", 1, 100*time.Millisecond)
		b.submit(job, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		var state work.State
		b.onLoop(func() { state, _ = b.s.State(job.ID) })
		assert.Equal(t, state, work.Completed)
		assert.Equal(t, b.starts(), started+1, "long-running tasks were stopped")
	})
}

// Guards against a long-running task that waits for another worker, which the limit of its step requires, until the
// backlog of another pool is served: late jobs there kept every instance.
func TestConstrainedLongRunningTaskComesBeforeLateJobs(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p", "q")
		time.Sleep(500 * time.Millisecond)
		b.submit(longRunningJob(1, 1), 0)
		b.submit(singleStepJob("00000000000000b1", "q", 1200, 700*time.Millisecond), 700*time.Millisecond)
		time.Sleep(6 * time.Second)
		job := longRunningJob(2, 1)
		job.ID, job.Steps[0].MaxPerWorker = "00000000000000a2", 1
		b.submit(job, 0)
		time.Sleep(6 * time.Second)
		running, total := b.checker.LongRunningCounts()
		assert.Equal(t, running, total)
	})
}

// Guards against a wave that never ends because the worker of one of its instances is gone for good: it does not respond
// to a new leader, or its registration expired while the instance list still shows it.
func TestWaveEndsWithoutItsWorker(t *testing.T) {
	for _, registered := range []bool{true, false} {
		withTestbed(t, func(b *testbed) {
			b.addInstance("m1")
			b.startEpoch(1, "p")
			time.Sleep(500 * time.Millisecond)
			if registered {
				b.onLoop(b.s.End)
				b.fleet.SetPartitioned("leader", "a", true)
				b.startEpoch(2, "p")
			} else {
				b.fleet.SetStorePartitioned("a", true)
				time.Sleep(6 * time.Second)
			}
			wave := provider.Wave{Number: 1, Instances: []string{"m1"}, DeadlineSeconds: 30, MaxConcurrent: 1}
			b.checker.AddWave(wave)
			b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
			time.Sleep(15 * time.Second)
			done, wanted := b.checker.WaveProgress(1)
			assert.Equal(t, done, wanted, "registered: %v", registered)
		})
	}
}

// Guards against maintenance of an instance whose worker runs tasks, because an earlier worker of the instance, which has
// no lease any more, passes for its latest one.
func TestWaveWaitsForTheInstancesPresentWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.fleet.Crash("m1", 8*time.Second)
		time.Sleep(8200 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 10*time.Second), 10*time.Second)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, b.starts(), 1)
		wave := provider.Wave{Number: 1, Instances: []string{"m1"}, DeadlineSeconds: 4, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		b.fleet.RegisterLate("m1")
		time.Sleep(20 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Equal(t, b.starts(), 1)
		done, wanted := b.checker.WaveProgress(1)
		assert.Equal(t, done, wanted)
	})
}

// Guards against a spare instance that is never moved: another instance with its ID was rejected as unsuitable for the
// pool before.
func TestReplacedInstanceIsSuitable(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.fleet.Add("m1", "spare", "a", "ra-0", work.Size{MilliCores: 8000, MemoryMB: 32768})
		b.startEpoch(1, "p")
		var move func(context.Context, string, string, provider.Fence) (provider.Refusal, error)
		b.onLoop(func() {
			move = b.s.Provider.Move
			b.s.Provider.Move = func(context.Context, string, string, provider.Fence) (provider.Refusal, error) {
				return provider.Unsuitable, nil
			}
		})
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(time.Second)
		b.onLoop(func() { b.s.Provider.Move = move })
		b.fleet.Remove("m1")
		b.fleet.Add("m1", "spare", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		time.Sleep(6 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// issueTickets gives queue p a policy that allows every worker; each request's tickets have the request's number.
func (b *testbed) issueTickets() {
	requests := 0
	b.s.Config.QueueByName("p").Policy = &queue.PolicyTiming{TicketValidity: time.Minute}
	b.s.Policy = &worker.PolicyClient{RequestTickets: func(_ context.Context, _ string, workers []string, _ time.Duration) ([]worker.Ticket, error) {
		requests++
		var tickets []worker.Ticket
		for _, id := range workers {
			tickets = append(tickets, worker.Ticket{Worker: id, Ticket: strconv.Itoa(requests)})
		}
		return tickets, nil
	}}
}

// Guards against a task that waits for the end of a ticket's validity beside a worker that may run it: the only ticket is
// for a worker that runs as many tasks of the step as it may.
func TestTicketRequestedForEligibleWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		b.onLoop(b.issueTickets)
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 2, 20*time.Second)
		job.Steps[0].MaxPerWorker = 1
		b.submit(job, 20*time.Second)
		time.Sleep(time.Second)
		b.addInstance("m2")
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.starts(), 2)
	})
}

// Guards against a task that is ordered to start again and again with a ticket that the worker rejects.
func TestRejectedTicketIsReplaced(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		b.onLoop(b.issueTickets)
		inner := b.fleet.WorkerClient("leader").Start
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			if o.Ticket == "1" {
				return worker.Reply{Refusal: worker.NoTicket}, nil
			}
			return inner(ctx, to, o)
		})
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a job that waits for up to 20 s beside free workers: all workers of the pool are avoided, because the
// tasks of other jobs failed on them.
func TestAvoidedWorkersRunTasksWithoutAlternative(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		b.onLoop(func() { b.s.Config.QueueByName("p").MaxAttempts = 1 })
		time.Sleep(500 * time.Millisecond)
		b.fleet.SetBehaviour("m1", emulator.Behaviour{Fails: true})
		for _, id := range []string{"00000000000000a2", "00000000000000a3", "00000000000000a4", "00000000000000a5"} {
			b.submit(singleStepJob(id, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
			time.Sleep(1400 * time.Millisecond)
		}
		b.fleet.SetBehaviour("m1", emulator.Behaviour{})
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a task that is ordered to start again and again on a worker that already has a later run of it: an idle
// worker lists its runs only every 20 s.
func TestSupersededStartShowsTheLaterRun(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		inner := b.fleet.WorkerClient("leader").Start
		first := true
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			if first {
				first = false
				o.Run += 100000
				_, err := inner(ctx, to, o)
				return worker.Reply{Refusal: worker.Superseded}, err
			}
			return inner(ctx, to, o)
		})
		b.submit(singleStepJob(firstJob, "p", 1, time.Second), time.Second)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		assert.Assert(t, b.starts() <= 3, "%d start orders", b.starts())
	})
}

// Guards against a wave that is reported as completed without one of its instances, which a single instance list lacks.
func TestWaveWaitsForInstanceThatOneListLacks(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "p", 1, 5*time.Second), 5*time.Second)
		wave := provider.Wave{Number: 1, Instances: []string{"m1"}, DeadlineSeconds: 30, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		list := b.s.Provider.List
		lacks := true
		b.onLoop(func() {
			b.s.Provider.List = func(ctx context.Context, token string) (provider.Page, error) {
				page, err := list(ctx, token)
				if lacks {
					lacks = false
					page.Instances = nil
				}
				return page, err
			}
			b.s.SetWaves([]provider.Wave{wave})
		})
		time.Sleep(15 * time.Second)
		done, wanted := b.checker.WaveProgress(1)
		assert.Equal(t, done, wanted)
	})
}

// Guards against a leader that ends with a panic because it knows a wave but no configuration, whose row it can't read.
func TestWaveWithoutConfiguration(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.fleet.Add("m1", "spare", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		b.startEpoch(1, "p")
		wave := provider.Wave{Number: 1, Instances: []string{"m1"}, DeadlineSeconds: 30, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		var config *queue.Config
		b.onLoop(func() {
			config, b.s.Config = b.s.Config, nil
			b.s.SetWaves([]provider.Wave{wave})
		})
		time.Sleep(time.Second)
		b.onLoop(func() { b.s.SetConfig(config) })
		time.Sleep(3 * time.Second)
		done, wanted := b.checker.WaveProgress(1)
		assert.Equal(t, done, wanted)
	})
}

// Guards against a roster that fills with ended workers, for each of which the next leader waits. Some of their rows were
// written again after their removal was scheduled, by a late registration.
func TestRosterRowsOfEndedWorkersRemoved(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 400 {
			b.addInstance("m" + strconv.Itoa(i))
		}
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				r := w.Registration
				b.s.removeWorker(w, "instance is moving")
				b.s.register(r)
			}
		})
		time.Sleep(time.Second)
		for i := range 400 {
			b.fleet.Crash("m"+strconv.Itoa(i), time.Minute)
		}
		time.Sleep(8 * time.Second)
		contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
		assert.NilError(t, err)
		assert.Equal(t, len(contents.Roster), 0)
	})
}

// Guards against roster rows that stay in a partition after the writer has left it, because a write there had an unknown
// outcome: the next leader waits for their workers.
func TestRosterRowsRemovedFromPartitionInDoubt(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 20 {
			b.addInstance("m" + strconv.Itoa(i))
		}
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		inner := b.store.Client("leader").Commit
		var failed atomic.Bool
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			if failed.Swap(true) {
				return inner(ctx, txn)
			}
			<-ctx.Done()
			return table.Result{}, fault.New(fault.PlatformUnavailable, "no response").WithOutcome(fault.Unknown)
		})
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, b.state(), work.Completed)
		for i := range 20 {
			b.fleet.Crash("m"+strconv.Itoa(i), time.Minute)
		}
		time.Sleep(6 * time.Second)
		contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
		assert.NilError(t, err)
		assert.Equal(t, len(contents.Roster), 0)
	})
}

// Guards against healthy workers that get no tasks because their gang waited for a member whose start was rejected: their
// runs made no progress, which counted as a fault of the workers.
func TestGangIsStoppedWithoutAMember(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		inner := b.fleet.WorkerClient("leader").Start
		rejected := false
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			if o.Task.Index == 1 && !rejected {
				rejected = true
				return worker.Reply{Refusal: worker.NoCapacity}, nil
			}
			return inner(ctx, to, o)
		})
		job := singleStepJob(firstJob, "p", 2, time.Second)
		job.Steps[0].Gang, job.Steps[0].Size.MilliCores = true, 16000
		b.submit(job, time.Second)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a long-running task that stays on a draining worker until that ends: the leader changed between the
// worker's registration as draining and the stop of its tasks.
func TestDrainContinuesAfterLeaderChange(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 1, time.Minute)
		job.Steps[0].LongRunning = true
		b.submit(job, time.Minute)
		time.Sleep(1500 * time.Millisecond)
		host := func() string {
			name := ""
			b.onLoop(func() {
				for _, w := range b.s.workers {
					if len(w.runs) > 0 {
						name = w.Instance
					}
				}
			})
			return name
		}
		draining := host()
		b.onLoop(b.s.End)
		b.fleet.Drain(draining, 20*time.Second)
		b.startEpoch(2, "p")
		time.Sleep(5 * time.Second)
		assert.Assert(t, host() != draining)
	})
}

// Guards against jobs that wait beside idle instances of another pool, which keeps them for a task that fits on none.
func TestImpossibleTaskKeepsNoInstances(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for _, id := range []string{"m1", "m2", "m3"} {
			b.addInstance(id)
		}
		b.startEpoch(1, "p", "q")
		time.Sleep(500 * time.Millisecond)
		impossible := singleStepJob("00000000000000a2", "p", 1, time.Minute)
		impossible.Steps[0].LongRunning, impossible.Steps[0].Size.MilliCores = true, 64000
		b.submit(impossible, time.Minute)
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "q", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a pool and a wave that make no progress because the service rejects each order to the instance that is
// selected first, which the list shows as up.
func TestRejectingInstanceHoldsNoOthers(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for _, id := range []string{"m1", "m2"} {
			b.fleet.Add(id, "spare", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
		b.addInstance("m3")
		b.addInstance("m4")
		b.startEpoch(1, "p", "q")
		b.onLoop(func() {
			move, maintain := b.s.Provider.Move, b.s.Provider.Maintain
			b.s.Provider.Move = func(ctx context.Context, id, pool string, fence provider.Fence) (provider.Refusal, error) {
				if id != "m2" {
					return provider.Busy, nil
				}
				return move(ctx, id, pool, fence)
			}
			b.s.Provider.Maintain = func(ctx context.Context, id string, wave int64, fence provider.Fence) (provider.Refusal, error) {
				if id == "m3" {
					return provider.Busy, nil
				}
				return maintain(ctx, id, wave, fence)
			}
		})
		time.Sleep(500 * time.Millisecond)
		b.submit(singleStepJob(firstJob, "q", 1, 100*time.Millisecond), 100*time.Millisecond)
		wave := provider.Wave{Number: 1, Instances: []string{"m3", "m4"}, DeadlineSeconds: 10, MaxConcurrent: 1}
		b.checker.AddWave(wave)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(6 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		done, _ := b.checker.WaveProgress(1)
		assert.Equal(t, done, 1)
	})
}

// Guards against holding a task for a whole worker lease because its start got no response: the worker became
// unreachable while it was idle, so that the scheduler didn't know.
func TestStartAtUnreachableIdleWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstanceIn("m2", "b")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.fleet.SetUnreachable(true, "m1")
		job := singleStepJob(firstJob, "p", 1, time.Minute)
		job.Steps[0].LongRunning = true
		b.submit(job, time.Minute)
		assert.Assert(t, b.timeUntilLongRunning(time.Minute) <= 3*time.Second)
		assert.Equal(t, b.starts(), 1)
	})
}

// Guards against a second run of a task. A start order is carried out ten seconds after it was sent; by then its worker
// has been unresponsive for longer than its lease, the task runs elsewhere, and the worker has a new lease.
func TestLateStartAfterExpiredLease(t *testing.T) {
	tests := []struct {
		name string
		// unregistered makes the worker's registration expire meanwhile.
		unregistered bool
	}{{"registered", false}, {"unregistered", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				cut := func(cut bool) {
					b.fleet.SetPartitioned("leader", "a", cut)
					if test.unregistered {
						b.fleet.SetStorePartitioned("a", cut)
					}
				}
				inner := b.fleet.WorkerClient("leader").Start
				first := true
				b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
					if !first {
						return inner(ctx, to, o)
					}
					first = false
					cut(true)
					time.AfterFunc(10*time.Second, func() {
						late, cancel := context.WithTimeout(context.Background(), time.Second)
						defer cancel()
						_, _ = inner(late, to, o)
					})
					<-ctx.Done()
					return worker.Reply{}, fault.New(fault.EndpointFailed, "no response").WithOutcome(fault.Unknown)
				})
				b.submit(longRunningJob(1, 1), 0)
				time.Sleep(300 * time.Millisecond)
				b.addInstanceIn("m2", "b")
				time.Sleep(workerLease + 1500*time.Millisecond)
				cut(false)
				// More tasks than the other worker has room for, so that this one gets a lease.
				b.submit(singleStepJob("00000000000000a2", "p", 24, 5*time.Second), 5*time.Second)
				time.Sleep(15 * time.Second)
				running, total := b.checker.LongRunningCounts()
				assert.Equal(t, running, total)
				state := work.State("")
				b.onLoop(func() { state, _ = b.s.State("00000000000000a2") })
				assert.Equal(t, state, work.Completed)
			})
		})
	}
}
