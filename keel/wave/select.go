package wave

import (
	"cmp"
	"maps"
	"slices"
)

// rackGroup holds the candidates of one rack.
type rackGroup struct {
	rack    rack
	members []Member
	// out is the number of instances of the rack, of any pool, that are out of service already.
	out int
}

// selectCandidates selects at most limit candidates, whole racks first. It leaves the pool at least one instance in
// service in each data centre where it has several that haven't failed. It decrements inService, the number of
// instances in service by data centre, for each one selected.
func selectCandidates(candidates []Member, limit int, inService, notFailed map[string]int) []Member {
	var selected []Member
	for _, g := range groupByRack(candidates, limit) {
		for _, member := range g.members {
			dataCentre := member.Value.DataCentre
			isLast := inService[dataCentre] == 1 && notFailed[dataCentre] > 1
			if len(selected) == limit || isLast {
				continue
			}
			inService[dataCentre]--
			selected = append(selected, member)
		}
	}
	return selected
}

// groupByRack returns the candidates grouped by rack: first racks with instances out of service already, then those
// that fit into limit as a whole, then the others; within each of these, larger groups come first.
func groupByRack(candidates []Member, limit int) []rackGroup {
	byRack := make(map[rack]rackGroup)
	for _, member := range candidates {
		key := rack{member.Value.DataCentre, member.Value.Rack}
		g := byRack[key]
		g.rack = key
		g.out = member.RackOut
		g.members = append(g.members, member)
		byRack[key] = g
	}
	priority := func(g rackGroup) int {
		switch {
		case g.out > 0:
			return 0
		case len(g.members) <= limit:
			return 1
		default:
			return 2
		}
	}
	return slices.SortedFunc(maps.Values(byRack), func(a, b rackGroup) int {
		return cmp.Or(
			cmp.Compare(priority(a), priority(b)),
			cmp.Compare(len(b.members), len(a.members)),
			cmp.Compare(a.rack.dataCentre, b.rack.dataCentre),
			cmp.Compare(a.rack.name, b.rack.name),
		)
	})
}
