package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/emulator"
)

// troubleFault is a fault of a play. A fault that lasts goes on until the end, perhaps with a lower share.
type troubleFault struct {
	name string
	// begin starts the fault and returns the function that ends it.
	begin func(p *trouble) func()
	lasts bool
}

// troubleFaults holds the kinds of faults from which a play is drawn.
var troubleFaults = []troubleFault{
	{name: "workers answer now and then", lasts: true, begin: func(p *trouble) func() {
		return p.loseResponses(p.lossy, 0.4+float64(p.intN(5))/10, "a0", "b0")
	}},
	{name: "one worker answers rarely", lasts: true, begin: func(p *trouble) func() { return p.loseResponses(p.lossy, 0.9, "a0") }},
	{name: "orders to workers are lost", lasts: true, begin: func(p *trouble) func() { return p.loseResponses(p.lossyOrders, 0.95, "a0", "b0") }},
	{name: "all workers lose responses", begin: func(p *trouble) func() {
		return p.loseResponses(p.lossy, 0.3, p.fleet.Instances()...)
	}},
	{name: "orders carried out late", lasts: true, begin: func(p *trouble) func() {
		p.fleet.SetLateShare(0.15)
		return func() { p.fleet.SetLateShare(0) }
	}},
	{name: "starts answered late", begin: func(p *trouble) func() { return p.set(&p.slowStarts, 0.5) }},
	{name: "roster rows fail", begin: func(p *trouble) func() { return p.set(&p.roster, 0.7) }},
	{name: "runs fail on workers", lasts: true, begin: func(p *trouble) func() { return p.behave(emulator.Behaviour{Fails: true}, "a1", "b1") }},
	{name: "runs fail on most workers", begin: func(p *trouble) func() {
		return p.behave(emulator.Behaviour{Fails: true}, "a0", "a1", "a2", "b0", "b1")
	}},
	{name: "runs hang on a worker", lasts: true, begin: func(p *trouble) func() { return p.behave(emulator.Behaviour{Hangs: true}, "a1") }},
	{name: "instance service down", lasts: true, begin: func(p *trouble) func() {
		p.fleet.SetServiceUnavailable(true)
		return func() { p.fleet.SetServiceUnavailable(false) }
	}},
	{name: "partition of the store rejects", begin: func(p *trouble) func() { return p.storeFault(emulator.Busy, "ledger0") }},
	{name: "responses of the store lost", begin: func(p *trouble) func() { return p.storeFault(emulator.Lost) }},
	{name: "writes take effect late", begin: func(p *trouble) func() { return p.storeFault(emulator.Late, "ledger0", "ledger1") }},
	{name: "store silent", begin: func(p *trouble) func() { return p.storeFault(emulator.Silent) }},
	{name: "data centre partitioned", begin: func(p *trouble) func() {
		p.fleet.SetPartitioned("leader", "a", true)
		return func() { p.fleet.SetPartitioned("leader", "a", false) }
	}},
	{name: "crash", begin: func(p *trouble) func() {
		p.fleet.Crash("b2", 5*time.Second)
		return func() {}
	}},
	{name: "drain", begin: func(p *trouble) func() {
		p.fleet.Drain("a2", 4*time.Second)
		return func() {}
	}},
}

// loseResponses makes a share of the calls to the present workers of the instances get no response.
func (p *trouble) loseResponses(lossy map[string]float64, share float64, instances ...string) func() {
	var addresses []string
	p.onLoop(func() {
		for _, w := range p.s.workers {
			if slices.Contains(instances, w.Instance) {
				addresses = append(addresses, w.Address)
			}
		}
	})
	set := func(value float64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, address := range addresses {
			lossy[address] = value
		}
	}
	set(share)
	p.fleet.SetDisturbed(true, instances...)
	return func() {
		set(0)
		p.fleet.SetDisturbed(false, instances...)
	}
}

func (p *trouble) set(value *float64, share float64) func() {
	change := func(to float64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		*value = to
	}
	change(share)
	return func() { change(0) }
}

func (p *trouble) behave(behaviour emulator.Behaviour, instances ...string) func() {
	for _, id := range instances {
		p.fleet.SetBehaviour(id, behaviour)
	}
	return func() {
		for _, id := range instances {
			p.fleet.SetBehaviour(id, emulator.Behaviour{})
		}
	}
}

func (p *trouble) storeFault(outage emulator.Outage, partitions ...string) func() {
	f := &emulator.StoreFault{Outage: outage, Partitions: partitions, Callers: []string{"leader"}}
	p.store.Inject(f)
	return func() { p.store.Clear(f) }
}
