package emulator

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/provider"
)

// InstanceClient returns a client of the emulated instance service.
func (f *Fleet) InstanceClient() *provider.Client {
	return &provider.Client{List: f.list, Move: f.move, Maintain: f.maintain}
}

// errServiceUnavailable is the error of a call that the instance service doesn't respond to; it had no effect.
var errServiceUnavailable = fault.New(fault.PlatformUnavailable, "emulated response after the deadline").WithOutcome(fault.NotRun)

// waitForService waits for the instance service and returns false if it doesn't respond before the deadline.
func (f *Fleet) waitForService(ctx context.Context) bool {
	f.mu.Lock()
	unavailable := f.serviceUnavailable
	f.mu.Unlock()
	if unavailable {
		<-ctx.Done()
		return false
	}
	return sleep(ctx, responseTime)
}

func (f *Fleet) list(ctx context.Context, _ string) (provider.Page, error) {
	if !f.waitForService(ctx) {
		return provider.Page{}, errServiceUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.staleList != nil {
		return *f.staleList, nil
	}
	return f.pageLocked(), nil
}

// pageLocked returns the current list of instances.
func (f *Fleet) pageLocked() provider.Page {
	var page provider.Page
	for _, inst := range f.instances {
		i := provider.Instance{ID: inst.id, Pool: inst.pool, State: inst.state, DataCentre: inst.dataCentre, Labels: []string{inst.rack}, Rack: inst.rack, Capacity: inst.capacity}
		if inst.worker != nil {
			i.Worker = inst.worker.id
		}
		page.Instances = append(page.Instances, i)
	}
	slices.SortFunc(page.Instances, func(a, b provider.Instance) int { return strings.Compare(a.ID, b.ID) })
	return page
}

// admitOrderLocked checks the rate limit and the fencing token of an order to an instance.
func (f *Fleet) admitOrderLocked(id string, fence provider.Fence) (*instance, provider.Refusal) {
	f.InstanceOrders++
	now := time.Now()
	f.recentOrders = slices.DeleteFunc(f.recentOrders, func(at time.Time) bool { return now.Sub(at) > time.Second })
	inst := f.instances[id]
	switch {
	case inst == nil:
		return nil, provider.Unsuitable
	case f.OrderRate > 0 && len(f.recentOrders) >= f.OrderRate:
		return nil, provider.Throttled
	case fence.Token < inst.highestToken:
		return nil, provider.Fenced
	}
	f.recentOrders = append(f.recentOrders, now)
	inst.highestToken = fence.Token
	return inst, provider.Accepted
}

func (f *Fleet) move(ctx context.Context, id, pool string, fence provider.Fence) (provider.Refusal, error) {
	if !f.waitForService(ctx) {
		return provider.Accepted, errServiceUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	inst, refusal := f.admitOrderLocked(id, fence)
	switch {
	case refusal != provider.Accepted:
		return refusal, nil
	case inst.vanished:
		return provider.Busy, nil
	case inst.pool == pool:
		return provider.Accepted, nil
	case inst.state != provider.Up:
		return provider.Busy, nil
	}
	f.Checker.checkEviction(inst)
	f.endWorkerLocked(inst, true)
	inst.pool, inst.state = pool, provider.Moving
	f.startWorkerAfter(inst, f.Times.MoveTime, provider.Moving)
	return provider.Accepted, nil
}

// startWorkerAfter starts a worker on the instance after the delay if the instance is still in the state.
func (f *Fleet) startWorkerAfter(inst *instance, delay time.Duration, state provider.State) {
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if inst.state == state && !f.stopped {
			f.startWorkerLocked(inst)
		}
	})
}

func (f *Fleet) maintain(ctx context.Context, id string, wave int64, fence provider.Fence) (provider.Refusal, error) {
	if !f.waitForService(ctx) {
		return provider.Accepted, errServiceUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	inst, refusal := f.admitOrderLocked(id, fence)
	w := f.Checker.waves[wave]
	switch {
	case refusal != provider.Accepted:
		return refusal, nil
	case inst.vanished:
		return provider.Busy, nil
	case w == nil || !slices.Contains(w.Instances, id):
		return provider.OtherWave, nil
	case w.maintained[id]:
		return provider.Accepted, nil
	case inst.state != provider.Up:
		return provider.Busy, nil
	}
	f.Checker.recordMaintenance(w, inst)
	f.Checker.checkEviction(inst)
	f.endWorkerLocked(inst, true)
	inst.state = provider.Maintenance
	w.down[id] = true
	time.AfterFunc(f.Times.MaintenanceTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(w.down, id)
		if inst.state == provider.Maintenance && !f.stopped {
			f.startWorkerLocked(inst)
		}
	})
	return provider.Accepted, nil
}
