package instance

import (
	"strings"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// Prefix is the key prefix of instance rows.
const Prefix = "c/instance/"

// SparePool is the pool of the instances that belong to no other pool.
const SparePool = "spare/spare"

// State is the state of an instance within its pool.
type State string

// The states of an instance.
const (
	// InService instances serve their pool.
	InService State = "held"
	// Leaving instances are given no new work.
	Leaving State = "leaving"
	// Drained instances have no work and may be rebooted or moved.
	Drained State = "drained"
	// Failed instances went out of service without a planned removal.
	Failed State = "failed"
)

// Record is the row of one instance.
type Record struct {
	ID          string        `json:"id"`
	DataCentre  string        `json:"data_centre"`
	Rack        string        `json:"rack"`
	Address     string        `json:"address"`
	Size        platform.Size `json:"size"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	// Pool is the one pool that the instance belongs to, as "partner/pool".
	Pool  string `json:"pool"`
	State State  `json:"state"`
	// Boot is the boot count with which the instance was last observed in service.
	Boot uint64 `json:"boot"`
	// Waves lists the unfinished waves that have maintained the instance.
	Waves []string `json:"waves,omitempty"`
}

// Key returns the key of the instance's row.
func Key(dataCentre, id string) string { return Prefix + dataCentre + "/" + id }

// DataCentreOf returns the data centre in the key of an instance's row.
func DataCentreOf(key string) string {
	dataCentre, _, _ := strings.Cut(strings.TrimPrefix(key, Prefix), "/")
	return dataCentre
}

// Key returns the key of the record's row.
func (r Record) Key() string { return Key(r.DataCentre, r.ID) }

// Serving reports whether the instance may be given new work.
func (r Record) Serving() bool { return r.State == InService }

// Versioned is a record with the version of its row.
type Versioned = rowset.Versioned[Record]

// Inventory holds the instances by the keys of their rows; it belongs to one goroutine.
type Inventory = rowset.Set[Record]

// NewInventory returns an empty inventory.
func NewInventory() *Inventory { return rowset.New[Record](Prefix) }
