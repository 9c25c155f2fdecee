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

// longOut is the time after which an instance that is leaving or drained is reported.
const longOut = 30 * time.Minute

// Discrepancy is one thing in which rows, instance list, settings and use don't agree.
type Discrepancy struct {
	Pool     string `json:"pool,omitempty"`
	Instance string `json:"instance,omitempty"`
	Text     string `json:"text"`
}

// reporter collects oddities.
type reporter struct {
	*Fleet
	tree  *settings.Tree
	found []Discrepancy
}

// Report lists what is odd, by pool and instance.
func Report(view *fleet.View) []Discrepancy {
	inUse := make(map[string]bool)
	for beat := range view.Words().All {
		for key, n := range beat.Busy {
			inUse[key] = inUse[key] || n > 0
		}
	}
	f := Survey(view, func(m *Member) { m.InUse = inUse[m.Key()] })
	r := &reporter{Fleet: f, tree: view.Settings().Tree}
	for _, line := range f.Unknown {
		r.add("", instance.Key(line.DataCentre, line.ID), "it is listed as %s and has no row", line.Liveness)
	}
	homes := make(map[string]string)
	for _, name := range f.ordered() {
		r.pool(name)
		for _, m := range f.Pools[name].Members {
			r.member(name, m)
			other, twice := homes[m.Value.ID]
			if twice {
				r.add(name, m.Key(), "data centre %s has an instance of this name too", other)
			}
			homes[m.Value.ID] = m.Value.DataCentre
		}
	}
	slices.SortStableFunc(r.found, func(a, b Discrepancy) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Instance, b.Instance))
	})
	return r.found
}

func (r *reporter) add(pool, key, format string, args ...any) {
	r.found = append(r.found, Discrepancy{Pool: pool, Instance: key, Text: fmt.Sprintf(format, args...)})
}

func (r *reporter) pool(name string) {
	p := r.Pools[name]
	if p.Value.Members != len(p.Members) {
		r.add(name, "", "its row counts %d instances, %d belong to it", p.Value.Members, len(p.Members))
	}
	_, known := r.tree.Node(settings.Path(name))
	if !known && name != instance.SparePool {
		r.add(name, "", "it has instances and is not in the tree of settings")
	}
	if name != instance.SparePool && p.missing() > 0 {
		r.add(name, "", "it lacks %d instances", p.missing())
	}
	keys := make(map[string]bool)
	for _, m := range p.Members {
		keys[m.Key()] = true
	}
	for key := range p.Value.Down {
		if !keys[key] {
			r.add(name, key, "a permit names it, and it does not belong to the pool")
		}
	}
}

func (r *reporter) member(name string, m Member) {
	_, permitted := r.Pools[name].Value.Down[m.Key()]
	out := m.Value.State == instance.Leaving || m.Value.State == instance.Drained
	switch {
	case !m.Listed:
		r.add(name, m.Key(), "it has a row and is not listed")
	case m.Value.State == instance.Held && m.Line.Liveness != platform.Live:
		r.add(name, m.Key(), "its row says in service, the list says %s", m.Line.Liveness)
	}
	if permitted != (m.Value.State != instance.Held) {
		r.add(name, m.Key(), "it is %s, permit: %t", m.Value.State, permitted)
	}
	if m.Value.State == instance.Failed {
		r.add(name, m.Key(), "it has failed")
	}
	if out && m.Age > longOut {
		r.add(name, m.Key(), "it has been %s for %s", m.Value.State, m.Age.Round(time.Minute))
	}
	if m.InUse && m.Value.State == instance.Drained {
		r.add(name, m.Key(), "it is drained and an entry has requests in flight to it")
	}
}
