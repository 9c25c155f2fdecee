package worker

import (
	"time"

	"samphirekeel.example/keel/work"
)

// Registration is the row in which a worker describes itself in the store.
type Registration struct {
	// ID identifies the worker. Where Started is 0, each boot of the instance has another one, which is never reused.
	ID string
	// Started is when the worker booted under its ID, in milliseconds since 1970, 0 if the registration doesn't contain it.
	Started int64
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

// Boot returns the boot that wrote the registration.
func (r *Registration) Boot() Boot { return Boot{ID: r.ID, Started: r.Started} }

// HasLabel reports whether the worker has the label.
func (r *Registration) HasLabel(label string) bool {
	for _, l := range r.Labels {
		if l == label {
			return true
		}
	}
	return false
}
