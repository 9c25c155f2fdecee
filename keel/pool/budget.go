package pool

import (
	"samphirekeel.example/keel/settings"
)

const hundredPercent = 100

// Limits are the size and the availability budget that the settings define for one pool, in instances.
type Limits struct {
	// Desired is the number of instances that the pool should have.
	Desired int `json:"desired"`
	// MaxUnavailable is the number of instances that may be out of service or missing at once.
	MaxUnavailable int `json:"max_unavailable"`
	// Reserve is the part of MaxUnavailable that is reserved for failures; planned removals don't use it.
	Reserve int `json:"reserve"`
}

// LimitsOf returns the effective limits of the pool with the name. If MaxUnavailable is set both as a number and as a
// percentage, the one set further down the tree applies, and the smaller one if both are set at the same level.
func LimitsOf(tree *settings.Tree, name string) Limits {
	path := settings.Path(name)
	limits := Limits{
		Desired:        tree.Int(path, settings.PoolInstances),
		MaxUnavailable: tree.Int(path, settings.MaxUnavailable),
		Reserve:        tree.Int(path, settings.FailureReserve),
	}
	_, exists := tree.Node(path)
	if !exists {
		// A pool that was removed from the tree releases all its instances, even if a level above sets a number.
		limits.Desired = 0
	}
	percent := tree.Int(path, settings.MaxUnavailablePercent)
	if percent == 0 {
		return limits
	}
	fromPercent := limits.Desired * percent / hundredPercent
	countDepth := settingDepth(tree.Effective(path, settings.MaxUnavailable))
	percentDepth := settingDepth(tree.Effective(path, settings.MaxUnavailablePercent))
	if percentDepth > countDepth || percentDepth == countDepth && fromPercent < limits.MaxUnavailable {
		limits.MaxUnavailable = fromPercent
	}
	return limits
}

// settingDepth returns the level of the tree at which a value was set, -1 for a default.
func settingDepth(source settings.EffectiveValue) int {
	if source.Default {
		return -1
	}
	return int(source.From.Level())
}

// AllowedUnavailable returns how many members may be out of service: members missing from Desired reduce the number,
// surplus ones add to it.
func (r Record) AllowedUnavailable(limits Limits) int {
	return max(0, limits.MaxUnavailable+r.Members-limits.Desired)
}

// RemainingBudget returns how many more members may be taken out of service by planned removals.
func (r Record) RemainingBudget(limits Limits) int {
	return max(0, r.AllowedUnavailable(limits)-limits.Reserve-len(r.Permits))
}

// Excess returns by how many the members out of service exceed AllowedUnavailable.
func (r Record) Excess(limits Limits) int {
	return max(0, len(r.Permits)-r.AllowedUnavailable(limits))
}
