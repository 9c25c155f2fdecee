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

// Member is the input of a decision about one instance.
type Member struct {
	instance.Versioned
	// Listing is the instance's state in the platform's instance list, if Listed.
	Listing platform.Listing
	Listed  bool
	// DownAge is the time since this entry first saw the instance listed as down, 0 if it isn't.
	DownAge time.Duration
	// RowAge is the time since this entry read the present version of the instance's row.
	RowAge time.Duration
	// InUse reports that an entry has requests in flight to the instance.
	InUse bool
	// Blocked reports that the instance may not start leaving, since an entry of its data centre has stopped reporting.
	Blocked bool
}

// Pool is the input of a decision about one pool.
type Pool struct {
	pool.Versioned
	Limits pool.Limits
	// Lent is the number of spare instances that unfinished waves lend to the pool.
	Lent         int
	FailureDelay time.Duration
	ReplaceDelay time.Duration
	// Members holds the pool's instances, ordered by key.
	Members []Member
}

// shortage returns the number of instances that the pool is short of, negative for a surplus.
func (p Pool) shortage() int { return p.Limits.Desired + p.Lent - p.Value.Members }

// Snapshot is the input of a decision.
type Snapshot struct {
	// Pools holds, by name, every pool with a row, an instance or a node in the settings tree, and the spare pool.
	Pools map[string]Pool
	// Unregistered holds the listed instances that have no row, ordered by data centre and ID.
	Unregistered []platform.Listing
	// Waves holds the IDs of the unfinished waves.
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

// Step holds the changes of one transaction.
type Step struct {
	Changes []Change
	// Pools holds the pools' rows after the changes, by name.
	Pools map[string]pool.Record
	// Repaired holds the names of the pools whose rows didn't match their instances.
	Repaired []string
}

// Empty reports whether the step changes nothing.
func (s Step) Empty() bool { return len(s.Changes) == 0 && len(s.Pools) == 0 }

// NewSnapshot returns the snapshot of the view. It calls annotate for each member, to add what isn't in the view.
func NewSnapshot(view *fleet.View, annotate func(*Member)) *Snapshot {
	snapshot := &Snapshot{Pools: make(map[string]Pool)}
	members := make(map[string][]Member)
	for row := range view.Inventory().All {
		m := Member{Versioned: row, RowAge: time.Since(row.ObservedAt())}
		m.Listing, m.Listed = view.InstanceList().Get(row.Key())
		annotate(&m)
		members[row.Value.Pool] = append(members[row.Value.Pool], m)
	}
	for key, listing := range view.InstanceList().All {
		_, registered := view.Inventory().Get(key)
		if !registered {
			snapshot.Unregistered = append(snapshot.Unregistered, listing)
		}
	}
	slices.SortFunc(snapshot.Unregistered, func(a, b platform.Listing) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	for row := range view.Waves().All {
		if row.Value.Unfinished() {
			snapshot.Waves = append(snapshot.Waves, row.Value.ID)
		}
	}
	for name := range poolNames(view, members) {
		snapshot.Pools[name] = newPool(view, name, members[name])
	}
	return snapshot
}

// poolNames returns the names of the pools with a row, an instance or a node in the settings tree, and of the spare
// pool.
func poolNames(view *fleet.View, members map[string][]Member) map[string]bool {
	names := map[string]bool{instance.SparePool: true}
	for name := range members {
		names[name] = true
	}
	for row := range view.Pools().All {
		names[row.Value.Name] = true
	}
	for _, path := range view.Settings().Tree.Below("", settings.LevelPool) {
		names[string(path)] = true
	}
	return names
}

func newPool(view *fleet.View, name string, members []Member) Pool {
	tree := view.Settings().Tree
	path := settings.Path(name)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Key(), b.Key()) })
	return Pool{
		Versioned: pool.Find(view.Pools(), name), Limits: pool.LimitsOf(tree, name), Lent: wave.LentSpares(view.Waves(), name),
		FailureDelay: tree.Duration(path, settings.FailureDelay), ReplaceDelay: tree.Duration(path, settings.ReplaceDelay),
		Members: members,
	}
}

func (s *Snapshot) sortedPoolNames() []string { return slices.Sorted(maps.Keys(s.Pools)) }
