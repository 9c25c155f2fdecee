package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"samphirekeel.example/keel/fault"
)

// The keys and key prefixes of the rows of the tree and its history.
const (
	Prefix        = "c/settings/"
	headKey       = Prefix + "head"
	nodePrefix    = Prefix + "node/"
	historyPrefix = "history/settings/"
	tokenPrefix   = "history/settings-token/"
)

// Edit changes one node: it sets and unsets values, and creates the node if there is none.
type Edit struct {
	Path  Path                    `json:"path"`
	Set   map[Key]json.RawMessage `json:"set,omitempty"`
	Unset []Key                   `json:"unset,omitempty"`
	// Remove deletes the node, which must have no nodes below it.
	Remove bool `json:"remove,omitempty"`
	// Expect is the node's revision that the edit is based on; nil accepts any.
	Expect *uint64 `json:"expect,omitempty"`
}

// Change is a set of edits that are applied atomically.
type Change struct {
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Token identifies the change; a change sent again with the same token is applied once.
	Token string `json:"token,omitempty"`
	Edits []Edit `json:"edits"`
}

// Head is the row that stores the tree's revision.
type Head struct {
	Revision uint64 `json:"revision"`
}

// HistoryRecord is the history row of one accepted change.
type HistoryRecord struct {
	Revision uint64 `json:"revision"`
	Author   string `json:"author"`
	Note     string `json:"note,omitempty"`
	// Before and After contain the changed nodes as they were before and after; a node that did not exist is left out.
	Before map[Path]Node `json:"before"`
	After  map[Path]Node `json:"after"`
	// UnixMillis is the time of acceptance by the clock of the entry that wrote the row.
	UnixMillis int64 `json:"unix_ms"`
}

// tokenRecord is the row that records the revision of the change with a token.
type tokenRecord struct {
	Revision uint64 `json:"revision"`
}

func tokenKey(token string) string { return tokenPrefix + token }

// Check fails with kind InvalidSetting, naming the setting and the reason, if the change is invalid for every tree.
func (c Change) Check() error {
	if len(c.Edits) == 0 {
		return fault.New(fault.InvalidSetting, "the change has no edit")
	}
	for _, edit := range c.Edits {
		_, err := ParsePath(string(edit.Path))
		if err != nil {
			return err
		}
		for _, key := range slices.Sorted(maps.Keys(edit.Set)) {
			err := checkValue(edit.Path, key, edit.Set[key])
			if err != nil {
				return err
			}
		}
		for _, key := range edit.Unset {
			_, err := Lookup(key)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// paths returns the paths of the nodes that the change edits, sorted and without duplicates.
func (c Change) paths() []Path {
	var paths []Path
	for _, edit := range c.Edits {
		paths = append(paths, edit.Path)
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// HistoryKey returns the key of the history row of a revision.
func HistoryKey(revision uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, revision) }

// NodeKey returns the key of a node's row.
func NodeKey(path Path) string { return nodePrefix + string(path) }

// Apply returns the tree after the change, or an error that names the setting and the reason.
// It fails with kind Conflict, listing the current values, if an edit expects another revision of its node.
func (t *Tree) Apply(change Change) (*Tree, error) {
	err := change.Check()
	if err != nil {
		return nil, err
	}
	next := NewTree(t.revision+1, t.nodes)
	for _, edit := range change.Edits {
		err := next.applyEdit(edit)
		if err != nil {
			return nil, err
		}
	}
	return next, next.checkBudgets(change.paths())
}

func (t *Tree) applyEdit(edit Edit) error {
	node, exists := t.nodes[edit.Path]
	if edit.Expect != nil && *edit.Expect != node.Revision {
		current, _ := json.Marshal(node.Values)
		return fault.New(fault.Conflict, "%q is at revision %d, not %d; it now holds %s", edit.Path, node.Revision, *edit.Expect, current)
	}
	if edit.Remove {
		return t.removeNode(edit.Path, exists)
	}
	_, parentExists := t.nodes[edit.Path.Parent()]
	if edit.Path.Level() > LevelPartner && !parentExists {
		return fault.New(fault.InvalidSetting, "%q: the level above does not exist", edit.Path)
	}
	values := maps.Clone(node.Values)
	if values == nil {
		values = make(map[Key]json.RawMessage)
	}
	maps.Copy(values, edit.Set)
	for _, key := range edit.Unset {
		delete(values, key)
	}
	t.nodes[edit.Path] = Node{Path: edit.Path, Revision: t.revision, Values: values}
	return nil
}

func checkValue(path Path, key Key, value json.RawMessage) error {
	definition, err := Lookup(key)
	if err != nil {
		return err
	}
	if path.Level() > definition.LowestLevel {
		return fault.New(fault.InvalidSetting, "%q: %s: may not be set at level %s", path, key, path.Level())
	}
	err = definition.Check(value)
	if err != nil {
		return fault.New(fault.InvalidSetting, "%q: %s", path, fault.As(err).Text())
	}
	return nil
}

func (t *Tree) removeNode(path Path, exists bool) error {
	if !exists {
		return fault.New(fault.NotExist, "%q does not exist", path)
	}
	for _, other := range t.Paths() {
		if other != path && path.Covers(other) {
			return fault.New(fault.InvalidSetting, "%q can't be removed: %q is below it", path, other)
		}
	}
	delete(t.nodes, path)
	return nil
}
