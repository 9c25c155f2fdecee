package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"

	"samphirekeel.example/keel/fault"
)

// historyBatch is the number of history rows read in one call.
const historyBatch = 100

// Difference is a value that differs between two trees; Before or After is absent where the node doesn't set it.
// Key is empty for a node that exists in only one of the trees.
type Difference struct {
	Path   Path            `json:"path"`
	Key    Key             `json:"key,omitempty"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// The values of a Difference without a key.
var (
	nodeAbsent  = json.RawMessage(`"absent"`)
	nodePresent = json.RawMessage(`"present"`)
)

// Compare returns the differences between two sets of nodes, sorted by path and key.
func Compare(before, after map[Path]Node) []Difference {
	differences := []Difference{}
	paths := slices.Collect(maps.Keys(before))
	paths = slices.AppendSeq(paths, maps.Keys(after))
	slices.Sort(paths)
	for _, path := range slices.Compact(paths) {
		old, existed := before[path]
		current, exists := after[path]
		switch {
		case existed && !exists:
			differences = append(differences, Difference{Path: path, Before: nodePresent, After: nodeAbsent})
		case exists && !existed:
			differences = append(differences, Difference{Path: path, Before: nodeAbsent, After: nodePresent})
		}
		differences = append(differences, compareValues(path, old.Values, current.Values)...)
	}
	return differences
}

func compareValues(path Path, before, after map[Key]json.RawMessage) []Difference {
	var differences []Difference
	keys := slices.Collect(maps.Keys(before))
	keys = slices.AppendSeq(keys, maps.Keys(after))
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		if !bytes.Equal(before[key], after[key]) {
			differences = append(differences, Difference{Path: path, Key: key, Before: before[key], After: after[key]})
		}
	}
	return differences
}

// CompareChange returns the differences that the change would make to the tree; it fails as Apply does.
func (t *Tree) CompareChange(change Change) ([]Difference, error) {
	next, err := t.Apply(change)
	if err != nil {
		return nil, err
	}
	before, after := make(map[Path]Node), make(map[Path]Node)
	for _, path := range change.paths() {
		copyNode(before, t, path)
		copyNode(after, next, path)
	}
	return Compare(before, after), nil
}

func copyNode(into map[Path]Node, from *Tree, path Path) {
	node, ok := from.Node(path)
	if ok {
		into[path] = node
	}
}

// History returns the accepted changes from revision first to revision last inclusive, oldest first.
func (s *Store) History(ctx context.Context, first, last uint64) ([]HistoryRecord, error) {
	var records []HistoryRecord
	for from := max(first, 1); from <= last; from += historyBatch {
		var keys []string
		for revision := from; revision <= last && revision < from+historyBatch; revision++ {
			keys = append(keys, HistoryKey(revision))
		}
		rows, err := s.Client.Get(ctx, keys...)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			if row.Version == 0 {
				continue
			}
			var record HistoryRecord
			err := json.Unmarshal(row.Value, &record)
			if err != nil {
				return nil, fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
			}
			records = append(records, record)
		}
	}
	return records, nil
}

// CompareHistory returns the differences between the trees before the first and after the last of the history records.
func CompareHistory(records []HistoryRecord) []Difference {
	before, after := make(map[Path]Node), make(map[Path]Node)
	touched := make(map[Path]bool)
	for _, record := range records {
		for _, path := range record.paths() {
			if !touched[path] {
				touched[path] = true
				setOrDelete(before, record.Before, path)
			}
			setOrDelete(after, record.After, path)
		}
	}
	return Compare(before, after)
}

// setOrDelete copies the node at the path, or deletes it from into if from has none.
func setOrDelete(into, from map[Path]Node, path Path) {
	node, ok := from[path]
	if ok {
		into[path] = node
		return
	}
	delete(into, path)
}

func (r HistoryRecord) paths() []Path {
	paths := slices.Collect(maps.Keys(r.Before))
	paths = slices.AppendSeq(paths, maps.Keys(r.After))
	slices.Sort(paths)
	return slices.Compact(paths)
}

// FilterBy returns the record with only the nodes at or below the path, and false if it changed none of them.
func (r HistoryRecord) FilterBy(path Path) (HistoryRecord, bool) {
	filtered := r
	filtered.Before, filtered.After = make(map[Path]Node), make(map[Path]Node)
	touched := false
	for _, other := range r.paths() {
		if path.Covers(other) {
			touched = true
			setOrDelete(filtered.Before, r.Before, other)
			setOrDelete(filtered.After, r.After, other)
		}
	}
	return filtered, touched
}
