package wave

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/settings"
)

// Member is the input of a decision about one instance of a pool.
type Member struct {
	instance.Versioned
	// Listing is the instance's state in the platform's instance list; it is zero for an instance that isn't listed.
	Listing platform.Listing
	// Busy is the reason why a leaving instance may still be in use, empty if it is unused.
	Busy string
	// Blocked is the reason why the instance may not start leaving, empty if it may.
	Blocked string
	// StateAge is the time since this entry first saw the instance in its state.
	StateAge time.Duration
	// RebootRequested reports that a reboot may have been requested, by this or an earlier holder of the duty.
	RebootRequested bool
	// RebootAccepted reports that the platform accepted this entry's request for a reboot.
	RebootAccepted bool
	// RebootAcceptedAge is the time since then.
	RebootAcceptedAge time.Duration
	// SeenDown reports that the list has shown the instance as down since the platform accepted the request.
	SeenDown bool
	// RackOut is the number of instances of the rack, of any pool, that are out of service.
	RackOut int
	// IdleConditions holds the transaction conditions that make a commit fail if a task runs on the instance.
	IdleConditions []platform.Condition
}

// Snapshot is the input of the next decision for one pool.
type Snapshot struct {
	Pool   pool.Versioned
	Limits pool.Limits
	// Waves holds the unfinished waves that cover the pool, ordered by ID.
	Waves []Versioned
	// Members holds the pool's instances, ordered by key.
	Members []Member
	// ReturnTimeout is the time after which an instance that hasn't come back from its reboot counts as failed.
	ReturnTimeout time.Duration
	// DrainTimeout is the time after which the removal of a leaving instance that is still in use is cancelled.
	DrainTimeout time.Duration
	// ListLag is the maximum lag of the instance list.
	ListLag time.Duration
}

// View is the part of the fleet's state that decisions read.
type View interface {
	Inventory() *instance.Inventory
	Pools() *pool.Directory
	Settings() *settings.State
	Waves() *Directory
	InstanceList() *instance.List
	// Through returns the table version up to which the rows have been read.
	Through() uint64
}

// Snapshots returns the snapshots of the pools with an unfinished wave or a planned removal, ordered by pool name.
// It calls annotate for each member, to add what isn't in the view.
func Snapshots(view View, annotate func(*Member)) []Snapshot {
	affected := affectedPools(view)
	if len(affected) == 0 {
		return nil
	}
	members := make(map[string][]Member)
	outOfService := make(map[rack]int)
	for row := range view.Inventory().All {
		if row.Value.State != instance.InService {
			outOfService[rack{row.Value.DataCentre, row.Value.Rack}]++
		}
		if affected[row.Value.Pool] {
			listing, _ := view.InstanceList().Get(row.Key())
			members[row.Value.Pool] = append(members[row.Value.Pool], Member{Versioned: row, Listing: listing})
		}
	}
	snapshots := make([]Snapshot, 0, len(affected))
	for name := range affected {
		s := newSnapshot(view, name, members[name])
		for i := range s.Members {
			s.Members[i].RackOut = outOfService[rack{s.Members[i].Value.DataCentre, s.Members[i].Value.Rack}]
			annotate(&s.Members[i])
		}
		snapshots = append(snapshots, s)
	}
	slices.SortFunc(snapshots, func(a, b Snapshot) int { return cmp.Compare(a.Pool.Key(), b.Pool.Key()) })
	return snapshots
}

// affectedPools returns the names of the pools with an unfinished wave or a planned removal.
func affectedPools(view View) map[string]bool {
	names := make(map[string]bool)
	for row := range view.Waves().All {
		if row.Value.Unfinished() {
			for _, name := range row.Value.Pools {
				names[name] = true
			}
		}
	}
	for row := range view.Pools().All {
		for _, permit := range row.Value.Permits {
			if permit.Reason != pool.ReasonFailure {
				names[row.Value.Name] = true
			}
		}
	}
	return names
}

func newSnapshot(view View, name string, members []Member) Snapshot {
	tree := view.Settings().Tree
	path := settings.Path(name)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Key(), b.Key()) })
	s := Snapshot{
		Pool: pool.Find(view.Pools(), name), Limits: pool.LimitsOf(tree, name), Members: members,
		ReturnTimeout: tree.Duration(path, settings.WaveReturnTimeout),
		DrainTimeout:  tree.Duration(path, settings.WaveDrainTimeout),
		ListLag:       tree.Duration(path, settings.WaveListLag),
	}
	for row := range view.Waves().All {
		if row.Value.Unfinished() && row.Value.Covers(name) {
			s.Waves = append(s.Waves, row)
		}
	}
	slices.SortFunc(s.Waves, func(a, b Versioned) int { return cmp.Compare(a.Key(), b.Key()) })
	return s
}
