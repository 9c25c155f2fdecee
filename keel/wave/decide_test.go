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

// model is one pool with its waves, instance list and use, to which decisions are applied.
type model struct {
	t       *rapid.T
	version uint64
	members *instance.Inventory
	pools   *pool.Directory
	waves   *wave.Directory
	lines   map[string]platform.Listed
	busy    map[string]bool
	limits  pool.Limits
	asked   map[string]bool
}

func (m *model) put(writes ...platform.Write) {
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
		lines: map[string]platform.Listed{}, busy: map[string]bool{}, asked: map[string]bool{},
	}
	n := rapid.IntRange(1, 16).Draw(t, "instances")
	for i := range n {
		record := instance.Record{
			ID: fmt.Sprintf("i%02d", i), DataCentre: fmt.Sprintf("dc%d", i/8), Rack: fmt.Sprintf("r%d", i/4),
			Pool: poolName, State: instance.Held, Boot: 1,
		}
		m.lines[record.Key()] = platform.Listed{Liveness: platform.Live, Boot: 1}
		m.put(rowset.Write(record.Key(), record))
	}
	m.limits = pool.Limits{Desired: n}
	m.put(rowset.Write(pool.Key(poolName), pool.Record{Name: poolName, Members: n}))
	for _, id := range []string{"spring", "summer"} {
		m.put(rowset.Write(wave.Key(id), wave.Record{ID: id, Pools: []string{poolName}, State: wave.Running}))
	}
	return m
}

func (m *model) situation() wave.Situation {
	s := wave.Situation{
		Pool: pool.Find(m.pools, poolName), Limits: m.limits,
		ReturnTimeout: time.Hour, DrainTimeout: time.Hour, ListLag: time.Second,
	}
	for found := range m.members.All {
		key := found.Key()
		member := wave.Member{
			Versioned: found, Line: m.lines[key], Accepted: m.asked[key], Tried: m.asked[key], SeenDown: m.asked[key],
		}
		if m.busy[key] {
			member.Busy = "in use"
		}
		s.Members = append(s.Members, member)
	}
	slices.SortFunc(s.Members, func(a, b wave.Member) int { return compareKeys(a.Key(), b.Key()) })
	for found := range m.waves.All {
		if found.Value.Unfinished() {
			s.Waves = append(s.Waves, found)
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

// event brings about something that the decisions must bear.
func (m *model) event() {
	key := rapid.SampledFrom(slices.Sorted(maps.Keys(m.lines))).Draw(m.t, "instance")
	found, _ := m.members.Get(key)
	line := m.lines[key]
	switch rapid.SampledFrom([]string{"budget", "reserve", "fail", "revive", "busy", "free", "rack", "pause"}).Draw(m.t, "event") {
	case "budget":
		m.limits.MaxUnavailable = rapid.IntRange(0, 6).Draw(m.t, "budget")
	case "reserve":
		m.limits.Reserve = rapid.IntRange(0, 2).Draw(m.t, "reserve")
	case "fail":
		line.Liveness = platform.Down
	case "rack":
		for other := range m.members.All {
			if other.Value.Rack == found.Value.Rack {
				lost := m.lines[other.Key()]
				lost.Liveness = platform.Down
				m.lines[other.Key()] = lost
			}
		}
		return
	case "revive":
		line.Liveness = platform.Live
	case "busy":
		m.busy[key] = found.Value.State == instance.Held
	case "free":
		delete(m.busy, key)
	case "pause":
		m.turn(rapid.SampledFrom([]wave.State{wave.Running, wave.Paused}).Draw(m.t, "state"))
	}
	m.lines[key] = line
}

func (m *model) turn(to wave.State) {
	found, _ := m.waves.Get(wave.Key("spring"))
	if !found.Value.Unfinished() {
		return
	}
	txn, err := wave.SetState(found, to, "ops", 0)
	assert.NilError(m.t, err)
	m.put(txn.Writes...)
}

// apply makes a decision, checks it against the budget, and lets it take effect.
func (m *model) apply() {
	s := m.situation()
	decision := wave.Decide(s)
	seen := map[string]bool{}
	leaves, unseen := 0, 0
	writes := []platform.Write{s.Pool.Write(decision.Pool)}
	for _, c := range decision.Changes {
		key := c.Member.Key()
		assert.Assert(m.t, !seen[key], "%s is changed twice", key)
		seen[key] = true
		switch c.Action {
		case wave.Leave:
			leaves++
			assert.Equal(m.t, m.lines[key].Liveness, platform.Live)
		case wave.Drain:
			assert.Assert(m.t, !m.busy[key], "%s is drained while in use", key)
		case wave.PutBack:
			assert.Assert(m.t, !m.asked[key], "%s is put back though its reboot was asked for", key)
		case wave.Return:
			assert.Assert(m.t, m.lines[key].Boot > c.Member.Value.Boot)
			delete(m.asked, key)
		}
		writes = append(writes, c.Member.Write(c.Next))
	}
	for _, member := range s.Members {
		if member.Value.State == instance.Held && member.Line.Liveness != platform.Live {
			unseen++
		}
	}
	if leaves > 0 {
		out := len(decision.Pool.Down) + unseen
		assert.Assert(m.t, out <= decision.Pool.Allowed(s.Limits)-s.Limits.Reserve, "%d out: %+v", out, s.Limits)
	}
	for _, member := range decision.Reboots {
		assert.Equal(m.t, member.Value.State, instance.Drained)
		m.asked[member.Key()] = true
	}
	if decision.Pool.Excess(s.Limits) > 0 {
		for key, permit := range decision.Pool.Down {
			assert.Assert(m.t, permit.Reason == pool.ByFailure || m.asked[key], "%s is still to leave beyond the budget", key)
		}
	}
	body, _ := json.Marshal(decision.Pool.Down)
	assert.Assert(m.t, len(body) > 0)
	m.put(writes...)
}

// reboots lets every reboot that was asked for happen.
func (m *model) reboots() {
	for key := range m.asked {
		line := m.lines[key]
		found, _ := m.members.Get(key)
		m.lines[key] = platform.Listed{Liveness: platform.Live, Boot: max(line.Boot, found.Value.Boot+1)}
	}
}

// TestDecisionsKeepTheBudgetAndFinish drives two waves over one pool through failures, changes of the budget and
// pauses, and checks that they end once these stop.
func TestDecisionsKeepTheBudgetAndFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			m.event()
			m.apply()
			if rapid.Bool().Draw(t, "boot") {
				m.reboots()
			}
		}
		m.limits.MaxUnavailable, m.limits.Reserve = 2, 0
		clear(m.busy)
		m.turn(wave.Running)
		for key, line := range m.lines {
			line.Liveness = platform.Live
			m.lines[key] = line
		}
		for range 80 {
			m.apply()
			m.reboots()
		}
		for found := range m.members.All {
			assert.Equal(t, found.Value.State, instance.Held, found.Key())
			assert.DeepEqual(t, found.Value.Waves, []string{"spring", "summer"})
		}
		assert.Equal(t, len(pool.Find(m.pools, poolName).Value.Down), 0)
	})
}
