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

// Path names a node: empty for the root, then partner, pool and service joined by slashes.
type Path string

var pathName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ParsePath fails with kind InvalidSetting if text is not a path of the tree.
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

// Parent returns the path of the level above; the root's parent is the root.
func (p Path) Parent() Path {
	cut := strings.LastIndexByte(string(p), '/')
	if cut < 0 {
		return ""
	}
	return p[:cut]
}

// Name returns the last part of the path.
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
	// Revision is the revision of the tree that last changed the node.
	Revision uint64 `json:"revision"`
	// Values holds the values that the node sets itself.
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

// Revision returns the number of the change that led to the tree; 0 stands for the empty tree.
func (t *Tree) Revision() uint64 { return t.revision }

// Node returns the node at the path, and false if the tree has none.
func (t *Tree) Node(path Path) (Node, bool) {
	node, ok := t.nodes[path]
	return node, ok
}

// Paths returns the paths of all nodes in order.
func (t *Tree) Paths() []Path { return slices.Sorted(maps.Keys(t.nodes)) }

// Below returns the paths of the nodes of the level under the node, in order.
func (t *Tree) Below(path Path, level Level) []Path {
	var below []Path
	for _, p := range t.Paths() {
		if p.Level() == level && path.Covers(p) {
			below = append(below, p)
		}
	}
	return below
}

// EffectiveValue says which level a value in force comes from.
type EffectiveValue struct {
	Key   Key             `json:"key"`
	Value json.RawMessage `json:"value"`
	// From is the path of the node that sets the value.
	From Path `json:"from"`
	// Default reports that no node sets the value.
	Default bool `json:"default,omitempty"`
}

// Effective returns the value of the key in force at the path and where it comes from.
func (t *Tree) Effective(path Path, key Key) EffectiveValue {
	for at := path; ; at = at.Parent() {
		value, ok := t.nodes[at].Values[key]
		if ok {
			return EffectiveValue{Key: key, Value: value, From: at}
		}
		if at == "" {
			return EffectiveValue{Key: key, Value: json.RawMessage(byKey[key].Default), Default: true}
		}
	}
}

// Duration returns the value in force of a setting of type duration.
func (t *Tree) Duration(path Path, key Key) time.Duration {
	duration, _ := parseDuration(t.Effective(path, key).Value)
	return duration
}

// Int returns the value in force of a setting of type int.
func (t *Tree) Int(path Path, key Key) int { return effective[int](t, path, key) }

// Float returns the value in force of a setting of type float.
func (t *Tree) Float(path Path, key Key) float64 { return effective[float64](t, path, key) }

// Bool returns the value in force of a setting of type bool.
func (t *Tree) Bool(path Path, key Key) bool { return effective[bool](t, path, key) }

// String returns the value in force of a setting of type string.
func (t *Tree) String(path Path, key Key) string { return effective[string](t, path, key) }

// effective decodes a value that was checked when it was accepted.
func effective[T any](t *Tree, path Path, key Key) T {
	var out T
	_ = json.Unmarshal(t.Effective(path, key).Value, &out)
	return out
}
