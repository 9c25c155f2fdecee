package settings_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/settings"
)

// randomEdit draws an edit of one of a few nodes, valid or not.
func randomEdit(t *rapid.T) settings.Edit {
	path := rapid.SampledFrom([]settings.Path{"", "a", "b", "a/p", "a/q", "b/p", "a/p/s"}).Draw(t, "path")
	edit := settings.Edit{Path: path, Remove: rapid.IntRange(0, 9).Draw(t, "remove") == 0}
	if rapid.Bool().Draw(t, "set") {
		key := rapid.SampledFrom([]settings.Key{settings.RequestTimeout, settings.MaxUnavailable}).Draw(t, "key")
		value := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value"))
		if key == settings.RequestTimeout {
			value = fmt.Sprintf("%q", value+"s")
		}
		edit.Set = map[settings.Key]json.RawMessage{key: json.RawMessage(value)}
	} else {
		edit.Unset = []settings.Key{settings.RequestTimeout}
	}
	return edit
}

// effectiveValue is a reference implementation of inheritance.
func effectiveValue(tree *settings.Tree, path settings.Path, key settings.Key) string {
	node, _ := tree.Node(path)
	value, ok := node.Values[key]
	switch {
	case ok:
		return string(value)
	case path == "":
		definition, _ := settings.Lookup(key)
		return definition.Default
	default:
		return effectiveValue(tree, path.Parent(), key)
	}
}

// TestRandomChanges applies random changes and checks that a State updated by scans, some of which start again at
// version 0, has the effective values of every revision, and that the history agrees with the trees.
func TestRandomChanges(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "5"))
	rapid.Check(t, func(t *rapid.T) {
		table := platformtest.New()
		store := &settings.Store{Client: table.Client("worcester")}
		follower := settings.NewState()
		trees := map[uint64]*settings.Tree{0: follower.Tree}
		var after uint64
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			edits := rapid.SliceOfN(rapid.Custom(randomEdit), 1, 3).Draw(t, "edits")
			revision, err := store.Change(t.Context(), settings.Change{Edits: edits})
			if err != nil {
				continue
			}
			assert.Equal(t, revision, uint64(len(trees)))
			scan := platform.ScanRequest{Prefix: settings.Prefix, After: rapid.SampledFrom([]uint64{0, after}).Draw(t, "from")}
			result, _ := store.Client.Scan(t.Context(), scan)
			after = result.Through
			follower, err = follower.Update(result.Rows)
			assert.NilError(t, err)
			assert.Equal(t, follower.Tree.Revision(), revision)
			trees[revision] = follower.Tree
			for _, path := range follower.Tree.Paths() {
				got := follower.Tree.Effective(path, settings.RequestTimeout)
				assert.Equal(t, string(got.Value), effectiveValue(follower.Tree, path, settings.RequestTimeout))
			}
		}
		checkHistory(t, store, trees)
	})
}

// checkHistory compares the differences that the history gives between two random revisions with their trees.
func checkHistory(t *rapid.T, store *settings.Store, trees map[uint64]*settings.Tree) {
	last := uint64(len(trees) - 1)
	from := rapid.Uint64Range(0, last).Draw(t, "from")
	to := rapid.Uint64Range(from, last).Draw(t, "to")
	records, err := store.History(t.Context(), from+1, to)
	assert.NilError(t, err)
	before, after := nodes(trees[from]), nodes(trees[to])
	assert.DeepEqual(t, settings.CompareHistory(records), settings.Compare(before, after))
}

func nodes(tree *settings.Tree) map[settings.Path]settings.Node {
	all := make(map[settings.Path]settings.Node)
	for _, path := range tree.Paths() {
		all[path], _ = tree.Node(path)
	}
	return all
}
