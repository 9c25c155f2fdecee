package repair

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

// maxRemovalAge is the time after which Report lists an instance that is still leaving or drained.
const maxRemovalAge = 30 * time.Minute

// Discrepancy is a mismatch between rows, instance list, settings and usage, or a failed instance.
type Discrepancy struct {
	Pool     string `json:"pool,omitempty"`
	Instance string `json:"instance,omitempty"`
	Text     string `json:"text"`
}

// reporter collects discrepancies.
type reporter struct {
	*Snapshot
	tree          *settings.Tree
	discrepancies []Discrepancy
}

// Report returns the discrepancies in the view, ordered by pool and instance.
func Report(view *fleet.View) []Discrepancy {
	inUse := make(map[string]bool)
	for heartbeat := range view.Heartbeats().All {
		for key, n := range heartbeat.InFlight {
			inUse[key] = inUse[key] || n > 0
		}
	}
	snapshot := NewSnapshot(view, func(m *Member) { m.InUse = inUse[m.Key()] })
	r := &reporter{Snapshot: snapshot, tree: view.Settings().Tree}
	for _, listing := range snapshot.Unregistered {
		r.add("", instance.Key(listing.DataCentre, listing.ID), "it is listed as %s but has no row", listing.Liveness)
	}
	dataCentres := make(map[string]string)
	for _, name := range snapshot.sortedPoolNames() {
		r.checkPool(name)
		for _, m := range snapshot.Pools[name].Members {
			r.checkMember(name, m)
			other, duplicate := dataCentres[m.Value.ID]
			if duplicate {
				r.add(name, m.Key(), "data centre %s has an instance with the same ID", other)
			}
			dataCentres[m.Value.ID] = m.Value.DataCentre
		}
	}
	slices.SortStableFunc(r.discrepancies, func(a, b Discrepancy) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Instance, b.Instance))
	})
	return r.discrepancies
}

func (r *reporter) add(pool, key, format string, args ...any) {
	r.discrepancies = append(r.discrepancies, Discrepancy{Pool: pool, Instance: key, Text: fmt.Sprintf(format, args...)})
}

func (r *reporter) checkPool(name string) {
	p := r.Pools[name]
	if p.Value.Members != len(p.Members) {
		r.add(name, "", "its row counts %d instances, but %d belong to it", p.Value.Members, len(p.Members))
	}
	_, known := r.tree.Node(settings.Path(name))
	if !known && name != instance.SparePool {
		r.add(name, "", "it has instances but is not in the settings tree")
	}
	if name != instance.SparePool && p.shortage() > 0 {
		r.add(name, "", "it is short of %d instances", p.shortage())
	}
	keys := make(map[string]bool)
	for _, m := range p.Members {
		keys[m.Key()] = true
	}
	for key := range p.Value.Permits {
		if !keys[key] {
			r.add(name, key, "it has a permit but does not belong to the pool")
		}
	}
}

func (r *reporter) checkMember(name string, m Member) {
	_, permitted := r.Pools[name].Value.Permits[m.Key()]
	out := m.Value.State == instance.Leaving || m.Value.State == instance.Drained
	switch {
	case !m.Listed:
		r.add(name, m.Key(), "it has a row but is not in the instance list")
	case m.Value.State == instance.InService && m.Listing.Liveness != platform.Live:
		r.add(name, m.Key(), "its row is in service, but the instance list reports it as %s", m.Listing.Liveness)
	}
	if permitted != (m.Value.State != instance.InService) {
		r.add(name, m.Key(), "its state is %s, has permit: %t", m.Value.State, permitted)
	}
	if m.Value.State == instance.Failed {
		r.add(name, m.Key(), "it has failed")
	}
	if out && m.RowAge > maxRemovalAge {
		r.add(name, m.Key(), "it has been %s for %s", m.Value.State, m.RowAge.Round(time.Minute))
	}
	if m.InUse && m.Value.State == instance.Drained {
		r.add(name, m.Key(), "it is drained, but an entry has requests in flight to it")
	}
}
