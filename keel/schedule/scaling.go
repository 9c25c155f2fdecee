package schedule

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/provider"
)

// scaleUp moves instances into pools that fall short: first for long-running tasks that need another worker, then for jobs
// that can still meet their objective, then for all.
func (s *Scheduler) scaleUp(demands []*demand, now time.Duration) {
	s.fleet.scarce = false
	for _, d := range demands {
		s.scaleUpPool(demands, d, d.missingLongRunning(s.instanceCapacity()), d.pool.missing.suitsLongRunning, true, now)
	}
	for _, d := range demands {
		s.scaleUpPool(demands, d, d.onTimeShortfall(), anyInstance, true, now)
	}
	for _, d := range demands {
		s.scaleUpPool(demands, d, d.shortfall(), anyInstance, false, now)
	}
	for _, d := range demands {
		s.scaleUpPool(demands, d, d.missing(s.instanceCapacity()), d.pool.missing.suits, false, now)
	}
	if !s.ForecastPeaks {
		return
	}
	for _, d := range demands {
		s.prepare(demands, d, now)
	}
}

// prepare moves idle instances into a pool whose peak is expected to begin when they have joined it. It takes none that
// another pool keeps and reclaims no worker.
func (s *Scheduler) prepare(demands []*demand, to *demand, now time.Duration) {
	for shortfall := to.expectedShortfall(); shortfall > 0; {
		instance, capacity, from := s.selectInstance(demands, to, anyInstance, false, now)
		if instance == "" {
			return
		}
		s.prepareInstance(to, instance, capacity, from, now)
		shortfall -= capacity
	}
}

// prepareInstance moves an instance into a pool whose peak is expected.
func (s *Scheduler) prepareInstance(to *demand, instance string, capacity int64, from string, now time.Duration) {
	s.move(instance, to.pool.name, from, capacity, now, "a peak is expected")
	s.Metrics.addPrepared()
	to.incoming += capacity
}

// inviting returns another pool that may soon need the instance of an idle worker, nil if there is none.
func (s *Scheduler) inviting(demands []*demand, from *demand, w *workerState, now time.Duration) *demand {
	if !s.ForecastPeaks {
		return nil
	}
	for _, d := range demands {
		if d != from && d.capacity+d.incoming < d.wanted.Invited && s.movable(s.fleet.instances[w.Instance], d.pool.name, scaleDownRateShare, now) {
			return d
		}
	}
	return nil
}

// suitable reports whether an instance could run what a pool falls short for.
type suitable func(provider.Instance) bool

func anyInstance(provider.Instance) bool { return true }

// scaleUpPool moves suitable instances into a pool until the shortfall is covered: idle instances of other pools first,
// then spare ones. If none is available, it reclaims workers of other pools.
func (s *Scheduler) scaleUpPool(demands []*demand, to *demand, shortfall int64, suits suitable, onTime bool, now time.Duration) {
	for shortfall > 0 {
		instance, capacity, from := s.selectInstance(demands, to, suits, onTime, now)
		if instance == "" {
			s.fleet.scarce = true
			s.reclaimFor(demands, to, shortfall, suits, onTime, now)
			return
		}
		s.move(instance, to.pool.name, from, capacity, now, "pool is short of capacity")
		to.incoming += capacity
		shortfall -= capacity
	}
}

// instanceCapacity returns the milli-cores of some instance as a typical value.
func (s *Scheduler) instanceCapacity() int64 {
	for _, i := range s.fleet.instances {
		return i.Capacity.MilliCores
	}
	return 0
}

// selectInstance returns a suitable instance that can move into the pool, with its capacity and its present pool. An idle
// instance of a pool with excess capacity is preferred to a spare one: it saves the order that would move it to the
// spare pool.
func (s *Scheduler) selectInstance(demands []*demand, to *demand, suits suitable, onTime bool, now time.Duration) (string, int64, string) {
	for _, d := range demands {
		if d == to {
			continue
		}
		for n, w := range d.idle {
			capacity := d.capacityWithout(w, now)
			if float64(capacity) < d.reserve(onTime || now < w.reclaimedUntil) {
				break
			}
			i := s.fleet.instances[w.Instance]
			if suits(i) && !d.keeps(i, onTime) && s.movable(i, to.pool.name, scaleUpRateShare, now) {
				d.idle = slices.Delete(d.idle, n, n+1)
				d.capacity = capacity
				return w.Instance, w.Capacity.MilliCores, d.pool.name
			}
		}
	}
	for _, i := range s.fleet.spares {
		if suits(i) && s.movable(i, to.pool.name, scaleUpRateShare, now) && s.knownIdle(i, s.workerOf[i.ID], now) {
			return i.ID, i.Capacity.MilliCores, i.Pool
		}
	}
	return "", 0, ""
}

