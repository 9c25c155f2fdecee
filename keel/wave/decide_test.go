package wave_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/wave"
)

const poolName = "quabbin/floor"

// model simulates one pool with its waves, instance list and instance use, and applies decisions to it.
type model struct {
	t               *rapid.T
	version         uint64
	members         *instance.Inventory
	pools           *pool.Directory
	waves           *wave.Directory
	listings        map[string]platform.Listing
	busy            map[string]bool
	limits          pool.Limits
	rebootRequested map[string]bool
}

func (m *model) writeRows(writes ...platform.Write) {
	m.version++
	for _, w := range writes {
		rows := []platform.Row{{Key: w.Key, Version: m.version, Value: w.Value}}
		for _, update := range []func([]platform.Row) (bool, error){m.members.Update, m.pools.Update, m.waves.Update} {
			_, err := update(rows)
			assert.NilError(m.t, err)
		}
	}
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, members: instance.NewInventory(), pools: pool.NewDirectory(), waves: wave.NewDirectory(),
		listings: map[string]platform.Listing{}, busy: map[string]bool{}, rebootRequested: map[string]bool{},
	}
	n := rapid.IntRange(1, 16).Draw(t, "instances")
	for i := range n {
		record := instance.Record{
			ID: fmt.Sprintf("i%02d", i), DataCentre: fmt.Sprintf("dc%d", i/8), Rack: fmt.Sprintf("r%d", i/4),
			Pool: poolName, State: instance.InService, Boot: 1,
		}
		m.listings[record.Key()] = platform.Listing{Liveness: platform.Live, Boot: 1}
		m.writeRows(rowset.Write(record.Key(), record))
	}
	m.limits = pool.Limits{Desired: n}
	m.writeRows(rowset.Write(pool.Key(poolName), pool.Record{Name: poolName, Members: n}))
	for _, id := range []string{"spring", "summer"} {
		m.writeRows(rowset.Write(wave.Key(id), wave.Record{ID: id, Pools: []string{poolName}, State: wave.Running}))
	}
	return m
}

func (m *model) snapshot() wave.Snapshot {
	s := wave.Snapshot{
		Pool: pool.Find(m.pools, poolName), Limits: m.limits,
		ReturnTimeout: time.Hour, DrainTimeout: time.Hour, ListLag: time.Second,
	}
	for row := range m.members.All {
		key := row.Key()
		member := wave.Member{
			Versioned: row, Listing: m.listings[key],
			RebootAccepted: m.rebootRequested[key], RebootRequested: m.rebootRequested[key], SeenDown: m.rebootRequested[key],
		}
		if m.busy[key] {
			member.Busy = "in use"
		}
		s.Members = append(s.Members, member)
	}
	slices.SortFunc(s.Members, func(a, b wave.Member) int { return compareKeys(a.Key(), b.Key()) })
	for row := range m.waves.All {
		if row.Value.Unfinished() {
			s.Waves = append(s.Waves, row)
		}
	}
	slices.SortFunc(s.Waves, func(a, b wave.Versioned) int { return compareKeys(a.Key(), b.Key()) })
	return s
}

