package wave

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/settings"
)

// partnerPools holds the pools of one partner in a wave. The cost of time counts once, for the longest of their
// roll-outs.
type partnerPools struct {
	pools []Pool
	// instances holds the number of instances by pool.
	instances map[string]int
}

// allocation is one way to lend spares to a partner's pools, with the resulting plans and cost.
type allocation struct {
	plans  []PoolPlan
	spares int
	cost   float64
}

// allocateSpares divides the spare instances among the partners. The partner that saves the most cost per spare is
// served first; each gets, of the spares that remain, the number with which its cost is lowest.
func allocateSpares(pools []Pool, instances map[string]int, spares int) []allocation {
	type candidate struct {
		partner        settings.Path
		savingPerSpare float64
	}
	partners := groupByPartner(pools, instances)
	var candidates []candidate
	for _, partner := range slices.Sorted(maps.Keys(partners)) {
		best := partners[partner].cheapest(spares)
		savingPerSpare := 0.0
		if best.spares > 0 {
			savingPerSpare = (partners[partner].allocationWithin(0).cost - best.cost) / float64(best.spares)
		}
		candidates = append(candidates, candidate{partner, savingPerSpare})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.savingPerSpare, a.savingPerSpare) })
	var allocations []allocation
	for _, c := range candidates {
		best := partners[c.partner].cheapest(spares)
		spares -= best.spares
		allocations = append(allocations, best)
	}
	return allocations
}

func groupByPartner(pools []Pool, instances map[string]int) map[settings.Path]partnerPools {
	partners := make(map[settings.Path]partnerPools)
	for _, p := range pools {
		partner := settings.Path(p.Name).Parent()
		group := partners[partner]
		group.instances = instances
		group.pools = append(group.pools, p)
		partners[partner] = group
	}
	return partners
}

// cheapest returns the allocation with the lowest cost that lends at most limit spares.
func (p partnerPools) cheapest(limit int) allocation {
	best := p.allocationWithin(0)
	for _, rollOut := range p.shorterRollOuts() {
		candidate := p.allocationWithin(rollOut)
		if candidate.spares <= limit && candidate.cost < best.cost {
			best = candidate
		}
	}
	return best
}

// shorterRollOuts returns the roll-out times that spares can achieve, longest first.
func (p partnerPools) shorterRollOuts() []time.Duration {
	var times []time.Duration
	for _, pool := range p.pools {
		if pool.Allowed == 0 {
			continue
		}
		for steps := ceilDiv(p.instances[pool.Name], pool.Allowed) - 1; steps > 0; steps-- {
			times = append(times, time.Duration(steps)*pool.StepTime)
		}
	}
	slices.Sort(times)
	slices.Reverse(times)
	return slices.Compact(times)
}

// allocationWithin returns the allocation that lends each pool the fewest spares with which it finishes within the
// roll-out time; a roll-out time of 0 means no spares.
func (p partnerPools) allocationWithin(rollOut time.Duration) allocation {
	result := allocation{}
	var longest time.Duration
	var timeWeight float64
	for _, pool := range p.pools {
		spares := 0
		if rollOut > 0 {
			spares = pool.sparesNeeded(p.instances[pool.Name], int(rollOut/pool.StepTime))
		}
		plan := pool.plan(p.instances[pool.Name], spares)
		result.plans = append(result.plans, plan)
		result.spares += spares
		longest = max(longest, plan.RollOut)
		timeWeight = max(timeWeight, pool.Weights.Time)
		result.cost += pool.Weights.Move*float64(plan.Moves) + pool.Weights.Buffer*plan.BufferHours
	}
	result.cost += timeWeight * longest.Hours()
	return result
}

// sparesNeeded returns the number of spares with which the instances and the spares are maintained in at most maxSteps
// steps, or unattainableSpares if no number is enough. In a single step spares don't help, since they are maintained
// too.
func (p Pool) sparesNeeded(instances, maxSteps int) int {
	missing := instances - maxSteps*p.Allowed
	switch {
	case missing <= 0 || p.Allowed == 0:
		return 0
	case maxSteps < 2:
		return unattainableSpares
	default:
		return ceilDiv(missing, maxSteps-1)
	}
}

// unattainableSpares is a number of spares that no fleet has.
const unattainableSpares = 1 << 20
