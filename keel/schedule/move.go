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

// bring moves instances into the pools that miss room, first for what can still be in time.
func (s *Scheduler) bring(demands []*demand, now time.Duration) {
	s.fleet.scarce = false
	for _, d := range demands {
		s.bringTo(demands, d, d.missingInTime(), true, now)
	}
	for _, d := range demands {
		s.bringTo(demands, d, d.missing(s.typicalRoom()), false, now)
	}
}

// bringTo moves instances into a pool that misses room, idle ones of other pools or spare ones, and empties workers
// elsewhere where there are none.
func (s *Scheduler) bringTo(demands []*demand, to *demand, missing int64, inTime bool, now time.Duration) {
	for missing > 0 {
		instance, room, from := s.source(demands, to, inTime, now)
		if instance == "" {
			s.fleet.scarce = true
			s.vacateFor(demands, to, missing, inTime, now)
			return
		}
		s.move(instance, to.pool.name, from, room, now, "the pool misses room")
		to.coming += room
		missing -= room
	}
}

// typicalRoom returns the processors of an instance, in milli-cores.
func (s *Scheduler) typicalRoom() int64 {
	for _, i := range s.fleet.instances {
		return i.Capacity.MilliCores
	}
	return 0
}

// source returns an instance for the pool: an idle one of a pool with more than it needs, which costs one order where
// parking it would cost another, else a spare one.
func (s *Scheduler) source(demands []*demand, to *demand, inTime bool, now time.Duration) (string, int64, string) {
	for _, d := range demands {
		if d == to {
			continue
		}
		for n, h := range d.idle {
			left := d.without(h, now)
			if float64(left) < d.kept(inTime || now < h.vacatedUntil) {
				break
			}
			i := s.fleet.instances[h.Instance]
			if s.movable(i, to.pool.name, bringPart, now) {
				d.idle = slices.Delete(d.idle, n, n+1)
				d.have = left
				return h.Instance, h.Capacity.MilliCores, d.pool.name
			}
		}
	}
	for _, i := range s.spares() {
		if s.movable(i, to.pool.name, bringPart, now) && s.vacant(i, s.byInstance[i.ID]) {
			return i.ID, i.Capacity.MilliCores, i.Pool
		}
	}
	return "", 0, ""
}

// spares returns the instances of the spare pools.
func (s *Scheduler) spares() []provider.Instance {
	var all []provider.Instance
	for _, i := range s.fleet.instances {
		if s.Config.Pools[i.Pool].Spare {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b provider.Instance) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// movable reports whether the instance may be told to join the pool now.
func (s *Scheduler) movable(i provider.Instance, to string, part float64, now time.Duration) bool {
	if i.ID == "" || i.State != provider.Up || s.fleet.unsuitable[i.ID][to] || !s.mayOrder(i.ID, part, now) {
		return false
	}
	_, coming := s.fleet.coming[i.ID]
	return !coming
}

// park moves instances that have been idle for a while to a spare pool.
func (s *Scheduler) park(demands []*demand, now time.Duration) {
	spare := s.sparePool()
	if spare == "" {
		return
	}
	for _, d := range demands {
		if d.pool.short > 0 {
			continue
		}
		for _, h := range slices.Clone(d.idle) {
			left := d.have - h.Capacity.MilliCores
			if float64(left) < headroom*float64(d.need) || left < h.Capacity.MilliCores {
				break
			}
			if now-h.idleAt < parkAfter || !s.movable(s.fleet.instances[h.Instance], spare, parkPart, now) {
				continue
			}
			s.move(h.Instance, spare, d.pool.name, 0, now, "the instance is idle")
			d.have = left
		}
	}
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

// move tells an instance to join a pool.
func (s *Scheduler) move(instance, to, from string, room int64, now time.Duration, reason string) {
	s.noteOrder(instance, now)
	s.Metrics.addMove()
	s.fleet.coming[instance] = arrival{pool: to, room: room, until: now + s.Bounds.MoveTime + comingGrace}
	h := s.byInstance[instance]
	if h != nil {
		h.moving = true
	}
	fence := s.fence()
	call(s, estateTimeout, func(ctx context.Context) (provider.Refusal, error) {
		if !s.LeaseValid() {
			return provider.Accepted, fault.New(fault.NotReady, "the lease must be renewed before an order").WithOutcome(fault.NotRun)
		}
		return s.Estate.Move(ctx, instance, to, fence)
	}, func(refusal provider.Refusal, err error) {
		s.orderAnswered(instance, "move", refusal, err)
		if err != nil || refusal != provider.Accepted {
			delete(s.fleet.coming, instance)
			if refusal == provider.Unsuitable {
				s.markUnsuitable(instance, to)
			}
			return
		}
		s.Log.Write(event.InstanceMoved, event.Fields{"instance": instance, "from": from, "to": to, "reason": reason, "outcome": "accepted"})
		s.bootEnded(instance, h, "its instance joins pool "+to)
	})
}

func (s *Scheduler) markUnsuitable(instance, pool string) {
	if s.fleet.unsuitable[instance] == nil {
		s.fleet.unsuitable[instance] = make(map[string]bool)
	}
	s.fleet.unsuitable[instance][pool] = true
}

// orderAnswered logs what became of an order to an instance that wasn't carried out for sure.
func (s *Scheduler) orderAnswered(instance, order string, refusal provider.Refusal, err error) {
	if err == nil && refusal == provider.Accepted {
		return
	}
	reason := string(refusal)
	if err != nil {
		reason = err.Error()
	}
	s.Log.Write(event.InstanceOrderRefused, event.Fields{"instance": instance, "order": order, "reason": reason})
	h := s.byInstance[instance]
	if h == nil {
		return
	}
	if err != nil && fault.As(err).Outcome() != fault.NotRun {
		// The order may yet be carried out; the worker says whether it lives.
		s.after(estateTimeout, func() {
			if !h.gone {
				h.moving = false
			}
		})
		return
	}
	h.moving = false
}

// bootEnded notes that an accepted order has ended the worker of an instance.
func (s *Scheduler) bootEnded(instance string, h *host, reason string) {
	if h != nil {
		s.lost(h, reason)
	}
	i, ok := s.fleet.instances[instance]
	if ok {
		i.State = provider.Moving
		s.fleet.instances[instance] = i
	}
}
