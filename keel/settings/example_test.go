package settings_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/watch"
)

// A process keeps a copy of the tree up to date by scanning for the rows changed since its last scan.
func Example() {
	ctx := context.Background()
	client := platformtest.New().Client("worcester")
	store := &settings.Store{Client: client}
	_, _ = store.Change(ctx, settings.Change{Author: "ops", Edits: []settings.Edit{
		{Path: "quabbin", Set: map[settings.Key]json.RawMessage{settings.RequestTimeout: json.RawMessage(`"3s"`)}},
		{Path: "quabbin/floor-pool"},
	}})
	rows := watch.New(settings.Prefix)
	state := settings.NewState()
	follow := func() {
		after := rows.Through()
		result, err := client.Scan(ctx, platform.ScanRequest{Prefix: settings.Prefix, After: after})
		if err == nil && !result.More {
			state, _ = state.Update(rows.Apply(after, result))
		}
	}
	follow()
	fmt.Println(state.Tree.Revision(), state.Tree.Duration("quabbin/floor-pool", settings.RequestTimeout))
	_, _ = store.Change(ctx, settings.Change{Author: "ops", Edits: []settings.Edit{
		{Path: "quabbin", Set: map[settings.Key]json.RawMessage{settings.RequestTimeout: json.RawMessage(`"5s"`)}},
	}})
	follow()
	source := state.Tree.Effective("quabbin/floor-pool", settings.RequestTimeout)
	fmt.Println(state.Tree.Revision(), state.Tree.Duration("quabbin/floor-pool", settings.RequestTimeout) == 5*time.Second, source.From)
	// Output:
	// 1 3s
	// 2 true quabbin
}
