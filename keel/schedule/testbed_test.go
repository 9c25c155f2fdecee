package schedule

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// testbed runs a scheduler on the emulated platform. Tests can delay its calls or make them fail.
type testbed struct {
	t       *testing.T
	loop    *control.Loop
	store   *emulator.Store
	checker *emulator.Checker
	fleet   *emulator.Fleet
	began   time.Time
	s       *Scheduler
	// rowBytes is the scheduler's limit on a row's value, 0 for the default.
	rowBytes int
	// jobRetention is the scheduler's, which is longer than most tests.
	jobRetention time.Duration
	// forecastPeaks is the scheduler's ForecastPeaks.
	forecastPeaks bool
	// log is the scheduler's log, discarded if it is nil.
	log *event.Log
	// commit, start, stop and renew replace the store's and the workers' calls if they are set. They are guarded by mu.
	commit func(ctx context.Context, txn table.Txn) (table.Result, error)
	start  func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error)
	stop   func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error)
	renew  func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error)
	mu     sync.Mutex
	// maintained and moved record the orders to instances.
	maintained, moved []string
}

// withTestbed runs the test on a fake clock with a control loop, a store and a fleet. Afterwards it stops them and
// fails the test for each invariant that the emulator found broken. Meanwhile it checks the backlogs.
func withTestbed(t *testing.T, test func(b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
		checker := emulator.NewChecker()
		checker.CancelTime, checker.DisruptionTime = 3*time.Second, 4500*time.Millisecond
		fleet := emulator.NewFleet(store, checker, rand.New(rand.NewPCG(1, 2)), emulator.Times{
			LeaseMax: 10 * time.Second, StopTime: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond,
			MaintenanceTime: 2 * time.Second, Heartbeat: 1500 * time.Millisecond, Startup: 900 * time.Millisecond,
			GangTimeout: 3 * time.Second, RemoteFactor: 1.5, CheckpointEvery: 2 * time.Second, Restore: 100 * time.Millisecond,
			CrashTime: 3 * time.Second, Contact: 3 * time.Second,
		})
		fleet.SparePool = "spare"
		checker.QueuePools = map[string]string{"p": "p", "q": "q"}
		checker.SetAttempts("p", 3)
		checker.SetAttempts("q", 3)
		go checker.Watch()
		b := &testbed{t: t, loop: control.New(3000), store: store, checker: checker, fleet: fleet, began: time.Now(), jobRetention: time.Hour}
		ctx, cancel := context.WithCancel(context.Background())
		started := make(chan struct{})
		done := make(chan error, 1)
		go func() { done <- b.loop.Run(ctx, func() { close(started) }) }()
		<-started
		go b.watchBacklogs(ctx)
		defer func() {
			b.onLoop(func() {
				if b.s != nil {
					b.s.End()
				}
			})
			cancel()
			fleet.Stop()
			err := <-done
			time.Sleep(time.Minute)
			if err != nil {
				t.Errorf("loop: %v", err)
			}
			for _, violation := range checker.Violations() {
				t.Errorf("invariant broken: %s", violation)
			}
		}()
		test(b)
	})
}

// onLoop runs f on the control loop and waits for it.
func (b *testbed) onLoop(f func()) {
	done := make(chan struct{})
	b.loop.Post(context.Background(), func() {
		f()
		close(done)
	})
	<-done
}

// newConfig returns a configuration with a spare pool and with one queue for each named pool.
func newConfig(version uint64, pools ...string) *queue.Config {
	var queues []*queue.Queue
	all := []queue.Pool{{Name: "spare", Spare: true}}
	for _, name := range pools {
		queues = append(queues, &queue.Queue{Name: name, Pool: name, MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond})
		all = append(all, queue.Pool{Name: name})
	}
	return queue.NewConfig(version, queues, all, queue.Limits{})
}

// startEpoch starts a scheduler for the epoch, with a spare pool and with one queue for each named pool.
func (b *testbed) startEpoch(epoch int64, pools ...string) {
	b.startEpochWith(epoch, newConfig(1, pools...))
}

// startEpochWith starts a scheduler for the epoch with the configuration, which may be nil.
func (b *testbed) startEpochWith(epoch int64, config *queue.Config) {
	store := b.store.Client("leader")
	inner := store.Commit
	store.Commit = func(ctx context.Context, txn table.Txn) (table.Result, error) {
		replaced := replacedCall(b, &b.commit)
		if replaced != nil {
			return replaced(ctx, txn)
		}
		return inner(ctx, txn)
	}
	workers := b.fleet.WorkerClient("leader")
	innerStart := workers.Start
	workers.Start = func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		replaced := replacedCall(b, &b.start)
		if replaced != nil {
			return replaced(ctx, to, o)
		}
		return innerStart(ctx, to, o)
	}
	innerStop := workers.Stop
	workers.Stop = func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
		replaced := replacedCall(b, &b.stop)
		if replaced != nil {
			return replaced(ctx, to, o)
		}
		return innerStop(ctx, to, o)
	}
	innerRenew := workers.Renew
	workers.Renew = func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
		replaced := replacedCall(b, &b.renew)
		if replaced != nil {
			return replaced(ctx, to, o)
		}
		return innerRenew(ctx, to, o)
	}
	log := b.log
	if log == nil {
		log = event.New(io.Discard, true)
	}
	s := &Scheduler{
		Loop: b.loop, Log: log, Store: store, Workers: workers, Provider: b.recordingProvider(),
		Bounds: deployment.Bounds{
			LeaseMax: 10 * time.Second, StopTime: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond,
			MaintenanceTime: b.fleet.Times.MaintenanceTime, DisruptionTime: 4500 * time.Millisecond, Restore: 100 * time.Millisecond,
			JobRetention: b.jobRetention,
		},
		Limits: deployment.InstanceService{OrdersPerSecond: 64}, RowBytes: b.rowBytes, Holder: "leader", Epoch: epoch,
		Config: config, ForecastPeaks: b.forecastPeaks, InstanceOrdersFrom: make(map[string]time.Duration),
		Now:  func() time.Duration { return time.Since(b.began) + time.Hour },
		Wall: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, LeaseValid: func() bool { return true },
		Rows: RowCodec{
			Registration: emulator.DecodeRegistration, RegistrationTable: emulator.RegistrationTable,
			WaveStatus: func(int64, bool) table.Write { return table.Write{Key: table.Key{Table: "status", Name: "wave"}} },
		},
	}
	b.onLoop(func() {
		b.s = s
		s.Begin()
	})
}

