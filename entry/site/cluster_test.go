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

	"samphirekeel.example/entry/connection"
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
	cancelTime     = 3 * time.Second
	disruptionTime = 4500 * time.Millisecond
	leaseMax       = 10 * time.Second
)

// testCluster is an emulated platform with some entries, in memory and on the fake clock of the test's synctest bubble.
type testCluster struct {
	t       *testing.T
	began   time.Time
	random  *rand.Rand
	network *emulator.Network
	store   *emulator.Store
	checker *emulator.Checker
	fleet   *emulator.Fleet
	log     *lineLog
	mu      sync.Mutex
	entries map[string]*process
	queues  []queue.Queue
	// removed holds the names of the queues that the configuration lacks.
	removed map[string]bool
	pools   []queue.Pool
	// tenants are the tenants of the configuration, nil for a configuration without.
	tenants []platformtest.Tenant
	version int
	group   sync.WaitGroup
	// relayMinWorkers is the entries' RelayMinWorkers.
	relayMinWorkers int
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
	checker := emulator.NewChecker()
	checker.CancelTime, checker.DisruptionTime = cancelTime, disruptionTime
	checker.QueuePools = make(map[string]string)
	fleet := emulator.NewFleet(store, checker, rand.New(rand.NewPCG(seed, 2)), emulator.Times{
		LeaseMax: leaseMax, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second, Restore: 100 * time.Millisecond,
		CheckpointEvery: 2 * time.Second, MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second,
		Heartbeat: 1500 * time.Millisecond, Startup: 900 * time.Millisecond, RemoteFactor: 1.5,
		CrashTime: 3 * time.Second, Contact: 3 * time.Second,
	})
	return &testCluster{
		t: t, began: time.Now(), random: random, network: emulator.NewNetwork(), store: store, checker: checker, fleet: fleet,
		log: &lineLog{}, entries: make(map[string]*process), removed: make(map[string]bool),
	}
}

// addPool adds a pool to the configuration; putConfig stores it.
func (c *testCluster) addPool(name string, spare bool) {
	if spare {
		c.fleet.SparePool = name
	}
	c.pools = append(c.pools, queue.Pool{Name: name, Spare: spare})
}

// addQueue adds a queue to the configuration; putConfig stores it.
func (c *testCluster) addQueue(name, pool string, attempts int) {
	c.checker.QueuePools[name] = pool
	c.checker.SetAttempts(name, attempts)
	c.queues = append(c.queues, queue.Queue{
		Name: name, Host: name + ".example", Prefix: "/" + name + "/", Pool: pool, Timeout: 3 * time.Second,
		LatencyTarget: 600 * time.Millisecond, Stretch: 1.6, MaxAttempts: attempts, Policy: c.policyTiming(),
	})
}

// policyTiming returns the timing of the queues' placement policy, nil without one.
func (c *testCluster) policyTiming() *queue.PolicyTiming {
	if c.fleet.Policy == nil {
		return nil
	}
	return &c.fleet.Policy.Timing
}

// policyClient returns the entry's client of the policy service, nil without one; its calls fail once the entry is killed.
func (c *testCluster) policyClient(p *process) *worker.PolicyClient {
	if c.fleet.Policy == nil {
		return nil
	}
	inner := c.fleet.Policy.Client(p.name)
	return &worker.PolicyClient{RequestTickets: func(ctx context.Context, step string, workers []string, timeout time.Duration) ([]worker.Ticket, error) {
		if p.killed.Load() {
			return nil, errKilled
		}
		return inner.RequestTickets(ctx, step, workers, timeout)
	}}
}

func (c *testCluster) putConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	queues := slices.DeleteFunc(slices.Clone(c.queues), func(q queue.Queue) bool { return c.removed[q.Name] })
	row, err := platformtest.Config(c.version, queues, c.pools, c.tenants)
	assert.NilError(c.t, err)
	c.store.Put(row)
}

// setRemoved removes a queue from the configuration, or adds it again.
func (c *testCluster) setRemoved(name string, removed bool) {
	c.mu.Lock()
	c.removed[name] = removed
	c.mu.Unlock()
	c.putConfig()
}

// putWave requests a maintenance wave.
func (c *testCluster) putWave(number int64, instances []string, seconds float64, maxConcurrent int) {
	wave := provider.Wave{Number: number, Instances: instances, DeadlineSeconds: seconds, MaxConcurrent: maxConcurrent}
	c.checker.AddWave(wave)
	row, err := platformtest.Wave(wave)
	assert.NilError(c.t, err)
	c.store.Put(row)
}

