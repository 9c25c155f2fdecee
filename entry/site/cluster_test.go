package site

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/worker"
	"samphirekeel.example/platform/platformtest"
)

// The times of the emulated deployment, which are the documented ones.
const (
	cancelTime = 3 * time.Second
	noticeTime = 4500 * time.Millisecond
	leaseMax   = 10 * time.Second
)

// testCluster is an emulated platform with some entries, in memory and on the fake clock of the test's synctest bubble.
type testCluster struct {
	t       *testing.T
	began   time.Time
	random  *rand.Rand
	network *emulator.Network
	store   *emulator.Store
	truth   *emulator.Checker
	fleet   *emulator.Fleet
	log     *lineLog
	mu      sync.Mutex
	entries map[string]*process
	queues  []queue.Queue
	pools   []queue.Pool
	version int
	group   sync.WaitGroup
}

// lineLog collects the log lines of all entries.
type lineLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write appends one line.
func (l *lineLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// text returns the lines so far.
func (l *lineLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// process is one running entry.
type process struct {
	name, dataCentre, host string
	site                   *Entry
	cancel                 context.CancelFunc
	done                   chan error
	killed                 atomic.Bool
}

func newTestCluster(t *testing.T, seed uint64) *testCluster {
	random := rand.New(rand.NewPCG(seed, seed))
	store := emulator.NewStore(rand.New(rand.NewPCG(seed, 1)))
	truth := emulator.NewChecker()
	truth.CancelTime, truth.Notice = cancelTime, noticeTime
	fleet := emulator.NewFleet(store, truth, rand.New(rand.NewPCG(seed, 2)), emulator.Times{
		LeaseMax: leaseMax, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second, Restore: 100 * time.Millisecond,
		CheckpointEvery: 2 * time.Second, MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second,
		Heartbeat: 1500 * time.Millisecond, Startup: 900 * time.Millisecond, RemoteFactor: 1.5,
	})
	return &testCluster{
		t: t, began: time.Now(), random: random, network: emulator.NewNetwork(), store: store, truth: truth, fleet: fleet,
		log: &lineLog{}, entries: make(map[string]*process),
	}
}

// addPool adds a pool to the configuration; putConfig stores it.
func (w *testCluster) addPool(name string, spare bool) {
	if spare {
		w.fleet.SparePool = name
	}
	w.pools = append(w.pools, queue.Pool{Name: name, Spare: spare})
}

// addQueue adds a queue to the configuration; putConfig stores it.
func (w *testCluster) addQueue(name, pool string, attempts int) {
	w.queues = append(w.queues, queue.Queue{
		Name: name, Host: name + ".example", Prefix: "/" + name + "/", Pool: pool, Timeout: 3 * time.Second,
		LatencyTarget: 600 * time.Millisecond, Stretch: 1.6, MaxAttempts: attempts,
	})
}

func (w *testCluster) putConfig() {
	w.version++
	row, err := platformtest.Config(w.version, w.queues, w.pools)
	assert.NilError(w.t, err)
	w.store.Put(row)
}

// putWave requests a maintenance wave.
func (w *testCluster) putWave(number int64, instances []string, seconds float64, atOnce int) {
	wave := provider.Wave{Number: number, Instances: instances, DeadlineSeconds: seconds, MaxConcurrent: atOnce}
	w.truth.AddWave(wave)
	row, err := platformtest.Wave(wave)
	assert.NilError(w.t, err)
	w.store.Put(row)
}

// addEntry starts an entry.
func (w *testCluster) addEntry(name, dataCentre string, first bool) {
	host := "host-" + name
	p := &process{name: name, dataCentre: dataCentre, host: host, done: make(chan error, 1)}
	wire := PlatformCodec()
	wire.Registration, wire.RegistrationTable = emulator.DecodeRegistration, emulator.RegistrationTable
	p.site = &Entry{
		Settings: deployment.Settings{
			Name: name, IP: host, DataCentre: dataCentre, Callers: host + ":80", Readiness: host + ":81", PeerPorts: [2]int{82, 82},
			FirstStart: first, Limits: deployment.Limits{CPUShare: 0.4, MemoryMB: 1000},
			Bounds: deployment.Bounds{
				LeaseMax: leaseMax, StopTime: w.fleet.Times.StopTime, GangTimeout: w.fleet.Times.GangTimeout, CancelTime: cancelTime,
				StopGrace: 6 * time.Second, MoveTime: w.fleet.Times.MoveTime, MaintenanceTime: w.fleet.Times.MaintenanceTime,
				DisruptionTime: noticeTime, HolderLease: 3 * time.Second, Restore: w.fleet.Times.Restore, RemoteFactor: w.fleet.Times.RemoteFactor,
			},
			InstanceService: deployment.InstanceService{OrdersPerSecond: 64, ReadsPerSecond: 64},
		},
		Log: event.New(w.log, true), Version: "test", Codec: wire,
		Store: w.storeClient(p), Workers: w.workerClient(p), Provider: w.providerClient(p),
		Listen: func(address string) (net.Listener, error) { return w.network.Listen(dataCentre, address) },
		Dial:   func(address string, timeout time.Duration) (net.Conn, error) { return w.dialFrom(p, address, timeout) },
		Now:    func() time.Duration { return time.Since(w.began) + time.Hour },
		Wall:   func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
	p.site.Log.Base = event.Fields{"entry": name}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w.mu.Lock()
	w.entries[name] = p
	w.mu.Unlock()
	go func() { p.done <- p.site.Run(ctx, nil) }()
}

func (w *testCluster) dialFrom(p *process, address string, timeout time.Duration) (net.Conn, error) {
	if p.killed.Load() {
		return nil, emulator.ErrRefused
	}
	conn, err := w.network.Dial(p.dataCentre, address, timeout)
	if err == nil {
		w.network.SetOwner(p.host, conn)
	}
	return conn, err
}

// errKilled is the error of all calls of a killed entry; no caller receives it.
var errKilled = fault.New(fault.PlatformUnavailable, "the entry is killed").WithOutcome(fault.Unknown)

// storeClient returns the entry's client of the store; its calls fail once the entry is killed.
func (w *testCluster) storeClient(p *process) *table.Store {
	inner := w.store.Client(p.name)
	return &table.Store{
		Commit: func(ctx context.Context, txn table.Txn) (table.Result, error) {
			if p.killed.Load() {
				return table.Result{}, errKilled
			}
			return inner.Commit(ctx, txn)
		},
		Read: func(ctx context.Context, r table.Range) (table.Page, error) {
			if p.killed.Load() {
				return table.Page{}, errKilled
			}
			return inner.Read(ctx, r)
		},
		Feed: func(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
			if p.killed.Load() {
				return table.Changes{}, errKilled
			}
			return inner.Feed(ctx, name, after, wait)
		},
	}
}

func (w *testCluster) workerClient(p *process) *worker.Client {
	inner := w.fleet.WorkerClient(p.name)
	return &worker.Client{
		Start: failIfKilled(p, inner.Start), Stop: failIfKilled(p, inner.Stop), Throttle: failIfKilled(p, inner.Throttle), Renew: failIfKilled(p, inner.Renew),
		Healthy: inner.Healthy, Forget: inner.Forget,
	}
}

// failIfKilled wraps the sending of an order so that it fails once the entry is killed.
func failIfKilled[O, R any](p *process, send func(context.Context, worker.Target, O) (R, error)) func(context.Context, worker.Target, O) (R, error) {
	return func(ctx context.Context, to worker.Target, order O) (R, error) {
		if p.killed.Load() {
			var none R
			return none, errKilled
		}
		return send(ctx, to, order)
	}
}

func (w *testCluster) providerClient(p *process) *provider.Client {
	inner := w.fleet.InstanceClient()
	return &provider.Client{
		List: func(ctx context.Context, page string) (provider.Page, error) {
			if p.killed.Load() {
				return provider.Page{}, errKilled
			}
			return inner.List(ctx, page)
		},
		Move: func(ctx context.Context, instance, pool string, fence provider.Fence) (provider.Refusal, error) {
			if p.killed.Load() {
				return provider.Accepted, errKilled
			}
			return inner.Move(ctx, instance, pool, fence)
		},
		Maintain: func(ctx context.Context, instance string, wave int64, fence provider.Fence) (provider.Refusal, error) {
			if p.killed.Load() {
				return provider.Accepted, errKilled
			}
			return inner.Maintain(ctx, instance, wave, fence)
		},
	}
}

// kill ends an entry abruptly, as a power failure does.
func (w *testCluster) kill(name string) {
	p := w.entry(name)
	if p == nil {
		return
	}
	p.killed.Store(true)
	w.network.KillHost(p.host)
	p.cancel()
	w.removeEntry(p)
}

// stop ends an entry gracefully, as SIGTERM does.
func (w *testCluster) stop(name string) {
	p := w.entry(name)
	if p == nil {
		return
	}
	w.removeEntry(p)
	p.cancel()
}

// removeEntry removes an entry from the map; its goroutines end by themselves.
func (w *testCluster) removeEntry(p *process) {
	w.mu.Lock()
	delete(w.entries, p.name)
	w.mu.Unlock()
	w.group.Go(func() {
		err := <-p.done
		if err != nil && !p.killed.Load() {
			w.t.Errorf("entry %s ended with an error: %v", p.name, err)
		}
	})
}

func (w *testCluster) entry(name string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[name]
}

// entryNames returns the sorted names of the running entries.
func (w *testCluster) entryNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := make([]string, 0, len(w.entries))
	for name := range w.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// leaderName returns the name of the entry that holds a valid lease, or an empty string.
func (w *testCluster) leaderName() string {
	for _, name := range w.entryNames() {
		p := w.entry(name)
		if p != nil && p.site.lease != nil && p.site.lease.Valid() {
			return name
		}
	}
	return ""
}

// setPartitioned starts or ends a network partition of a data centre from the others and from the store.
func (w *testCluster) setPartitioned(name string, others []string, partitioned bool, outage *emulator.StoreFault) {
	for _, other := range others {
		if other != name {
			w.network.SetPartitioned(name, other, partitioned)
		}
	}
	for _, entry := range w.entryNames() {
		p := w.entry(entry)
		for _, other := range others {
			if (p.dataCentre == name) != (other == name) {
				w.fleet.SetPartitioned(entry, other, partitioned)
			}
		}
		if p.dataCentre == name && partitioned {
			outage.Callers = append(outage.Callers, entry)
		}
	}
	w.fleet.SetStorePartitioned(name, partitioned)
	if partitioned {
		w.store.Inject(outage)
	} else {
		w.store.Clear(outage)
	}
}

// shutdown stops all goroutines, so that the synctest bubble can end.
func (w *testCluster) shutdown() {
	for _, name := range w.entryNames() {
		w.kill(name)
	}
	w.fleet.Stop()
	w.group.Wait()
	time.Sleep(time.Minute)
}

// jobID returns the n-th job's ID.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }
