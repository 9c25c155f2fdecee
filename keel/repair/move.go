package repair

import (
	"cmp"
	"slices"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
)

// moveRequestedBy is RequestedBy of the permits for moves, which follow from the settings.
const moveRequestedBy = "settings"

// availableSpares returns the live spare instances in service, which may join a pool.
func (d *decider) availableSpares() []Member {
	var spares []Member
	for _, m := range d.Pools[instance.SparePool].Members {
		if m.Value.State == instance.InService && m.Listing.Liveness == platform.Live {
			spares = append(spares, m)
		}
	}
	return spares
}

// notFailedByDataCentre returns the number of the pool's instances that haven't failed, by data centre.
func (p Pool) notFailedByDataCentre() map[string]int {
	count := make(map[string]int)
	for _, m := range p.Members {
		if m.Value.State != instance.Failed {
			count[m.Value.DataCentre]++
		}
	}
	return count
}

// takeSpare selects a spare from the data centre where the pool has the fewest instances, by preference not in
// avoidRack, and counts it in byDataCentre. It returns the spare and the remaining ones.
func takeSpare(spares []Member, byDataCentre map[string]int, avoidRack string) (Member, []Member) {
	best := 0
	less := func(a, b Member) bool {
		return cmp.Or(
			cmp.Compare(byDataCentre[a.Value.DataCentre], byDataCentre[b.Value.DataCentre]),
			cmp.Compare(boolToInt(a.Value.Rack == avoidRack), boolToInt(b.Value.Rack == avoidRack)),
		) < 0
	}
	for i := range spares {
		if less(spares[i], spares[best]) {
			best = i
		}
	}
	chosen := spares[best]
	byDataCentre[chosen.Value.DataCentre]++
	return chosen, slices.Delete(spares, best, best+1)
}

func boolToInt(set bool) int {
	if set {
		return 1
	}
	return 0
}

// replaceFailed swaps instances that have been failed for ReplaceDelay with spares, in other failure domains if
// possible.
func (d *decider) replaceFailed() {
	spares := d.availableSpares()
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		if name == instance.SparePool || p.shortage() < 0 {
			continue
		}
		byDataCentre := p.notFailedByDataCentre()
		for _, m := range p.Members {
			if m.Value.State != instance.Failed || m.RowAge < p.ReplaceDelay || len(spares) == 0 || d.atLimit() {
				continue
			}
			var spare Member
			spare, spares = takeSpare(spares, byDataCentre, m.Value.Rack)
			permit := p.Value.Permits[m.Key()]
			failed := d.moveToPool(m, instance.SparePool)
			d.step.Pools[instance.SparePool] = d.poolRow(instance.SparePool).WithFailed(permit)
			d.addChange(m, failed, event.PoolInstanceReplaced, event.Fields{"pool": name, "instance": m.Key(), "spare": spare.Key()})
			d.addChange(spare, d.moveToPool(spare, name), event.PoolInstanceMoved,
				event.Fields{"instance": spare.Key(), "from": instance.SparePool, "to": name})
		}
	}
}

// completeMoves moves drained instances to the pool with the largest shortage, or to the spare pool. An instance that
// its own pool needs by now returns to service there.
func (d *decider) completeMoves() {
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		for _, m := range p.Members {
			if m.Value.State != instance.Drained || p.Value.Permits[m.Key()].Reason != pool.ReasonMove || d.atLimit() {
				continue
			}
			to := d.largestShortage(name)
			if p.Limits.Desired+p.Lent >= d.poolRow(name).Members {
				to = name
			}
			next := d.moveToPool(m, to)
			next.State = instance.InService
			next.Boot = max(next.Boot, m.Listing.Boot)
			d.addChange(m, next, event.PoolInstanceMoved, event.Fields{"instance": m.Key(), "from": name, "to": to})
		}
	}
}

// largestShortage returns the name of the pool, except the named one, with the largest shortage; the spare pool if none
// has one.
func (d *decider) largestShortage(except string) string {
	best, most := instance.SparePool, 0
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		missing := p.Limits.Desired + p.Lent - d.poolRow(name).Members
		if name != except && name != instance.SparePool && missing > most {
			best, most = name, missing
		}
	}
	return best
}

// fillPools moves spares to the pools with a shortage, spread over the data centres.
func (d *decider) fillPools() {
	spares := d.availableSpares()
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		if name == instance.SparePool {
			continue
		}
		byDataCentre := p.notFailedByDataCentre()
		for range p.shortage() {
			if len(spares) == 0 || d.atLimit() {
				return
			}
			var spare Member
			spare, spares = takeSpare(spares, byDataCentre, "")
			d.addChange(spare, d.moveToPool(spare, name), event.PoolInstanceMoved,
				event.Fields{"instance": spare.Key(), "from": instance.SparePool, "to": name})
		}
	}
}

// releaseSurplus starts the removal of surplus instances within the budget; failed ones move to the spare pool at once.
func (d *decider) releaseSurplus() {
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		surplus := -p.shortage()
		if name == instance.SparePool {
			continue
		}
		for _, permit := range p.Value.Permits {
			surplus -= boolToInt(permit.Reason == pool.ReasonMove)
		}
		for _, m := range p.releaseCandidates() {
			if surplus <= 0 || d.atLimit() {
				break
			}
			if d.releaseInstance(name, p, m) {
				surplus--
			}
		}
	}
}

// releaseCandidates returns the members that may leave the pool, in order of release: failed ones first, then those in
// the data centres with the most instances of the pool.
func (p Pool) releaseCandidates() []Member {
	var candidates []Member
	for _, m := range p.Members {
		failed := m.Value.State == instance.Failed
		if failed || m.Value.State == instance.InService && m.Listing.Liveness == platform.Live && !m.Blocked {
			candidates = append(candidates, m)
		}
	}
	byDataCentre := p.notFailedByDataCentre()
	passed := make(map[string]int)
	priority := make(map[string]int)
	// The priority is the number of instances that the data centre still has when the candidate's turn comes, so that
	// releases level the data centres.
	for _, m := range candidates {
		priority[m.Key()] = byDataCentre[m.Value.DataCentre] - passed[m.Value.DataCentre]
		passed[m.Value.DataCentre]++
	}
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(boolToInt(b.Value.State == instance.Failed), boolToInt(a.Value.State == instance.Failed)),
			cmp.Compare(priority[b.Key()], priority[a.Key()]),
		)
	})
	return candidates
}

// releaseInstance starts the removal of one surplus instance, and reports whether the budget allows it.
func (d *decider) releaseInstance(name string, p Pool, m Member) bool {
	if m.Value.State == instance.Failed {
		permit := p.Value.Permits[m.Key()]
		next := d.moveToPool(m, instance.SparePool)
		d.step.Pools[instance.SparePool] = d.poolRow(instance.SparePool).WithFailed(permit)
		d.addChange(m, next, event.PoolInstanceMoved, event.Fields{"instance": m.Key(), "from": name, "to": instance.SparePool})
		return true
	}
	permit := pool.Permit{Instance: m.Key(), Reason: pool.ReasonMove, RequestedBy: moveRequestedBy, Boot: m.Value.Boot}
	granted, err := d.poolRow(name).Grant(p.Limits, permit)
	if err != nil {
		return false
	}
	next := m.Value
	next.State = instance.Leaving
	d.step.Pools[name] = granted
	d.addChange(m, next, event.PoolPermitGranted, event.Fields{"pool": name, "instance": m.Key(), "reason": "move"})
	return true
}