func compareKeys(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// injectEvent draws and applies one failure, change of limits, change of use or pause.
func (m *model) injectEvent() {
	key := rapid.SampledFrom(slices.Sorted(maps.Keys(m.listings))).Draw(m.t, "instance")
	row, _ := m.members.Get(key)
	listing := m.listings[key]
	switch rapid.SampledFrom([]string{"budget", "reserve", "fail", "revive", "busy", "free", "rack", "pause"}).Draw(m.t, "event") {
	case "budget":
		m.limits.MaxUnavailable = rapid.IntRange(0, 6).Draw(m.t, "budget")
	case "reserve":
		m.limits.Reserve = rapid.IntRange(0, 2).Draw(m.t, "reserve")
	case "fail":
		listing.Liveness = platform.Down
	case "rack":
		for other := range m.members.All {
			if other.Value.Rack == row.Value.Rack {
				otherListing := m.listings[other.Key()]
				otherListing.Liveness = platform.Down
				m.listings[other.Key()] = otherListing
			}
		}
		return
	case "revive":
		listing.Liveness = platform.Live
	case "busy":
		m.busy[key] = row.Value.State == instance.InService
	case "free":
		delete(m.busy, key)
	case "pause":
		m.setWaveState(rapid.SampledFrom([]wave.State{wave.Running, wave.Paused}).Draw(m.t, "state"))
	}
	m.listings[key] = listing
}

func (m *model) setWaveState(to wave.State) {
	row, _ := m.waves.Get(wave.Key("spring"))
	if !row.Value.Unfinished() {
		return
	}
	txn, err := wave.SetState(row, to, "ops", 0)
	assert.NilError(m.t, err)
	m.writeRows(txn.Writes...)
}

// applyDecision makes a decision, checks it against the budget and applies it.
func (m *model) applyDecision() {
	s := m.snapshot()
	decision := wave.Decide(s)
	changed := map[string]bool{}
	leaves, notLive := 0, 0
	writes := []platform.Write{s.Pool.Write(decision.Pool)}
	for _, c := range decision.Changes {
		key := c.Member.Key()
		assert.Assert(m.t, !changed[key], "%s is changed twice", key)
		changed[key] = true
		switch c.Action {
		case wave.Leave:
			leaves++
			assert.Equal(m.t, m.listings[key].Liveness, platform.Live)
		case wave.Drain:
			assert.Assert(m.t, !m.busy[key], "%s is drained while in use", key)
		case wave.CancelRemoval:
			assert.Assert(m.t, !m.rebootRequested[key], "removal of %s is cancelled after its reboot was requested", key)
		case wave.Return:
			assert.Assert(m.t, m.listings[key].Boot > c.Member.Value.Boot)
			delete(m.rebootRequested, key)
		}
		writes = append(writes, c.Member.Write(c.Next))
	}
	for _, member := range s.Members {
		if member.Value.State == instance.InService && member.Listing.Liveness != platform.Live {
			notLive++
		}
	}
	if leaves > 0 {
		out := len(decision.Pool.Permits) + notLive
		assert.Assert(m.t, out <= decision.Pool.AllowedUnavailable(s.Limits)-s.Limits.Reserve, "%d out: %+v", out, s.Limits)
	}
	for _, member := range decision.Reboots {
		assert.Equal(m.t, member.Value.State, instance.Drained)
		m.rebootRequested[member.Key()] = true
	}
	if decision.Pool.Excess(s.Limits) > 0 {
		for key, permit := range decision.Pool.Permits {
			assert.Assert(m.t, permit.Reason == pool.ReasonFailure || m.rebootRequested[key],
				"removal of %s is not cancelled although the budget is exceeded", key)
		}
	}
	body, _ := json.Marshal(decision.Pool.Permits)
	assert.Assert(m.t, len(body) > 0)
	m.writeRows(writes...)
}

// completeReboots makes the instance list show every requested reboot as complete.
func (m *model) completeReboots() {
	for key := range m.rebootRequested {
		listing := m.listings[key]
		row, _ := m.members.Get(key)
		m.listings[key] = platform.Listing{Liveness: platform.Live, Boot: max(listing.Boot, row.Value.Boot+1)}
	}
}

// TestDecisionsKeepTheBudgetAndFinish runs two waves over one pool through failures, budget changes and pauses, and
// checks that every decision keeps the budget. Once the failures, changes and pauses stop, both waves must maintain
// every instance.
func TestDecisionsKeepTheBudgetAndFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			m.injectEvent()
			m.applyDecision()
			if rapid.Bool().Draw(t, "boot") {
				m.completeReboots()
			}
		}
		m.limits.MaxUnavailable, m.limits.Reserve = 2, 0
		clear(m.busy)
		m.setWaveState(wave.Running)
		for key, listing := range m.listings {
			listing.Liveness = platform.Live
			m.listings[key] = listing
		}
		for range 80 {
			m.applyDecision()
			m.completeReboots()
		}
		for row := range m.members.All {
			assert.Equal(t, row.Value.State, instance.InService, row.Key())
			assert.DeepEqual(t, row.Value.Waves, []string{"spring", "summer"})
		}
		assert.Equal(t, len(pool.Find(m.pools, poolName).Value.Permits), 0)
	})
}