// readCases returns the cases of a file.
func readCases[T any](t *testing.T, path string) []T {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var cases []T
	assert.NilError(t, json.Unmarshal(data, &cases))
	return cases
}

// replacedCall returns the function that replaces a call, or nil if none does.
func replacedCall[F any](b *testbed, call *F) F {
	b.mu.Lock()
	defer b.mu.Unlock()
	return *call
}

// setCommit replaces the store's commits; with nil they are made again.
func (b *testbed) setCommit(call func(context.Context, table.Txn) (table.Result, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.commit = call
}

// setStart replaces the workers' start orders; with nil they are made again.
func (b *testbed) setStart(call func(context.Context, worker.Target, worker.StartOrder) (worker.Reply, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start = call
}

// setStop replaces the workers' stop orders; with nil they are made again.
func (b *testbed) setStop(call func(context.Context, worker.Target, worker.StopOrder) (worker.Reply, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop = call
}

// setRenew replaces the workers' renewals; with nil they are made again.
func (b *testbed) setRenew(call func(context.Context, worker.Target, worker.RenewOrder) (worker.Status, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renew = call
}

// recordingProvider returns a client of the instance service that records the orders.
func (b *testbed) recordingProvider() *provider.Client {
	inner := b.fleet.InstanceClient()
	return &provider.Client{
		List: inner.List,
		Move: func(ctx context.Context, id, pool string, fence provider.Fence) (provider.Refusal, error) {
			b.mu.Lock()
			b.moved = append(b.moved, id)
			b.mu.Unlock()
			return inner.Move(ctx, id, pool, fence)
		},
		Maintain: func(ctx context.Context, id string, wave int64, fence provider.Fence) (provider.Refusal, error) {
			b.mu.Lock()
			b.maintained = append(b.maintained, id)
			b.mu.Unlock()
			return inner.Maintain(ctx, id, wave, fence)
		},
	}
}

// maintenanceOrders returns the instances that were ordered into maintenance.
func (b *testbed) maintenanceOrders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.maintained)
}

// orders returns the instances that were ordered into maintenance or into another pool.
func (b *testbed) orders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append(append([]string{}, b.maintained...), b.moved...)
}

// starts returns the number of start orders that workers have received.
func (b *testbed) starts() int { return b.fleet.StartOrders() }

// addInstance adds an instance of 16 cores to pool p in data centre a.
func (b *testbed) addInstance(id string) { b.addInstanceIn(id, "a") }

// addInstanceIn adds an instance of 16 cores to pool p.
func (b *testbed) addInstanceIn(id, dataCentre string) {
	b.fleet.Add(id, "p", dataCentre, "r"+dataCentre+"-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
}

// hosts returns the registrations of the workers with runs.
func (b *testbed) hosts() []worker.Registration {
	var hosts []worker.Registration
	b.onLoop(func() {
		for _, w := range b.s.workers {
			if len(w.runs) > 0 {
				hosts = append(hosts, w.Registration)
			}
		}
	})
	return hosts
}

// timeUntilLongRunning waits until all long-running tasks have a run, at most for the timeout, and returns the time that
// took.
func (b *testbed) timeUntilLongRunning(timeout time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < timeout {
		running, total := b.checker.LongRunningCounts()
		if running == total {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	elapsed := time.Since(began)
	b.t.Logf("all long-running tasks have a run after %s", elapsed)
	return elapsed
}

// submit stores a job and announces it to the scheduler.
func (b *testbed) submit(job *work.Job, taskDuration time.Duration) {
	b.submitWith(job, taskDuration, false)
}

// submitWith stores a job, whose tasks all fail if poisoned is set, and announces it to the scheduler.
func (b *testbed) submitWith(job *work.Job, taskDuration time.Duration, poisoned bool) {
	var durations [][]time.Duration
	for _, step := range job.Steps {
		var times []time.Duration
		for range step.Count {
			times = append(times, taskDuration)
		}
		durations = append(durations, times)
	}
	if job.Accepted == 0 {
		job.Accepted = time.Now().UnixMilli()
	}
	b.checker.Submitted(job, durations, poisoned)
	submissions := &ledger.SubmissionWriter{Store: b.store.Client("entry")}
	stored, err := submissions.Submit(context.Background(), job)
	assert.NilError(b.t, err)
	b.checker.Accepted(job.ID)
	b.onLoop(func() { b.s.AddJob(stored.Job, stored.Version) })
}

// firstJob is the ID of the job that most tests submit.
const firstJob = "00000000000000a1"

// state returns the first job's state as callers see it.
func (b *testbed) state() work.State {
	var state work.State
	b.onLoop(func() { state, _ = b.s.State(firstJob) })
	return state
}

// singleStepJob returns a job of one step with count tasks of one core.
func singleStepJob(id, pool string, count int, estimate time.Duration) *work.Job {
	return &work.Job{ID: id, Queue: pool, Steps: []work.Step{{
		Count: count, Size: work.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: estimate,
	}}}
}
