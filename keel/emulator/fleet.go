package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// Times holds the time limits and durations of the fleet.
type Times struct {
	LeaseMax, StopTime, GangTimeout, Restore, CheckpointEvery, MoveTime, MaintenanceTime, Heartbeat time.Duration
	// Startup is the time from the start of a long-running task until it is ready.
	Startup time.Duration
	// CrashTime is the time for which a worker that a task has crashed is down.
	CrashTime time.Duration
	// Contact is the time after a heartbeat within which a scheduler has to know what the worker reports.
	Contact time.Duration
	// RemoteFactor is the factor by which a task takes longer outside the rack of its data.
	RemoteFactor float64
}

// RegistrationTable is the name of the table of registrations.
const RegistrationTable = "registrations"

// instance is an emulated instance; its fields are guarded by the fleet's mutex.
type instance struct {
	id, dataCentre, rack string
	capacity             work.Size
	pool                 string
	state                provider.State
	worker               *Worker
	// previous is the last worker that ended on the instance, nil if there was none.
	previous *Worker
	// vanished is set once the instance is gone for good; the list may still have it.
	vanished bool
	// highestToken is the highest fencing token of the orders to the instance.
	highestToken int64
}

// Fleet is the emulated instances with their workers.
type Fleet struct {
	Times Times
	// MaxListedEnds is the number of ends that a worker lists at a time.
	MaxListedEnds int
	// SparePool is the name of the pool whose instances run no worker.
	SparePool string
	// SameID makes workers say when they booted, and start again under the ID that they had after a crash.
	SameID bool
	// OrderRate is the maximum number of orders to instances per second; 0 means no limit.
	OrderRate int
	// Checker records the jobs and checks the product's guarantees.
	Checker *Checker
	// Policy issues the tickets without which workers start nothing; nil if they need none.
	Policy *PolicyService

	mu        sync.Mutex
	random    *rand.Rand
	store     *Store
	instances map[string]*instance
	// workers holds all workers by address, ended ones included.
	workers map[string]*Worker
	// lastWorker is the number of the worker that was started last.
	lastWorker int
	// partitioned reports, by caller and data centre, whether the caller can't reach the workers of the data centre.
	partitioned map[string]map[string]bool
	// lateShare is the share of the orders to workers that are carried out late and get no response.
	lateShare float64
	// slowdowns holds, by image and image beside it, the factor by which runs are slowed down.
	slowdowns map[[2]string]float64
	// recentOrders holds the times of the orders to instances in the last second.
	recentOrders []time.Time
	stopped      bool
	// serviceUnavailable makes calls to the instance service get no response.
	serviceUnavailable bool
	// staleList is the list that the instance service returns in place of the current one, nil if it isn't stale.
	staleList *provider.Page
	// downByTasks counts, by pool, the workers that are down because of tasks that crash their workers; peakDownByTasks is the
	// largest count so far.
	downByTasks     map[string]int
	peakDownByTasks int
	// Renewals counts lease renewals at workers, Starts start orders to workers, and InstanceOrders all orders to
	// instances.
	Renewals, Starts, InstanceOrders int
}

// defaultListedEnds is the initial value of Fleet.MaxListedEnds.
const defaultListedEnds = 500

// NewFleet returns a fleet without instances, whose faults and clocks are drawn from random.
func NewFleet(store *Store, checker *Checker, random *rand.Rand, times Times) *Fleet {
	f := &Fleet{
		Times: times, MaxListedEnds: defaultListedEnds, Checker: checker, random: random, store: store, instances: make(map[string]*instance),
		workers: make(map[string]*Worker), partitioned: make(map[string]map[string]bool), downByTasks: make(map[string]int),
	}
	checker.fleet = f
	return f
}

// Add adds an instance and starts its worker, which registers at once; instances of the spare pool have no worker.
func (f *Fleet) Add(id, pool, dataCentre, rack string, capacity work.Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inst := &instance{id: id, pool: pool, dataCentre: dataCentre, rack: rack, capacity: capacity, state: provider.Up}
	f.instances[id] = inst
	f.startWorkerLocked(inst)
}

// startWorkerLocked sets the instance to up and starts a new worker on it unless it is in the spare pool or gone.
func (f *Fleet) startWorkerLocked(inst *instance) {
	if inst.vanished {
		return
	}
	inst.state = provider.Up
	if inst.pool == f.SparePool {
		return
	}
	f.lastWorker++
	w := f.newWorkerLocked(inst, fmt.Sprintf("w-%04d", f.lastWorker), fmt.Sprintf("10.0.%d.%d:80", f.lastWorker/250, f.lastWorker%250))
	if f.SameID {
		w.started = time.Now().UnixMilli()
	}
	f.bootLocked(w)
}

