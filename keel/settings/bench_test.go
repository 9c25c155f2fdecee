package settings_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

// fullTree returns the rows of a tree of the largest expected size: 140 partners and 37 pools with 8 services each.
func fullTree() []platform.Row {
	var rows []platform.Row
	add := func(path settings.Path) {
		node := settings.Node{Path: path, Values: map[settings.Key]json.RawMessage{settings.RequestTimeout: json.RawMessage(`"3s"`)}}
		body, _ := json.Marshal(node)
		rows = append(rows, platform.Row{Key: settings.NodeKey(path), Version: uint64(len(rows) + 1), Value: body})
	}
	for i := range 140 {
		add(settings.Path(fmt.Sprintf("p%d", i)))
	}
	for i := range 37 {
		add(settings.Path(fmt.Sprintf("p%d/pool", i)))
		for j := range 8 {
			add(settings.Path(fmt.Sprintf("p%d/pool/s%d", i, j)))
		}
	}
	return rows
}

// BenchmarkBurst applies 500 changed rows one by one, and in one update.
func BenchmarkBurst(b *testing.B) {
	rows := fullTree()
	base, err := settings.NewState().Update(rows)
	if err != nil {
		b.Fatal(err)
	}
	var changed []platform.Row
	for i := range 500 {
		row := rows[i%len(rows)]
		row.Version = uint64(10000 + i)
		changed = append(changed, row)
	}
	b.Run("one-by-one", func(b *testing.B) {
		for b.Loop() {
			state := base
			for i := range changed {
				state, _ = state.Update(changed[i : i+1])
			}
		}
	})
	b.Run("at-once", func(b *testing.B) {
		for b.Loop() {
			_, _ = base.Update(changed)
		}
	})
}
