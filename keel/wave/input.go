package wave

import (
	"slices"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/settings"
)

// Input is what a plan is made from: a tree of settings, an inventory and the pools of the wave.
type Input struct {
	Tree    *settings.Tree
	Members []instance.Record
	// Names lists the pools of the wave; nil selects every pool but the spare pool.
	Names []string
}

// Check fails with kind NotExist if a pool of the wave isn't in the tree, and with kind BadRequest if one is listed
// twice.
func (in Input) Check() error { return CheckPools(in.Tree, in.Names) }

// CheckPools fails with kind NotExist if a pool isn't in the tree, and with kind BadRequest if one is listed twice.
func CheckPools(tree *settings.Tree, names []string) error {
	seen := make(map[string]bool)
	for _, name := range names {
		if seen[name] {
			return fault.New(fault.BadRequest, "pool %q is listed twice", name)
		}
		seen[name] = true
		_, exists := tree.Node(settings.Path(name))
		isPool := exists && settings.Path(name).Level() == settings.LevelPool
		if !isPool && name != instance.SparePool {
			return fault.New(fault.NotExist, "pool %q does not exist", name)
		}
	}
	return nil
}

// PlanPools returns the planner's input for each pool of the wave.
func (in Input) PlanPools() []Pool {
	members := make(map[string]int)
	for _, member := range in.Members {
		members[member.Pool]++
	}
	names := in.Names
	if names == nil {
		for _, path := range in.Tree.Below("", settings.LevelPool) {
			names = append(names, string(path))
		}
	}
	return PoolsOf(in.Tree, names, members)
}

// Spares returns the number of spare instances that may be lent: those in service, or 0 if the wave covers the spare
// pool.
func (in Input) Spares() int {
	if slices.Contains(in.Names, instance.SparePool) {
		return 0
	}
	spares := 0
	for _, member := range in.Members {
		if member.Pool == instance.SparePool && member.State == instance.InService {
			spares++
		}
	}
	return spares
}

// Plan returns the plan of the wave.
func (in Input) Plan() Plan { return NewPlan(in.PlanPools(), in.Members, in.Spares()) }
