package wave

import (
	"regexp"
	"slices"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// Prefix is the prefix of the keys of wave rows.
const Prefix = "c/wave/"

// State is the state of a wave.
type State string

// The states of a wave.
const (
	Running State = "running"
	Paused  State = "paused"
	Aborted State = "aborted"
	Done    State = "done"
)

// Record is the row of one wave; the rows of the instances show which it has maintained.
type Record struct {
	ID    string   `json:"id"`
	Pools []string `json:"pools"`
	State State    `json:"state"`
	// Author is the operator who last changed the wave's state.
	Author string `json:"author,omitempty"`
	// Instances is the number of instances in the pools when the wave was created or, once it is done, those
	// maintained.
	Instances int `json:"instances"`
	// Spares is the number of spare instances lent to each pool while the wave is unfinished.
	Spares map[string]int `json:"spares,omitempty"`
	// StartedMillis and EndedMillis are times by the clocks of the entries that wrote them.
	StartedMillis int64 `json:"started_unix_ms"`
	EndedMillis   int64 `json:"ended_unix_ms,omitempty"`
	// Lost lists the keys of the instances that were failed when the wave ended.
	Lost []string `json:"lost,omitempty"`
}

// Key returns the key of the row of the wave with the ID.
func Key(id string) string { return Prefix + id }

// Covers reports whether the wave maintains the pool.
func (r Record) Covers(pool string) bool { return slices.Contains(r.Pools, pool) }

// Unfinished reports whether the wave is running or paused.
func (r Record) Unfinished() bool { return r.State == Running || r.State == Paused }

// Versioned is a record with the version of its row.
type Versioned = rowset.Versioned[Record]

// Directory holds the waves by the keys of their rows; it belongs to one goroutine.
type Directory = rowset.Set[Record]

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return rowset.New[Record](Prefix) }

// LentSpares returns the number of spare instances lent to the pool: the largest number of any unfinished wave.
func LentSpares(directory *Directory, pool string) int {
	lent := 0
	for row := range directory.All {
		if row.Value.Unfinished() {
			lent = max(lent, row.Value.Spares[pool])
		}
	}
	return lent
}

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check fails with kind BadRequest, NotExist or Conflict if no wave with the ID and the pools can be created.
func Check(id string, pools []string, tree *settings.Tree, directory *Directory) error {
	if !idPattern.MatchString(id) {
		return fault.New(fault.BadRequest, "wave %q: the name must be 1 to 63 lower-case letters, digits and hyphens", id)
	}
	if len(pools) == 0 {
		return fault.New(fault.BadRequest, "wave %q has no pools", id)
	}
	err := CheckPools(tree, pools)
	if err != nil {
		return err
	}
	row, exists := directory.Get(Key(id))
	if exists {
		return fault.New(fault.Conflict, "wave %q already exists and is %s", id, row.Value.State)
	}
	return nil
}

// Create returns the transaction that stores a new wave; it conflicts if the row exists.
func Create(record Record) platform.Txn {
	return platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{{Key: Key(record.ID)}},
		Writes:     []platform.Write{rowset.Write(Key(record.ID), record)},
	}
}

// SetState returns the transaction that sets the state of the wave on behalf of an operator.
// It fails with kind Conflict if the wave is aborted or done.
func SetState(row Versioned, to State, author string, unixMillis int64) (platform.Txn, error) {
	next := row.Value
	if !next.Unfinished() {
		return platform.Txn{}, fault.New(fault.Conflict, "wave %q is %s", next.ID, next.State)
	}
	next.State = to
	next.Author = author
	if to == Aborted {
		next.EndedMillis = unixMillis
	}
	return platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{row.Condition()},
		Writes:     []platform.Write{row.Write(next)},
	}, nil
}
