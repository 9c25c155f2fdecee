package emulator

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/provider"
)

// Estate returns the service for instances.
func (f *Fleet) Estate() *provider.Client {
	return &provider.Client{List: f.list, Move: f.move, Maintain: f.maintain}
}

func (f *Fleet) list(ctx context.Context, _ string) (provider.Page, error) {
	if !sleep(ctx, answerTime) {
		return provider.Page{}, fault.New(fault.PlatformUnavailable, "emulated answer too late").WithOutcome(fault.NotRun)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var page provider.Page
	for _, m := range f.machines {
		i := provider.Instance{ID: m.id, Pool: m.pool, State: m.state, DataCentre: m.dataCentre, Labels: []string{m.rack}, Rack: m.rack, Capacity: m.room}
		if m.boot != nil {
			i.Worker = m.boot.id
		}
		page.Instances = append(page.Instances, i)
	}
	slices.SortFunc(page.Instances, func(a, b provider.Instance) int { return strings.Compare(a.ID, b.ID) })
	return page, nil
}

// order checks an order to an instance.
func (f *Fleet) orderLocked(id string, fence provider.Fence) (*machine, provider.Refusal) {
	f.Moves++
	now := time.Now()
	f.orders = slices.DeleteFunc(f.orders, func(at time.Time) bool { return now.Sub(at) > time.Second })
	m := f.machines[id]
	switch {
	case m == nil:
		return nil, provider.Unsuitable
	case f.OrderRate > 0 && len(f.orders) >= f.OrderRate:
		return nil, provider.Throttled
	case fence.Token < m.fence:
		return nil, provider.Fenced
	}
	f.orders = append(f.orders, now)
	m.fence = fence.Token
	return m, provider.Accepted
}

func (f *Fleet) move(ctx context.Context, id, pool string, fence provider.Fence) (provider.Refusal, error) {
	if !sleep(ctx, answerTime) {
		return provider.Accepted, fault.New(fault.PlatformUnavailable, "emulated answer too late").WithOutcome(fault.NotRun)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m, refusal := f.orderLocked(id, fence)
	switch {
	case refusal != provider.Accepted:
		return refusal, nil
	case m.pool == pool:
		return provider.Accepted, nil
	case m.state != provider.Up:
		return provider.Busy, nil
	}
	f.Truth.orderedAway(m)
	f.endLocked(m, true)
	m.pool, m.state = pool, provider.Moving
	f.returnAfter(m, f.Times.MoveTime, provider.Moving)
	return provider.Accepted, nil
}

// returnAfter starts a worker on the instance once it has been away for the time.
func (f *Fleet) returnAfter(m *machine, away time.Duration, state provider.State) {
	time.AfterFunc(away, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.state == state && !f.stopped {
			f.bootLocked(m)
		}
	})
}

func (f *Fleet) maintain(ctx context.Context, id string, wave int64, fence provider.Fence) (provider.Refusal, error) {
	if !sleep(ctx, answerTime) {
		return provider.Accepted, fault.New(fault.PlatformUnavailable, "emulated answer too late").WithOutcome(fault.NotRun)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m, refusal := f.orderLocked(id, fence)
	w := f.Truth.waves[wave]
	switch {
	case refusal != provider.Accepted:
		return refusal, nil
	case w == nil || !slices.Contains(w.Instances, id):
		return provider.OtherWave, nil
	case w.begun[id]:
		return provider.Accepted, nil
	case m.state != provider.Up:
		return provider.Busy, nil
	}
	f.Truth.maintained(w, m)
	f.Truth.orderedAway(m)
	f.endLocked(m, true)
	m.state = provider.Maintenance
	w.down[id] = true
	time.AfterFunc(f.Times.MaintenanceTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(w.down, id)
		if m.state == provider.Maintenance && !f.stopped {
			f.bootLocked(m)
		}
	})
	return provider.Accepted, nil
}
