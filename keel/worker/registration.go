package worker

import (
	"time"

	"samphirekeel.example/keel/work"
)

// Registration is the row in which a worker describes itself in the store.
type Registration struct {
	// ID identifies this boot of the instance and is never reused.
	ID string
	// Pool is the name of the pool that the worker belongs to.
	Pool       string
	Address    string
	DataCentre string
	Labels     []string
	// Rack is the rack among the labels, empty for none.
	Rack string
	// Capacity is the worker's total resources.
	Capacity work.Size
	// Draining reports that the worker accepts no new tasks; RemainingTime is the minimum time until it shuts down.
	Draining      bool
	RemainingTime time.Duration
	// Clock is the worker's own clock at the time of the registration.
	Clock time.Duration
	// Instance is the name of the booted instance, empty if the registration doesn't contain it.
	Instance string
	// Sequence rises with each registration of the worker.
	Sequence uint64
}

// HasLabel reports whether the worker has the label.
func (r *Registration) HasLabel(label string) bool {
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}
