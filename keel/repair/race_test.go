package repair_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/repair"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "3s")
	os.Exit(m.Run())
}

const dataCentre = "worcester"

var poolNames = []string{"quabbin/floor", "quabbin/office"}

// model is a table with a platform's instances, on which holders of both duties act with views of different ages,
// as a holder does that was paused and doesn't know that another took its place.
type model struct {
	t       *rapid.T
	table   *platformtest.Table
	truth   *fleet.View
	holders []*fleet.View
	lines   map[string]platform.Listed
	changed uint64
	busy    map[string]bool
	asked   map[string]uint64
	n       int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, table: platformtest.NewTable(), truth: fleet.NewView(), lines: map[string]platform.Listed{},
		busy: map[string]bool{}, asked: map[string]uint64{}, n: rapid.IntRange(4, 16).Draw(t, "instances"),
	}
	for range 3 {
		m.holders = append(m.holders, fleet.NewView())
	}
	for i := range m.n {
		m.line(platform.Listed{
			ID: fmt.Sprintf("i%02d", i), DataCentre: dataCentre, Rack: fmt.Sprintf("r%d", i/4), Liveness: platform.Live, Boot: 1,
		})
	}
	var edits []settings.Edit
	for _, path := range []settings.Path{"quabbin", "quabbin/floor", "quabbin/office"} {
		edits = append(edits, settings.Edit{Path: path, Set: map[settings.Key]json.RawMessage{
			settings.FailureDelay: []byte(`"0s"`), settings.ReplaceDelay: []byte(`"0s"`),
		}})
	}
	m.set(edits...)
	for _, name := range poolNames {
		m.size(name, rapid.IntRange(1, m.n/2).Draw(t, "size"))
	}
	m.settle()
	return m
}

func (m *model) size(name string, n int) {
	m.set(settings.Edit{Path: settings.Path(name), Set: map[settings.Key]json.RawMessage{
		settings.PoolInstances: json.RawMessage(fmt.Sprint(n)),
	}})
}

// line changes what the platform's list says of an instance.
func (m *model) line(line platform.Listed) {
	m.changed++
	line.Changed = m.changed
	m.lines[instance.Key(line.DataCentre, line.ID)] = line
}

func (m *model) set(edits ...settings.Edit) {
	// A budget that is larger than its pool is refused, which leaves the settings as they were.
	txn, _, err := m.truth.Settings().Transaction(settings.Change{Token: platform.NewToken(), Edits: edits}, 0)
	if fault.IsKind(err, fault.InvalidSetting) {
		return
	}
	assert.NilError(m.t, err)
	assert.Assert(m.t, m.commit(txn))
}

// commit runs a transaction, brings the true view up to date and checks what must always hold.
func (m *model) commit(txn platform.Txn) bool {
	committed := m.table.Commit(txn).Committed
	m.refresh(m.truth)
	m.check()
	return committed
}

func (m *model) refresh(view *fleet.View) {
	after := view.Through()
	_, err := view.Apply(after, m.table.Scan(platform.ScanRequest{Prefix: fleet.Prefix, After: after}))
	assert.NilError(m.t, err)
	view.List().Apply(dataCentre, platform.ListResult{Instances: slices.Collect(maps.Values(m.lines)), Through: m.changed})
}

// check holds the rows against each other: every instance in one pool, counted there once, out only with a permit.
func (m *model) check() {
	counted := map[string]int{}
	for found := range m.truth.Inventory().All {
		record := found.Value
		counted[record.Pool]++
		_, permitted := pool.Find(m.truth.Pools(), record.Pool).Value.Down[found.Key()]
		assert.Equal(m.t, permitted, record.State != instance.Held, "%+v", record)
		boot, asked := m.asked[found.Key()]
		assert.Assert(m.t, !asked || record.State != instance.Held || record.Boot >= boot, "%s is in service before its reboot", found.Key())
		if record.State == instance.Held {
			delete(m.asked, found.Key())
		}
	}
	for found := range m.truth.Pools().All {
		assert.Equal(m.t, found.Value.Members, counted[found.Value.Name], found.Value.Name)
		for key := range found.Value.Down {
			member, _ := m.truth.Inventory().Get(key)
			assert.Equal(m.t, member.Value.Pool, found.Value.Name, key)
		}
	}
}

// repairs lets a holder of the repair duty make its next step.
func (m *model) repairs(view *fleet.View) bool {
	step := repair.Next(repair.Survey(view, func(r *repair.Member) { r.DownAge, r.Age = time.Hour, time.Hour }))
	if step.Empty() {
		return false
	}
	for name, row := range step.Pools {
		before := pool.Find(view.Pools(), name).Value
		if planned(row) > planned(before) {
			limits := pool.LimitsOf(view.Settings().Tree, name)
			assert.Assert(m.t, len(row.Down) <= row.Allowed(limits), "%s: %+v", name, limits)
		}
	}
	return m.commit(repair.Transaction(view, step))
}