// spareInstances returns the instances of all spare pools, ordered by ID.
func (s *Scheduler) spareInstances() []provider.Instance {
	var all []provider.Instance
	for _, i := range s.fleet.instances {
		if s.Config.Pools[i.Pool].Spare {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b provider.Instance) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// movable reports whether the instance may be ordered into the pool now. Ends that aren't stored would be lost with its
// worker if the leader failed.
func (s *Scheduler) movable(i provider.Instance, to string, rateShare float64, now time.Duration) bool {
	if i.ID == "" || i.State != provider.Up || s.fleet.unsuitable[i.ID][to] || !s.mayOrder(i.ID, rateShare, now) {
		return false
	}
	w := s.workerOf[i.ID]
	_, incoming := s.fleet.incoming[i.ID]
	return !incoming && (w == nil || !w.hasEnds())
}

// scaleDown moves instances that have been idle for scaleDownIdleTime to a spare pool.
func (s *Scheduler) scaleDown(demands []*demand, now time.Duration) {
	spare := s.sparePool()
	if spare == "" {
		return
	}
	short := slices.ContainsFunc(demands, func(d *demand) bool { return d.shortfall() > 0 })
	for _, d := range demands {
		if d.pool.missing.workers > 0 {
			continue
		}
		for _, w := range slices.Clone(d.idle) {
			capacity := d.capacity - w.Capacity.MilliCores
			if float64(capacity) < headroom*float64(d.required) || capacity < d.wanted.Kept || capacity < w.Capacity.MilliCores {
				break
			}
			if now-w.idleSince < d.idleTime(capacity, short) || !s.movable(s.fleet.instances[w.Instance], spare, scaleDownRateShare, now) {
				continue
			}
			d.capacity = capacity
			to := s.inviting(demands, d, w, now)
			if to != nil {
				s.prepareInstance(to, w.Instance, w.Capacity.MilliCores, d.pool.name, now)
				continue
			}
			s.move(w.Instance, spare, d.pool.name, 0, now, "instance is idle")
		}
	}
}

// idleTime returns how long a worker must be idle before its instance moves to the spare pool, which leaves the pool the
// capacity. A pool that is short may soon take an idle instance without that detour.
func (d *demand) idleTime(capacity int64, short bool) time.Duration {
	if !short && float64(capacity) >= headroom*float64(d.wanted.Most) {
		return surplusIdleTime
	}
	return scaleDownIdleTime
}

func (s *Scheduler) sparePool() string {
	name := ""
	for _, p := range s.Config.Pools {
		if p.Spare && (name == "" || p.Name < name) {
			name = p.Name
		}
	}
	return name
}

// move orders an instance to join a pool.
func (s *Scheduler) move(instance, to, from string, capacity int64, now time.Duration, reason string) {
	s.recordOrder(instance, now)
	s.Metrics.addMove()
	s.fleet.incoming[instance] = incomingInstance{pool: to, capacity: capacity, expires: now + s.Bounds.MoveTime + joinGrace}
	w := s.workerOf[instance]
	if w != nil {
		w.orderPending = true
	}
	fence := s.fence()
	call(s, providerTimeout, func(ctx context.Context) (provider.Refusal, error) {
		if !s.LeaseValid() {
			return provider.Accepted, fault.New(fault.NotReady, "order not sent: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		return s.Provider.Move(ctx, instance, to, fence)
	}, func(refusal provider.Refusal, err error) {
		s.handleOrderFailure(instance, w, "move", refusal, err)
		if err != nil || refusal != provider.Accepted {
			delete(s.fleet.incoming, instance)
			if refusal == provider.Unsuitable {
				s.markUnsuitable(instance, to)
			}
			return
		}
		s.Log.Write(event.InstanceMoved, event.Fields{"instance": instance, "from": from, "to": to, "reason": reason, "outcome": "accepted"})
		s.endWorkerOf(instance, w, "instance is moving to pool "+to)
	})
}

func (s *Scheduler) markUnsuitable(instance, pool string) {
	if s.fleet.unsuitable[instance] == nil {
		s.fleet.unsuitable[instance] = make(map[string]bool)
	}
	s.fleet.unsuitable[instance][pool] = true
}

// handleOrderFailure logs an order to an instance that was rejected or failed, and lets w, its worker when the order was
// given, get tasks again: at once, or after providerTimeout if the outcome is unknown. Accepted orders only show that the
// service responds.
func (s *Scheduler) handleOrderFailure(instance string, w *workerState, order string, refusal provider.Refusal, err error) {
	s.fleet.orderFailedAt = 0
	if err == nil && refusal == provider.Accepted {
		return
	}
	reason := string(refusal)
	if err != nil {
		reason = err.Error()
	}
	if fault.IsKind(err, fault.PlatformUnavailable) {
		s.fleet.orderFailedAt = s.Now()
	}
	if refusal == provider.Busy || refusal == provider.Fenced {
		s.fleet.retryAt[instance] = s.Now() + orderRetry
	}
	s.Log.Write(event.InstanceOrderRefused, event.Fields{"instance": instance, "order": order, "reason": reason})
	if w == nil {
		return
	}
	if err != nil && fault.As(err).Outcome() != fault.NotRun {
		// The order may still be carried out, which the worker's lease renewals will show. If the worker is still there
		// after the timeout, it gets tasks again.
		s.after(providerTimeout, func() {
			w.orderPending = false
			s.schedulePlan()
		})
		return
	}
	w.orderPending = false
	s.schedulePlan()
}

// endWorkerOf removes the worker of an instance after an accepted order has ended it, and records the instance as
// moving until it is listed again.
func (s *Scheduler) endWorkerOf(instance string, w *workerState, reason string) {
	if w != nil {
		s.removeWorker(w, reason)
	}
	i, ok := s.fleet.instances[instance]
	if ok {
		i.State = provider.Moving
		s.fleet.instances[instance] = i
	}
}
