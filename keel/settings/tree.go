package settings

import (
	"encoding/json"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
)

// Path identifies a node: empty for the root, else partner, pool and service joined by slashes.
type Path string

var pathName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ParsePath parses the path of a node, which may begin or end with a slash; it fails with kind InvalidSetting.
func ParsePath(text string) (Path, error) {
	path := Path(strings.Trim(text, "/"))
	if path == "" {
		return path, nil
	}
	names := strings.Split(string(path), "/")
	if len(names) > int(LevelService) {
		return "", fault.New(fault.InvalidSetting, "path %q has more than %d levels", text, LevelService)
	}
	for _, name := range names {
		if !pathName.MatchString(name) {
			return "", fault.New(fault.InvalidSetting, "path %q: %q is not a name of lower-case letters, digits and hyphens", text, name)
		}
	}
	return path, nil
}

// Level returns the level of the node.
func (p Path) Level() Level {
	if p == "" {
		return LevelRoot
	}
	return Level(strings.Count(string(p), "/") + 1)
}

// Parent returns the path of the node's parent; the root is its own parent.
func (p Path) Parent() Path {
	cut := strings.LastIndexByte(string(p), '/')
	if cut < 0 {
		return ""
	}
	return p[:cut]
}

// Name returns the last element of the path.
func (p Path) Name() string {
	return string(p[strings.LastIndexByte(string(p), '/')+1:])
}

// Covers reports whether other is the node itself or below it.
func (p Path) Covers(other Path) bool {
	return p == "" || other == p || strings.HasPrefix(string(other), string(p)+"/")
}

// Node is the row of one node of the tree.
type Node struct {
	Path Path `json:"path"`
	// Revision is the tree's revision at the node's last change.
	Revision uint64 `json:"revision"`
	// Values holds the values that the node sets itself, without inherited ones.
	Values map[Key]json.RawMessage `json:"values"`
}

// Tree is the immutable tree of settings at one revision.
type Tree struct {
	revision uint64
	nodes    map[Path]Node
}

// NewTree returns the tree with the given nodes.
func NewTree(revision uint64, nodes map[Path]Node) *Tree {
	copied := make(map[Path]Node, len(nodes))
	maps.Copy(copied, nodes)
	return &Tree{revision: revision, nodes: copied}
}

// Revision returns the number of the change that produced the tree; 0 is the empty tree.
func (t *Tree) Revision() uint64 { return t.revision }

// Node returns the node at the path, and false if the tree has none.
func (t *Tree) Node(path Path) (Node, bool) {
	node, ok := t.nodes[path]
	return node, ok
}

// Paths returns the sorted paths of all nodes.
func (t *Tree) Paths() []Path { return slices.Sorted(maps.Keys(t.nodes)) }

// Below returns the sorted paths of the nodes of one level that path covers.
func (t *Tree) Below(path Path, level Level) []Path {
	var below []Path
	for _, p := range t.Paths() {
		if p.Level() == level && path.Covers(p) {
			below = append(below, p)
		}
	}
	return below
}

// EffectiveValue is the effective value of a setting at a node, with the node that it is inherited from.
type EffectiveValue struct {
	Key   Key             `json:"key"`
	Value json.RawMessage `json:"value"`
	// From is the path of the node that sets the value.
	From Path `json:"from"`
	// Default reports that no node sets the value.
	Default bool `json:"default,omitempty"`
}

// Effective returns the effective value of the key at the path, and the node that sets it.
func (t *Tree) Effective(path Path, key Key) EffectiveValue {
	for at := path; ; at = at.Parent() {
		value, ok := t.nodes[at].Values[key]
		if ok {
			return EffectiveValue{Key: key, Value: value, From: at}
		}
		if at == "" {
			return EffectiveValue{Key: key, Value: json.RawMessage(definitionsByKey[key].Default), Default: true}
		}
	}
}

// Duration returns the effective value of a setting of type duration.
func (t *Tree) Duration(path Path, key Key) time.Duration {
	duration, _ := parseDuration(t.Effective(path, key).Value)
	return duration
}

// DurationOrMax returns the effective value of a setting of type duration, or the longest allowed one if the tree has no
// node at the path, whose settings aren't known then.
func (t *Tree) DurationOrMax(path Path, key Key) time.Duration {
	if !t.has(path) {
		return time.Duration(definitionsByKey[key].Max)
	}
	return t.Duration(path, key)
}

// IntOrMax returns the effective value of a setting of type int, or the greatest allowed one if the tree has no node at
// the path, whose settings aren't known then.
func (t *Tree) IntOrMax(path Path, key Key) int {
	if !t.has(path) {
		return int(definitionsByKey[key].Max)
	}
	return t.Int(path, key)
}

func (t *Tree) has(path Path) bool {
	_, ok := t.nodes[path]
	return ok
}

// Int returns the effective value of a setting of type int.
func (t *Tree) Int(path Path, key Key) int { return effective[int](t, path, key) }

// Float returns the effective value of a setting of type float.
func (t *Tree) Float(path Path, key Key) float64 { return effective[float64](t, path, key) }

// Bool returns the effective value of a setting of type bool.
func (t *Tree) Bool(path Path, key Key) bool { return effective[bool](t, path, key) }

// String returns the effective value of a setting of type string.
func (t *Tree) String(path Path, key Key) string { return effective[string](t, path, key) }

// effective decodes an effective value; it can't fail, since the value was checked when it was accepted.
func effective[T any](t *Tree, path Path, key Key) T {
	var out T
	_ = json.Unmarshal(t.Effective(path, key).Value, &out)
	return out
}