// addEntry starts an entry.
func (c *testCluster) addEntry(name, dataCentre string, first bool) {
	host := "host-" + name
	p := &process{name: name, dataCentre: dataCentre, host: host, done: make(chan error, 1)}
	codec := PlatformCodec()
	codec.Registration, codec.RegistrationTable = emulator.DecodeRegistration, emulator.RegistrationTable
	p.site = &Entry{
		Settings: deployment.Settings{
			Name: name, IP: host, DataCentre: dataCentre, Callers: host + ":80", Readiness: host + ":81", PeerPorts: [2]int{82, 82},
			FirstStart: first, Limits: deployment.Limits{CPUShare: 0.4, MemoryMB: 1000},
			Bounds: deployment.Bounds{
				LeaseMax: leaseMax, StopTime: c.fleet.Times.StopTime, GangTimeout: c.fleet.Times.GangTimeout, CancelTime: cancelTime,
				StopGrace: 6 * time.Second, MoveTime: c.fleet.Times.MoveTime, MaintenanceTime: c.fleet.Times.MaintenanceTime,
				DisruptionTime: disruptionTime, MinHolderGap: 3 * time.Second, Restore: c.fleet.Times.Restore, RemoteFactor: c.fleet.Times.RemoteFactor,
			},
			InstanceService: deployment.InstanceService{OrdersPerSecond: 64, ReadsPerSecond: 64},
		},
		Log: event.New(c.log, true), Version: "test", Codec: codec, RelayMinWorkers: c.relayMinWorkers,
		Store: c.storeClient(p), Workers: c.workerClient(p), Provider: c.providerClient(p), Policy: c.policyClient(p),
		Listen: func(address string, _ connection.Queues) (net.Listener, error) {
			return c.network.Listen(dataCentre, address)
		},
		Dial: func(address string, timeout time.Duration) (net.Conn, error) { return c.dialFrom(p, address, timeout) },
		Now:  func() time.Duration { return time.Since(c.began) + time.Hour },
		Wall: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
	p.site.Log.Base = event.Fields{"entry": name}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	c.mu.Lock()
	c.entries[name] = p
	c.mu.Unlock()
	go func() { p.done <- p.site.Run(ctx, nil) }()
}

func (c *testCluster) dialFrom(p *process, address string, timeout time.Duration) (net.Conn, error) {
	if p.killed.Load() {
		return nil, emulator.ErrRefused
	}
	conn, err := c.network.Dial(p.dataCentre, address, timeout)
	if err == nil {
		c.network.SetOwner(p.host, conn)
	}
	return conn, err
}

// errKilled is the error of all calls of a killed entry; no caller receives it.
var errKilled = fault.New(fault.PlatformUnavailable, "the entry is killed").WithOutcome(fault.Unknown)

// storeClient returns the entry's client of the store; its calls fail once the entry is killed.
func (c *testCluster) storeClient(p *process) *table.Store {
	inner := c.store.Client(p.name)
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

func (c *testCluster) workerClient(p *process) *worker.Client {
	inner := c.fleet.WorkerClient(p.name)
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

func (c *testCluster) providerClient(p *process) *provider.Client {
	inner := c.fleet.InstanceClient()
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

// kill ends an entry abruptly, as a power failure does, and reports whether it was running.
func (c *testCluster) kill(name string) bool {
	p := c.removeEntry(name)
	if p == nil {
		return false
	}
	p.killed.Store(true)
	c.network.KillHost(p.host)
	p.cancel()
	return true
}

// stop ends an entry gracefully, as SIGTERM does, and reports whether it was running.
func (c *testCluster) stop(name string) bool {
	p := c.removeEntry(name)
	if p == nil {
		return false
	}
	p.cancel()
	return true
}

// removeEntry removes an entry from the map and returns it, or nil if there is none; its goroutines end by themselves.
func (c *testCluster) removeEntry(name string) *process {
	c.mu.Lock()
	p := c.entries[name]
	delete(c.entries, name)
	c.mu.Unlock()
	if p == nil {
		return nil
	}
	c.group.Go(func() {
		err := <-p.done
		if err != nil && !p.killed.Load() {
			c.t.Errorf("entry %s ended with an error: %v", p.name, err)
		}
	})
	return p
}

func (c *testCluster) entry(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[name]
}

// entryNames returns the sorted names of the running entries.
func (c *testCluster) entryNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.entries))
	for name := range c.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// leaderName returns the name of the entry that holds a valid lease, or an empty string.
func (c *testCluster) leaderName() string {
	for _, name := range c.entryNames() {
		p := c.entry(name)
		if p != nil && p.site.lease != nil && p.site.lease.Valid() {
			return name
		}
	}
	return ""
}

// setPartitioned starts or ends a network partition of a data centre from the others and from the store.
func (c *testCluster) setPartitioned(name string, others []string, partitioned bool, outage *emulator.StoreFault) {
	for _, other := range others {
		if other != name {
			c.network.SetPartitioned(name, other, partitioned)
		}
	}
	for _, entry := range c.entryNames() {
		p := c.entry(entry)
		for _, other := range others {
			if (p.dataCentre == name) != (other == name) {
				c.fleet.SetPartitioned(entry, other, partitioned)
			}
		}
		if p.dataCentre == name && partitioned {
			outage.Callers = append(outage.Callers, entry)
		}
	}
	c.fleet.SetStorePartitioned(name, partitioned)
	if partitioned {
		c.store.Inject(outage)
	} else {
		c.store.Clear(outage)
	}
}

// shutdown stops all goroutines, so that the synctest bubble can end.
func (c *testCluster) shutdown() {
	for _, name := range c.entryNames() {
		c.kill(name)
	}
	c.fleet.Stop()
	c.group.Wait()
	time.Sleep(time.Minute)
}

// jobID returns the n-th job's ID.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }
