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

// Times holds what the fleet promises or takes.
type Times struct {
	LeaseMax, StopTime, GangTimeout, Restore, CheckpointEvery, MoveTime, MaintenanceTime, Heartbeat time.Duration
	// Startup is how long a lasting task takes until it is at work.
	Startup time.Duration
	// RemoteFactor is how much longer a task takes far from its data.
	RemoteFactor float64
}

// RegistrationTable names the table of registrations.
const RegistrationTable = "registrations"

// machine is one instance.
type machine struct {
	id, dataCentre, rack string
	room                 work.Size
	pool                 string
	state                provider.State
	boot                 *Boot
	// before is the worker that ran before the present one, nil if there was none.
	before *Boot
	// fence is the highest token of orders to the instance.
	fence int64
}

// Fleet is the instances with their workers.
type Fleet struct {
	Times Times
	// Spare names the pool whose instances are off.
	Spare string
	// OrderRate bounds the orders to instances in a second, 0 for no bound.
	OrderRate int
	// Truth is what the emulator knows of jobs.
	Truth *Truth

	mu       sync.Mutex
	random   *rand.Rand
	store    *Store
	machines map[string]*machine
	boots    map[string]*Boot
	next     int
	// cuts holds the callers that a data centre's workers can't be reached from.
	cuts map[string]map[string]bool
	// lateShare is the part of the orders that are carried out late and not answered.
	lateShare float64
	orders    []time.Time
	stopped   bool
	// Looks and Starts count calls of workers, Moves orders to instances.
	Looks, Starts, Moves int
}

// NewFleet returns a fleet without instances.
func NewFleet(store *Store, truth *Truth, random *rand.Rand, times Times) *Fleet {
	f := &Fleet{
		Times: times, Truth: truth, random: random, store: store, machines: make(map[string]*machine),
		boots: make(map[string]*Boot), cuts: make(map[string]map[string]bool),
	}
	truth.fleet = f
	return f
}

// Add adds an instance, whose worker registers at once unless the pool is the spare one.
func (f *Fleet) Add(id, pool, dataCentre, rack string, room work.Size) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{id: id, pool: pool, dataCentre: dataCentre, rack: rack, room: room, state: provider.Up}
	f.machines[id] = m
	f.bootLocked(m)
}

// bootLocked starts a new worker on the instance.
func (f *Fleet) bootLocked(m *machine) {
	m.state = provider.Up
	if m.pool == f.Spare {
		return
	}
	f.next++
	b := &Boot{
		fleet: f, machine: m, id: fmt.Sprintf("w-%04d", f.next), address: fmt.Sprintf("10.0.%d.%d:80", f.next/250, f.next%250),
		pool: m.pool, runs: make(map[work.TaskID]*run), highest: make(map[work.TaskID]int64),
		began: time.Now(), rate: 1 - f.random.Float64()*clockSlow, offset: time.Duration(f.random.IntN(1000)) * time.Second,
		changed: make(chan struct{}),
	}
	m.boot = b
	f.boots[b.address] = b
	b.register()
	go b.heartbeats()
}

// clockSlow is the greatest part by which a worker's clock is slow.
const clockSlow = 0.02

// endLocked ends the instance's worker and what runs on it.
func (f *Fleet) endLocked(m *machine, registration bool) {
	b := m.boot
	if b == nil {
		return
	}
	m.boot, m.before = nil, b
	b.endLocked()
	if registration {
		f.store.Remove(b.key())
		return
	}
	time.AfterFunc(registrationSilence*f.Times.Heartbeat, func() { f.store.Remove(b.key()) })
}

// registrationSilence is the number of heartbeats after which a silent worker's registration goes.
const registrationSilence = 3

// Crash ends the instance's worker, silently, and starts another one after the time; the list says so at once.
func (f *Fleet) Crash(id string, back time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	f.endLocked(m, false)
	m.state = provider.Down
	time.AfterFunc(back, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.state == provider.Down && !f.stopped {
			f.bootLocked(m)
		}
	})
}

// Cut keeps a caller from reaching the workers of a data centre, or lets it reach them again.
func (f *Fleet) Cut(caller, dataCentre string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cuts[caller] == nil {
		f.cuts[caller] = make(map[string]bool)
	}
	f.cuts[caller][dataCentre] = cut
}

// RegisterLate writes the registrations of the last ended workers of the instances once more, as a write that was held
// up by a cut is; they go after the usual time of silence.
func (f *Fleet) RegisterLate(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		m := f.machines[id]
		b := m.before
		if m.boot == nil || b == nil {
			continue
		}
		b.register()
		time.AfterFunc(registrationSilence*f.Times.Heartbeat, func() { f.store.Remove(b.key()) })
	}
}

// SetLate has a share of the orders be carried out late and not answered.
func (f *Fleet) SetLate(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateShare = share
}

// Behave sets how the worker of an instance treats its tasks.
func (f *Fleet) Behave(id string, behaviour Behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.machines[id].boot
	if b != nil {
		b.accountLocked()
		b.behaviour = behaviour
		b.planLocked()
	}
}

// Drain has the worker of an instance say that it leaves, and end after the time.
func (f *Fleet) Drain(id string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.machines[id]
	if m.boot == nil {
		return
	}
	m.boot.draining = true
	m.boot.register()
	b := m.boot
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.boot == b {
			f.endLocked(m, true)
			m.state = provider.Down
		}
	})
}

// Instances returns the ids of the instances in order.
func (f *Fleet) Instances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.machines))
	for id := range f.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// InRack returns the ids of the instances of a rack.
func (f *Fleet) InRack(rack string) []string {
	var ids []string
	for _, id := range f.Instances() {
		if f.machines[id].rack == rack {
			ids = append(ids, id)
		}
	}
	return ids
}

// Stop ends all workers, so that nothing is left running.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, m := range f.machines {
		f.endLocked(m, true)
	}
}

// orderTime is how long an order takes each way.
const orderTime = 1500 * time.Microsecond

// lateOrderLeast and lateOrderMost bound the delay of a late order.
const (
	lateOrderLeast = 2 * time.Second
	lateOrderMost  = 12 * time.Second
)

// key returns the key of the worker's registration.
func (b *Boot) key() table.Key { return table.Key{Table: RegistrationTable, Name: b.id} }
