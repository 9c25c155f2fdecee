package platformtest

import (
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

// instance is a fake instance, with its actual state and its listing in the instance list, which lags behind.
type instance struct {
	actual platform.Listing
	listed platform.Listing
	// stuck keeps the instance from completing a reboot.
	stuck bool
}

// fleet holds the instances and the fencing state; it is guarded by the mutex of its Platform.
type fleet struct {
	instances   map[string]*instance
	listVersion uint64
	epochs      map[string]uint64
	tokens      map[string]bool
}

func newFleet() *fleet {
	return &fleet{
		instances: make(map[string]*instance),
		epochs:    make(map[string]uint64),
		tokens:    make(map[string]bool),
	}
}

// admit checks the fence of an effect, records its epoch and token, and reports whether the token is new.
func (f *fleet) admit(fence platform.Fence) (bool, error) {
	if fence.Epoch < f.epochs[fence.Duty] {
		return false, fault.New(fault.Conflict, "duty %s is at epoch %d", fence.Duty, f.epochs[fence.Duty])
	}
	f.epochs[fence.Duty] = fence.Epoch
	if f.tokens[fence.Token] {
		return false, nil
	}
	f.tokens[fence.Token] = true
	return true, nil
}

// AddInstance adds a live instance or replaces an existing one with the same ID.
func (p *Platform) AddInstance(listing platform.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listing.Liveness = platform.Live
	listing.Boot = max(listing.Boot, 1)
	inst := &instance{actual: listing}
	p.fleet.instances[listing.ID] = inst
	p.publish(inst, listing)
}

// publish sets the listing of an instance in the instance list.
func (p *Platform) publish(inst *instance, listing platform.Listing) {
	p.fleet.listVersion++
	inst.listed = listing
	inst.listed.Changed = p.fleet.listVersion
}

// update changes the actual state of an instance and publishes it after ListLag.
func (p *Platform) update(inst *instance, mutate func(*platform.Listing)) {
	mutate(&inst.actual)
	listing := inst.actual
	if p.ListLag <= 0 {
		p.publish(inst, listing)
		return
	}
	time.AfterFunc(p.ListLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.publish(inst, listing)
	})
}

func (p *Platform) list(request platform.ListRequest) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := platform.ListResult{Instances: []platform.Listing{}, Through: p.fleet.listVersion}
	for _, inst := range p.fleet.instances {
		if inst.listed.DataCentre == request.DataCentre && inst.listed.Changed > request.After {
			result.Instances = append(result.Instances, inst.listed)
		}
	}
	return result, nil
}

// applyEffect applies an effect to an instance if its fence is valid and its token is new.
func (p *Platform) applyEffect(request platform.InstanceRequest, mutate func(*instance)) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst, ok := p.fleet.instances[request.Instance]
	if !ok {
		return nil, fault.New(fault.NotExist, "instance %s", request.Instance)
	}
	isNew, err := p.fleet.admit(request.Fence)
	if err == nil && isNew {
		mutate(inst)
	}
	return platform.Empty{}, err
}

func (p *Platform) drain(request platform.InstanceRequest) (any, error) {
	return p.applyEffect(request, func(inst *instance) {
		p.update(inst, func(listing *platform.Listing) { listing.Liveness = platform.Leaving })
	})
}

func (p *Platform) restore(request platform.InstanceRequest) (any, error) {
	return p.applyEffect(request, func(inst *instance) {
		p.update(inst, func(listing *platform.Listing) { listing.Liveness = platform.Live })
	})
}

func (p *Platform) reboot(request platform.InstanceRequest) (any, error) {
	return p.applyEffect(request, func(inst *instance) {
		p.reboots++
		p.update(inst, func(listing *platform.Listing) { listing.Liveness = platform.Down })
		id := inst.actual.ID
		if p.OnReboot != nil {
			p.OnReboot(inst.actual, true)
		}
		if !inst.stuck {
			time.AfterFunc(p.RebootTime, func() { p.finishReboot(id) })
		}
	})
}

// finishReboot sets an instance that is down to live with the next boot number.
func (p *Platform) finishReboot(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inst := p.fleet.instances[id]
	if inst.actual.Liveness != platform.Down {
		return
	}
	p.update(inst, func(listing *platform.Listing) {
		listing.Liveness = platform.Live
		listing.Boot++
	})
	if p.OnReboot != nil {
		p.OnReboot(inst.actual, false)
	}
}

// Reboots returns the number of reboots that took effect.
func (p *Platform) Reboots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reboots
}

// Fail takes an instance down without draining it; Revive restores it.
func (p *Platform) Fail(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(p.fleet.instances[id], func(listing *platform.Listing) { listing.Liveness = platform.Down })
}

// Revive restores an instance that failed or is stuck in a reboot.
func (p *Platform) Revive(id string) {
	p.mu.Lock()
	p.fleet.instances[id].stuck = false
	p.mu.Unlock()
	p.finishReboot(id)
}

// BlockReboot keeps an instance from completing a reboot until it is revived.
func (p *Platform) BlockReboot(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.instances[id].stuck = true
}
