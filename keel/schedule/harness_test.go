package schedule

import (
	"context"
	"io"
	"math/rand/v2"
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

// bench is a scheduler on the emulated platform, whose calls a test can hold back or fail.
type bench struct {
	t     *testing.T
	loop  *control.Loop
	store *emulator.Store
	truth *emulator.Truth
	fleet *emulator.Fleet
	began time.Time
	s     *Scheduler
	// commit, start and order replace the calls where they are set.
	commit func(ctx context.Context, txn table.Txn) (table.Result, error)
	start  func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error)
	mu     sync.Mutex
	// maintained and moved list the orders to instances.
	maintained, moved []string
}

// inBench runs the test on a fake clock with a loop, a store and a fleet, and ends everything after it.
func inBench(t *testing.T, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
		truth := emulator.NewTruth()
		truth.CancelTime, truth.Notice = 3*time.Second, 4500*time.Millisecond
		fleet := emulator.NewFleet(store, truth, rand.New(rand.NewPCG(1, 2)), emulator.Times{
			LeaseMax: 10 * time.Second, StopTime: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond,
			MaintenanceTime: 2 * time.Second, Heartbeat: 1500 * time.Millisecond, Startup: 900 * time.Millisecond,
			GangTimeout: 3 * time.Second, RemoteFactor: 1.5, CheckpointEvery: 2 * time.Second, Restore: 100 * time.Millisecond,
		})
		fleet.Spare = "spare"
		b := &bench{t: t, loop: control.New(500), store: store, truth: truth, fleet: fleet, began: time.Now()}
		ctx, cancel := context.WithCancel(context.Background())
		started := make(chan struct{})
		done := make(chan error, 1)
		go func() { done <- b.loop.Run(ctx, func() { close(started) }) }()
		<-started
		defer func() {
			b.on(func() {
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
			for _, broken := range truth.Broken() {
				t.Errorf("broken: %s", broken)
			}
		}()
		test(b)
	})
}

// on runs f on the loop.
func (b *bench) on(f func()) {
	done := make(chan struct{})
	b.loop.Post(context.Background(), func() {
		f()
		close(done)
	})
	<-done
}

// lead begins an epoch with queues that are named after their pools.
func (b *bench) lead(epoch int64, pools ...string) {
	var queues []*queue.Queue
	all := []queue.Pool{{Name: "spare", Spare: true}}
	for _, name := range pools {
		queues = append(queues, &queue.Queue{Name: name, Pool: name, MaxAttempts: 3, Stretch: 1.6, LatencyTarget: 600 * time.Millisecond})
		all = append(all, queue.Pool{Name: name})
	}
	store := b.store.Client("leader")
	inner := store.Commit
	store.Commit = func(ctx context.Context, txn table.Txn) (table.Result, error) {
		if b.commit != nil {
			return b.commit(ctx, txn)
		}
		return inner(ctx, txn)
	}
	workers := b.fleet.Workers("leader")
	innerStart := workers.Start
	workers.Start = func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
		if b.start != nil {
			return b.start(ctx, to, o)
		}
		return innerStart(ctx, to, o)
	}
	b.s = &Scheduler{
		Loop: b.loop, Log: event.New(io.Discard, true), Store: store, Workers: workers, Estate: b.watchedEstate(),
		Bounds: deployment.Bounds{
			LeaseMax: 10 * time.Second, StopTime: 200 * time.Millisecond, MoveTime: 1500 * time.Millisecond,
			MaintenanceTime: b.fleet.Times.MaintenanceTime, Notice: 4500 * time.Millisecond, Restore: 100 * time.Millisecond,
		},
		Limits: deployment.Estate{OrdersPerSecond: 64}, Holder: "leader", Epoch: epoch,
		Config: queue.New(1, queues, all, queue.Limits{}), InstanceOrdersFrom: make(map[string]time.Duration),
		Now:  func() time.Duration { return time.Since(b.began) + time.Hour },
		Wall: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, LeaseValid: func() bool { return true },
		Rows: RowCodec{
			Registration: emulator.DecodeRegistration, RegistrationTable: emulator.RegistrationTable,
			WaveStatus: func(int64, bool) table.Write { return table.Write{Key: table.Key{Table: "status", Name: "wave"}} },
		},
	}
	b.on(b.s.Begin)
}

// watchedEstate notes the orders to instances.
func (b *bench) watchedEstate() *provider.Client {
	inner := b.fleet.Estate()
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

// maintenance returns the instances that were told to go down.
func (b *bench) maintenance() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.maintained)
}

// orders returns the instances that were told to go down or to move.
func (b *bench) orders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append(append([]string{}, b.maintained...), b.moved...)
}

// add adds an instance of 16 cores to pool p.
func (b *bench) add(id string) {
	b.fleet.Add(id, "p", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
}

// submit stores a job and tells the scheduler of it.
func (b *bench) submit(job *work.Job, takes time.Duration) {
	var took [][]time.Duration
	for _, step := range job.Steps {
		var times []time.Duration
		for range step.Count {
			times = append(times, takes)
		}
		took = append(took, times)
	}
	job.Accepted = time.Now().UnixMilli()
	b.truth.Sent(job, took, false)
	inbox := &ledger.SubmissionWriter{Table: b.store.Client("entry")}
	version, err := inbox.Submit(context.Background(), job)
	assert.NilError(b.t, err)
	b.truth.Accepted(job.ID)
	b.on(func() { b.s.AddJob(job, version) })
}

// firstJob is the ID of the job that most tests submit.
const firstJob = "00000000000000a1"

// state returns what callers would be shown of the first job.
func (b *bench) state() work.State {
	var state work.State
	b.on(func() { state, _ = b.s.State(firstJob) })
	return state
}

// simple returns a job of one step.
func simple(id, pool string, count int, estimate time.Duration) *work.Job {
	return &work.Job{ID: id, Queue: pool, Steps: []work.Step{{
		Count: count, Size: work.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: estimate,
	}}}
}
