package repair

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

// Member is one instance as a decision sees it.
type Member struct {
	instance.Versioned
	// Line is what the instance list says, if Listed.
	Line   platform.Listed
	Listed bool
	// DownAge is the time for which this entry has seen the list show the instance as down.
	DownAge time.Duration
	// Age is the time for which this entry has known the instance's row as it is.
	Age time.Duration
	// InUse reports that an entry has requests in flight to the instance.
	InUse bool
	// Blocked reports that the instance may not begin to leave, since an entry that may use it isn't heard.
	Blocked bool
}

// Pool is one pool as a decision sees it.
type Pool struct {
	pool.Versioned
	Limits pool.Limits
	// Lent is the number of spare instances that unfinished waves lend to the pool.
	Lent         int
	FailureDelay time.Duration
	ReplaceDelay time.Duration
	// Members holds the pool's instances, by key.
	Members []Member
}

// missing returns how many instances the pool lacks, negative for a surplus.
func (p Pool) missing() int { return p.Limits.Desired + p.Lent - p.Value.Members }

// Fleet is what a decision is made from.
type Fleet struct {
	// Pools holds every pool with a row or a node in the tree, and the spare one.
	Pools map[string]Pool
	// Unknown holds the listed instances that have no row, by key.
	Unknown []platform.Listed
	// Waves holds the names of the unfinished waves.
	Waves []string
}

// Change is one change of an instance's row.
type Change struct {
	// Before has version 0 for an instance without a row.
	Before instance.Versioned
	Next   instance.Record
	Event  event.ID
	Fields event.Fields
}

// Step is what one transaction is to do.
type Step struct {
	Changes []Change
	// Pools holds the pools' rows after the changes, by name.
	Pools map[string]pool.Record
	// Repaired holds the pools whose rows didn't agree with their instances, by name.
	Repaired []string
}

// Empty reports that there is nothing to do.
func (s Step) Empty() bool { return len(s.Changes) == 0 && len(s.Pools) == 0 }

// Survey collects what a decision is made from; fill completes each member with what isn't in the view.
func Survey(view *fleet.View, fill func(*Member)) *Fleet {
	f := &Fleet{Pools: make(map[string]Pool)}
	members := make(map[string][]Member)
	for found := range view.Inventory().All {
		m := Member{Versioned: found, Age: time.Since(found.Seen())}
		m.Line, m.Listed = view.List().Get(found.Key())
		fill(&m)
		members[found.Value.Pool] = append(members[found.Value.Pool], m)
	}
	for key, line := range view.List().All {
		_, known := view.Inventory().Get(key)
		if !known {
			f.Unknown = append(f.Unknown, line)
		}
	}
	slices.SortFunc(f.Unknown, func(a, b platform.Listed) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	for found := range view.Waves().All {
		if found.Value.Unfinished() {
			f.Waves = append(f.Waves, found.Value.ID)
		}
	}
	for name := range names(view, members) {
		f.Pools[name] = poolOf(view, name, members[name])
	}
	return f
}

// names returns the names of all pools that anything knows of.
func names(view *fleet.View, members map[string][]Member) map[string]bool {
	all := map[string]bool{instance.SparePool: true}
	for name := range members {
		all[name] = true
	}
	for found := range view.Pools().All {
		all[found.Value.Name] = true
	}
	for _, path := range view.Settings().Tree.Below("", settings.LevelPool) {
		all[string(path)] = true
	}
	return all
}

func poolOf(view *fleet.View, name string, members []Member) Pool {
	tree := view.Settings().Tree
	path := settings.Path(name)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Key(), b.Key()) })
	return Pool{
		Versioned: pool.Find(view.Pools(), name), Limits: pool.LimitsOf(tree, name), Lent: wave.LentSpares(view.Waves(), name),
		FailureDelay: tree.Duration(path, settings.FailureDelay), ReplaceDelay: tree.Duration(path, settings.ReplaceDelay),
		Members: members,
	}
}

// ordered returns the names of the pools in order.
func (f *Fleet) ordered() []string { return slices.Sorted(maps.Keys(f.Pools)) }