func planned(row pool.Record) int {
	n := 0
	for _, permit := range row.Down {
		if permit.Reason != pool.ByFailure {
			n++
		}
	}
	return n
}

// waves lets a holder of the wave duty make its next step.
func (m *model) waves(view *fleet.View) bool {
	acted := false
	situations := wave.Snapshots(view, func(w *wave.Member) {
		_, w.RebootRequested = m.asked[w.Key()]
		w.RebootAccepted, w.SeenDown = w.RebootRequested, w.RebootRequested
		if m.busy[w.Key()] {
			w.Busy = "in use"
		}
	})
	for _, s := range situations {
		decision := wave.Decide(s)
		for _, member := range decision.Reboots {
			now, _ := m.truth.Inventory().Get(member.Key())
			// The platform refuses a holder whose epoch is old.
			if now.Version() == member.Version() {
				m.asked[member.Key()] = member.Value.Boot + 1
				acted = true
			}
		}
		if len(decision.Changes) > 0 {
			_, txn := wave.Transaction(s, decision)
			acted = m.commit(txn) || acted
		}
	}
	return acted
}

// reboots lets the reboots that were asked for happen.
func (m *model) reboots() {
	for _, key := range slices.Sorted(maps.Keys(m.asked)) {
		line := m.lines[key]
		line.Liveness, line.Boot = platform.Live, max(line.Boot, m.asked[key])
		m.line(line)
	}
}

func (m *model) event() {
	key := rapid.SampledFrom(slices.Sorted(maps.Keys(m.lines))).Draw(m.t, "instance")
	line := m.lines[key]
	path := settings.Path(rapid.SampledFrom(poolNames).Draw(m.t, "pool"))
	number := rapid.IntRange(0, 6).Draw(m.t, "number")
	value := json.RawMessage(fmt.Sprint(number))
	switch rapid.SampledFrom([]string{"fail", "revive", "busy", "size", "size", "budget", "wave", "boot", "boot"}).Draw(m.t, "event") {
	case "fail":
		line.Liveness = platform.Down
		m.line(line)
	case "revive":
		line.Liveness = platform.Live
		m.line(line)
	case "busy":
		m.busy[key] = !m.busy[key]
	case "size":
		m.size(string(path), number)
	case "budget":
		m.set(settings.Edit{Path: path, Set: map[settings.Key]json.RawMessage{settings.MaxUnavailable: value}})
	case "wave":
		id := fmt.Sprintf("w%d", number)
		m.commit(wave.Create(wave.Record{ID: id, Pools: poolNames, State: wave.Running}))
	case "boot":
		m.reboots()
	}
}

// TestMovesWavesAndFailuresRace lets holders with old views race one another, and checks after each transaction that
// every instance is in one pool and accounted for once, and at the end that the pools have what the settings ask for.
func TestMovesWavesAndFailuresRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			m.event()
			view := rapid.SampledFrom(m.holders).Draw(t, "holder")
			if rapid.IntRange(0, 2).Draw(t, "refresh") > 0 {
				m.refresh(view)
			}
			m.waves(view)
			m.repairs(rapid.SampledFrom(m.holders).Draw(t, "other"))
		}
		m.settle()
		for found := range m.truth.Inventory().All {
			assert.Equal(t, found.Value.State, instance.Held, "%+v", found.Value)
		}
		assert.Equal(t, m.truth.Inventory().Len(), m.n)
		wanted := 0
		for _, name := range poolNames {
			wanted += pool.LimitsOf(m.truth.Settings().Tree, name).Desired
		}
		for _, name := range poolNames {
			got := pool.Find(m.truth.Pools(), name).Value.Members
			want := pool.LimitsOf(m.truth.Settings().Tree, name).Desired
			assert.Assert(t, got == want || wanted > m.n && got < want, "%s: %d of %d", name, got, want)
		}
	})
}

// settle ends the failures and lets one holder work until there is nothing left to do.
func (m *model) settle() {
	clear(m.busy)
	for _, key := range slices.Sorted(maps.Keys(m.lines)) {
		line := m.lines[key]
		line.Liveness = platform.Live
		m.line(line)
	}
	for _, name := range poolNames {
		budget := json.RawMessage(fmt.Sprint(min(2, pool.LimitsOf(m.truth.Settings().Tree, name).Desired)))
		m.set(settings.Edit{Path: settings.Path(name), Set: map[settings.Key]json.RawMessage{settings.MaxUnavailable: budget}})
	}
	for range 400 {
		m.refresh(m.truth)
		repaired := m.repairs(m.truth)
		waved := m.waves(m.truth)
		m.reboots()
		if !repaired && !waved && len(m.asked) == 0 {
			return
		}
	}
	m.t.Fatalf("there is no end to it")
}
