package settings_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/settings"
)

func edit(path settings.Path, key settings.Key, value string) settings.Edit {
	return settings.Edit{Path: path, Set: map[settings.Key]json.RawMessage{key: json.RawMessage(value)}}
}

func TestChangeIsInheritedAndOverridden(t *testing.T) {
	store := &settings.Store{Client: platformtest.New().Client("worcester")}
	revision, err := store.Change(t.Context(), settings.Change{Author: "ops", Edits: []settings.Edit{
		edit("quabbin", settings.RequestTimeout, `"3s"`),
		{Path: "quabbin/floor"},
		edit("quabbin/floor/intake", settings.RequestTimeout, `"1s"`),
	}})
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1))
	state, err := store.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, state.Tree.Duration("quabbin/floor", settings.RequestTimeout), 3*time.Second)
	assert.Equal(t, state.Tree.Duration("quabbin/floor/intake", settings.RequestTimeout), time.Second)
	assert.Equal(t, state.Tree.Effective("quabbin/floor", settings.RequestTimeout).From, settings.Path("quabbin"))
}

func TestChangeRejectsInvalidValue(t *testing.T) {
	store := &settings.Store{Client: platformtest.New().Client("worcester")}
	for _, bad := range []settings.Edit{
		edit("quabbin", settings.RequestTimeout, `"3"`),
		edit("quabbin", settings.RequestTimeout, `"1ns"`),
		edit("quabbin", "route.nothing", `1`),
		edit("quabbin/a/b", settings.MaxUnavailable, `1`),
	} {
		_, err := store.Change(t.Context(), settings.Change{Edits: []settings.Edit{bad}})
		assert.Assert(t, fault.IsKind(err, fault.InvalidSetting), "%v", err)
	}
}

func TestEditOfOutdatedRevisionConflictsAndShowsCurrentValue(t *testing.T) {
	store := &settings.Store{Client: platformtest.New().Client("worcester")}
	expected, err := store.Change(t.Context(), settings.Change{Edits: []settings.Edit{edit("quabbin", settings.RequestTimeout, `"3s"`)}})
	assert.NilError(t, err)
	_, err = store.Change(t.Context(), settings.Change{Edits: []settings.Edit{edit("consortiul", settings.RequestTimeout, `"4s"`)}})
	assert.NilError(t, err)
	first, second := edit("quabbin", settings.RequestTimeout, `"5s"`), edit("quabbin", settings.RequestTimeout, `"6s"`)
	first.Expect, second.Expect = &expected, &expected
	_, err = store.Change(t.Context(), settings.Change{Edits: []settings.Edit{first}})
	assert.NilError(t, err)
	_, err = store.Change(t.Context(), settings.Change{Edits: []settings.Edit{second}})
	assert.Assert(t, fault.IsKind(err, fault.Conflict), "%v", err)
	assert.ErrorContains(t, err, `"quabbin" is at revision 3, not 1; it now holds {"route.request_timeout":"5s"}`)
}

func TestLostResponseIsResolvedAndAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.New()
		store := &settings.Store{Client: table.Client("worcester")}
		table.Set(platformtest.Switches{LoseCommitResponses: 5})
		change := settings.Change{Token: "t1", Edits: []settings.Edit{edit("quabbin", settings.RequestTimeout, `"3s"`)}}
		revision, err := store.Change(t.Context(), change)
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(1))
		// The operator's command lost the entry's response too, and sends the change again.
		again, err := store.Change(t.Context(), change)
		assert.NilError(t, err)
		assert.Equal(t, again, uint64(1))
		state, err := store.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, state.Tree.Revision(), uint64(1))
	})
}

func TestUnresponsivePlatformLeavesOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := platformtest.New()
		store := &settings.Store{Client: table.Client("worcester"), CachedState: func(context.Context) *settings.State { return settings.NewState() }}
		table.Set(platformtest.Switches{Freeze: true})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		change := settings.Change{Edits: []settings.Edit{edit("quabbin", settings.RequestTimeout, `"3s"`)}}
		_, err := store.Change(ctx, change)
		assert.Equal(t, fault.As(err).Outcome(), fault.Unknown)
		assert.ErrorContains(t, err, "send it again with token")
	})
}

func TestBudgetAboveInstancesIsRejected(t *testing.T) {
	store := &settings.Store{Client: platformtest.New().Client("worcester")}
	_, err := store.Change(t.Context(), settings.Change{Edits: []settings.Edit{
		{Path: "quabbin"},
		edit("quabbin/floor-pool", settings.PoolInstances, `4`),
		edit("quabbin/floor-pool", settings.MaxUnavailable, `5`),
	}})
	assert.ErrorContains(t, err, `"quabbin/floor-pool": pool.max_unavailable: 5, set at "quabbin/floor-pool", is more than the pool's 4 instances`)
}

func TestStateNeverGoesToLowerRevision(t *testing.T) {
	head := func(version uint64, revision string) []platform.Row {
		return []platform.Row{{Key: settings.Prefix + "head", Version: version, Value: json.RawMessage(`{"revision":` + revision + `}`)}}
	}
	state, err := settings.NewState().Update(head(7, "4"))
	assert.NilError(t, err)
	state, err = state.Update(head(3, "2"))
	assert.NilError(t, err)
	assert.Equal(t, state.Tree.Revision(), uint64(4))
}
