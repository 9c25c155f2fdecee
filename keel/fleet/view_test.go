package fleet_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// Guards against a view that lacks instances, waves or settings for good, and decides without them, because another row
// of the same scan can't be decoded, for example one of a later build.
func TestUnreadableRowHidesNoOthers(t *testing.T) {
	view := fleet.NewView()
	record := instance.Record{ID: "i2", DataCentre: "worcester", Pool: "quabbin/floor-pool"}
	writes := []platform.Write{
		{Key: instance.Key("worcester", "i1"), Value: []byte("later")},
		rowset.Write(record.Key(), record),
		{Key: settings.NodeKey("quabbin"), Value: []byte("later")},
		rowset.Write(settings.NodeKey("quabbin/floor-pool"), settings.Node{Path: "quabbin/floor-pool"}),
	}
	var rows []platform.Row
	for _, w := range writes {
		rows = append(rows, platform.Row{Key: w.Key, Version: 1, Value: w.Value})
	}
	changed, err := view.Apply(0, platform.ScanResult{Rows: rows, Through: 1})
	assert.Assert(t, changed)
	assert.ErrorContains(t, err, "i1")
	assert.ErrorContains(t, err, "quabbin")
	_, ok := view.Inventory().Get(record.Key())
	assert.Assert(t, ok)
	_, ok = view.Settings().Tree.Node("quabbin/floor-pool")
	assert.Assert(t, ok)
}

// Guards against a change of the settings that replaces a node which this build can't decode by its earlier values.
func TestUnreadableSettingsAreNotReplaced(t *testing.T) {
	const path = "quabbin"
	key := settings.NodeKey(path)
	node := rowset.Write(key, settings.Node{Path: path})
	state, err := settings.NewState().Update([]platform.Row{{Key: key, Version: 1, Value: node.Value}})
	assert.NilError(t, err)
	state, err = state.Update([]platform.Row{{Key: key, Version: 2, Value: []byte("later")}})
	assert.ErrorContains(t, err, key)
	change := settings.Change{Edits: []settings.Edit{{Path: path}}}
	txn, _, err := state.Transaction(change, 0)
	assert.NilError(t, err)
	assert.Assert(t, slices.Contains(txn.Conditions, platform.Condition{Key: key, Version: 1}))
}