// newWorkerLocked returns a worker of the instance that runs nothing.
func (f *Fleet) newWorkerLocked(inst *instance, id, address string) *Worker {
	return &Worker{
		fleet: f, instance: inst, id: id, address: address,
		pool: inst.pool, runs: make(map[work.TaskID]*run), highestRun: make(map[work.TaskID]int64),
		bootedAt: time.Now(), clockRate: 1 - f.random.Float64()*maxClockLag, clockOffset: time.Duration(f.random.IntN(1000)) * time.Second,
		changed: make(chan struct{}), capacity: inst.capacity,
	}
}

// bootLocked starts the worker, which registers at once.
func (f *Fleet) bootLocked(w *Worker) {
	w.instance.worker = w
	f.workers[w.address] = w
	w.register()
	go w.sendHeartbeats()
}

// maxClockLag is the maximum share by which a worker's clock is slow.
const maxClockLag = 0.02

// endWorkerLocked ends the instance's worker and its runs; its registration is removed at once if deregister is set,
// and expires otherwise.
func (f *Fleet) endWorkerLocked(inst *instance, deregister bool) {
	w := inst.worker
	if w == nil {
		return
	}
	inst.worker, inst.previous = nil, w
	w.endLocked()
	if deregister {
		f.removeRegistrationLocked(w)
		return
	}
	f.expireRegistration(w)
}

// registrationTTLHeartbeats is the number of heartbeat intervals after which the registration of a silent worker
// expires.
const registrationTTLHeartbeats = 3

// Crash ends the instance's worker without deregistering it and starts another one after the downtime; the list reports
// the instance as down at once.
func (f *Fleet) Crash(id string, downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashLocked(f.instances[id], downtime)
}

func (f *Fleet) crashLocked(inst *instance, downtime time.Duration) {
	if inst.worker != nil {
		inst.worker.updateLocked()
		f.Checker.recordCrash(inst.worker)
	}
	f.endWorkerLocked(inst, false)
	inst.state = provider.Down
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if inst.state == provider.Down && !f.stopped {
			f.startAgainLocked(inst)
		}
	})
}

// SetPartitioned partitions a caller from the workers of a data centre, or ends the partition.
func (f *Fleet) SetPartitioned(caller, dataCentre string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned[caller] == nil {
		f.partitioned[caller] = make(map[string]bool)
	}
	f.partitioned[caller][dataCentre] = partitioned
}

// RegisterLate rewrites the registrations of the previous workers of the instances, like a write that a network
// partition has delayed; they expire after registrationTTLHeartbeats. Instances without a current worker are skipped.
func (f *Fleet) RegisterLate(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		inst := f.instances[id]
		w := inst.previous
		if inst.worker == nil || w == nil {
			continue
		}
		w.register()
		f.expireRegistration(w)
	}
}

// SetLateShare sets the share of the orders to workers that are carried out late and get no response.
func (f *Fleet) SetLateShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare = share
}

// SetBehaviour sets the behaviour of the current worker of an instance, if there is one.
func (f *Fleet) SetBehaviour(id string, behaviour Behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.withWorkersLocked([]string{id}) {
		inst.worker.updateLocked()
		inst.worker.behaviour = behaviour
		inst.worker.scheduleLocked()
	}
}

// Drain registers the worker of an instance as draining and ends it after the time, which leaves the instance down.
func (f *Fleet) Drain(id string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inst := f.instances[id]
	if inst.worker == nil {
		return
	}
	inst.worker.draining = true
	inst.worker.register()
	w := inst.worker
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if inst.worker == w {
			f.endWorkerLocked(inst, true)
			inst.state = provider.Down
		}
	})
}

// Remove ends and deregisters the worker of an instance and takes the instance away for good.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inst := f.instances[id]
	inst.vanished = true
	f.endWorkerLocked(inst, true)
	delete(f.instances, id)
}

// Instances returns the sorted IDs of the instances.
func (f *Fleet) Instances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.instances))
	for id := range f.instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// InRack returns the sorted IDs of the instances in a rack.
func (f *Fleet) InRack(rack string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, inst := range f.instances {
		if inst.rack == rack {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// StartOrders returns the number of start orders that workers have received.
func (f *Fleet) StartOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Starts
}

// Stop ends all workers and prevents new ones from starting.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, inst := range f.instances {
		f.endWorkerLocked(inst, true)
	}
}

// orderLatency is the latency of a call to a worker in each direction.
const orderLatency = 1500 * time.Microsecond

// minLateOrderDelay and maxLateOrderDelay are the limits of the delay of a late order.
const (
	minLateOrderDelay = 2 * time.Second
	maxLateOrderDelay = 12 * time.Second
)

// key returns the key of the worker's registration row.
func (w *Worker) key() table.Key { return table.Key{Table: RegistrationTable, Name: w.id} }
