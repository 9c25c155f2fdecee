package instance

import "samphirekeel.example/keel/platform"

// List is this process's copy of the platform's instance list, which lags behind; it belongs to one goroutine.
type List struct {
	instances map[string]platform.Listing
	through   map[string]uint64
	// changes counts the listed instances that Apply has stored.
	changes uint64
}

// NewList returns an empty list.
func NewList() *List {
	return &List{instances: make(map[string]platform.Listing), through: make(map[string]uint64)}
}

// Through returns the sequence number from which to request the next changes of the data centre's list.
func (l *List) Through(dataCentre string) uint64 { return l.through[dataCentre] }

// Changes returns a number that grows with each listed instance that Apply stores.
func (l *List) Changes() uint64 { return l.changes }

// Apply stores the changed instances of a data centre's list; an older version never replaces a newer one.
func (l *List) Apply(dataCentre string, result platform.ListResult) {
	for _, listed := range result.Instances {
		key := Key(listed.DataCentre, listed.ID)
		if listed.Changed >= l.instances[key].Changed {
			l.instances[key] = listed
			l.changes++
		}
	}
	l.through[dataCentre] = max(l.through[dataCentre], result.Through)
}

// Get returns the listed instance with the key, and false if there is none.
func (l *List) Get(key string) (platform.Listing, bool) {
	listed, ok := l.instances[key]
	return listed, ok
}

// All calls visit for each listed instance, in no order, until it returns false.
func (l *List) All(visit func(key string, listed platform.Listing) bool) {
	for key, listed := range l.instances {
		if !visit(key, listed) {
			return
		}
	}
}
