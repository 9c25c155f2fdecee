package pool

import (
	"maps"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/rowset"
)

// Prefix is the prefix of the keys of pool rows.
const Prefix = "c/pool/"

// Reason says why an instance is out of service.
type Reason string

// The reasons for which an instance is out of service.
const (
	ReasonWave    Reason = "wave"
	ReasonMove    Reason = "move"
	ReasonFailure Reason = "failure"
)

// Permit allows one instance of the pool to be out of service.
type Permit struct {
	// Instance is the key of the instance's row.
	Instance string `json:"instance"`
	Reason   Reason `json:"reason"`
	// RequestedBy names the wave or move that asked.
	RequestedBy string `json:"by,omitempty"`
	// Boot is the instance's boot count when the permit was granted.
	Boot uint64 `json:"boot"`
}

// Record is the row of one pool.
type Record struct {
	// Name is "partner/pool".
	Name string `json:"name"`
	// Members is the number of instances in the pool.
	Members int `json:"members"`
	// Permits holds the permits by the key of the instance's row.
	Permits map[string]Permit `json:"down,omitempty"`
}

// Key returns the key of the row of the pool with the name.
func Key(name string) string { return Prefix + name }

// Grant returns the record with the permits for planned removals added.
// It fails with kind BudgetExceeded, granting none, if there is no room for all of them.
func (r Record) Grant(limits Limits, permits ...Permit) (Record, error) {
	next := r.clone()
	for _, permit := range permits {
		next.Permits[permit.Instance] = permit
	}
	added := len(next.Permits) - len(r.Permits)
	if added > r.RemainingBudget(limits) {
		return r, fault.New(fault.BudgetExceeded, "pool %s: %d out of service, %d allowed, %d kept for failures",
			r.Name, len(r.Permits), r.AllowedUnavailable(limits), limits.Reserve)
	}
	return next, nil
}

// WithFailed returns the record with permits for failed instances, which the budget can't refuse.
func (r Record) WithFailed(permits ...Permit) Record {
	next := r.clone()
	for _, permit := range permits {
		permit.Reason = ReasonFailure
		next.Permits[permit.Instance] = permit
	}
	return next
}

// WithPermit returns the record with the permit as it is, whatever the budget.
func (r Record) WithPermit(permit Permit) Record {
	next := r.clone()
	next.Permits[permit.Instance] = permit
	return next
}

// Release returns the record without the permits of the instances.
func (r Record) Release(instances ...string) Record {
	next := r.clone()
	for _, instance := range instances {
		delete(next.Permits, instance)
	}
	return next
}

func (r Record) clone() Record {
	next := r
	next.Permits = make(map[string]Permit, len(r.Permits)+1)
	maps.Copy(next.Permits, r.Permits)
	return next
}

// Versioned is a record with the version of its row.
type Versioned = rowset.Versioned[Record]

// Directory holds the pools by the keys of their rows; it belongs to one goroutine.
type Directory = rowset.Set[Record]

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return rowset.New[Record](Prefix) }

// Find returns the pool with the name; a pool without a row has no members and version 0.
func Find(directory *Directory, name string) Versioned {
	found, ok := directory.Get(Key(name))
	if !ok {
		found.Value.Name = name
	}
	return found
}
