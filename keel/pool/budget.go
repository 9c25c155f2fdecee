package pool

import (
	"samphirekeel.example/keel/settings"
)

// hundred is the whole of a percentage.
const hundred = 100

// Limits are what the settings ask of one pool.
type Limits struct {
	// Desired is the number of instances that the pool is to have.
	Desired int `json:"desired"`
	// MaxUnavailable is the number of instances that may be out of service or missing at once.
	MaxUnavailable int `json:"max_unavailable"`
	// Reserve is the part of MaxUnavailable that planned removals leave free.
	Reserve int `json:"reserve"`
}

// LimitsOf returns the limits in force for the pool with the name.
func LimitsOf(tree *settings.Tree, name string) Limits {
	path := settings.Path(name)
	limits := Limits{
		Desired:        tree.Int(path, settings.PoolInstances),
		MaxUnavailable: tree.Int(path, settings.MaxUnavailable),
		Reserve:        tree.Int(path, settings.FailureReserve),
	}
	_, exists := tree.Node(path)
	if !exists {
		// A pool that was removed from the tree gives back its instances, whatever the level above says.
		limits.Desired = 0
	}
	percent := tree.Int(path, settings.MaxUnavailablePercent)
	if percent == 0 {
		return limits
	}
	share := limits.Desired * percent / hundred
	asCount := depth(tree.Effective(path, settings.MaxUnavailable))
	asPercent := depth(tree.Effective(path, settings.MaxUnavailablePercent))
	if asPercent > asCount || asPercent == asCount && share < limits.MaxUnavailable {
		limits.MaxUnavailable = share
	}
	return limits
}

// depth returns how far down the tree a value was set, -1 for a default.
func depth(source settings.EffectiveValue) int {
	if source.Default {
		return -1
	}
	return int(source.From.Level())
}

// AllowedUnavailable returns how many members may be out of service: missing members use up the budget, surplus ones add to it.
func (r Record) AllowedUnavailable(limits Limits) int {
	return max(0, limits.MaxUnavailable+r.Members-limits.Desired)
}

// RemainingBudget returns how many more members may be taken out of service as planned.
func (r Record) RemainingBudget(limits Limits) int {
	return max(0, r.AllowedUnavailable(limits)-limits.Reserve-len(r.Permits))
}

// Excess returns by how many the members out of service exceed what is allowed.
func (r Record) Excess(limits Limits) int {
	return max(0, len(r.Permits)-r.AllowedUnavailable(limits))
}
