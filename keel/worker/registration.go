package worker

import (
	"time"

	"samphirekeel.example/keel/work"
)

// Registration is what a worker says of itself in the store.
type Registration struct {
	// ID names this boot of the instance; it is never used again.
	ID string
	// Pool names the pool that the worker serves.
	Pool    string
	Address string
	// DataCentre is where the worker is, Rack the rack among its labels, empty for none.
	DataCentre string
	Labels     []string
	Rack       string
	Capacity   work.Size
	// Draining reports that the worker takes no new tasks; Remaining is the least time that it stays.
	Draining      bool
	RemainingTime time.Duration
	// Clock is the worker's own clock when it wrote the registration.
	Clock time.Duration
	// Instance names the instance that the worker is a boot of, empty if the registration doesn't say.
	Instance string
	// Sequence grows with each registration of the worker.
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
