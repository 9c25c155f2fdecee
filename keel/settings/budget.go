package settings

import "samphirekeel.example/keel/fault"

// checkBudgets fails with kind InvalidSetting if a pool at or below one of the paths would have an availability budget
// greater than its number of instances.
func (t *Tree) checkBudgets(paths []Path) error {
	for _, pool := range t.Below("", LevelPool) {
		if !coveredByAny(paths, pool) {
			continue
		}
		instances := t.Int(pool, PoolInstances)
		budget := t.Effective(pool, MaxUnavailable)
		if budget.Default || instances == 0 || t.Int(pool, MaxUnavailable) <= instances {
			continue
		}
		return fault.New(fault.InvalidSetting, "%q: %s: %s, set at %q, is more than the pool's %d instances (%s)",
			pool, MaxUnavailable, budget.Value, budget.From, instances, PoolInstances)
	}
	return nil
}

func coveredByAny(paths []Path, path Path) bool {
	for _, above := range paths {
		if above.Covers(path) {
			return true
		}
	}
	return false
}
