package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// State is the tree with the versions of the rows that it was built from.
type State struct {
	Tree     *Tree
	versions map[string]uint64
}

// NewState returns the state of an empty table.
func NewState() *State {
	return &State{Tree: NewTree(0, nil), versions: make(map[string]uint64)}
}

// Update returns the state with the rows applied, which must be those of whole transactions. It returns s if no row
// belongs to the tree, or if they would lead to a lower revision. Nodes that can't be decoded stay as they are and are
// joined in the error.
func (s *State) Update(rows []platform.Row) (*State, error) {
	relevant := slices.ContainsFunc(rows, func(row platform.Row) bool { return strings.HasPrefix(row.Key, Prefix) })
	if !relevant {
		return s, nil
	}
	next := &State{Tree: NewTree(s.Tree.revision, s.Tree.nodes), versions: maps.Clone(s.versions)}
	var failures error
	for _, row := range rows {
		failures = errors.Join(failures, next.updateRow(row))
	}
	if next.Tree.revision < s.Tree.revision {
		return s, failures
	}
	return next, failures
}

func (s *State) updateRow(row platform.Row) error {
	if !strings.HasPrefix(row.Key, Prefix) {
		return nil
	}
	if row.Key == headKey {
		var head Head
		err := json.Unmarshal(row.Value, &head)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
		}
		s.Tree.revision = head.Revision
		s.versions[row.Key] = row.Version
		return nil
	}
	if row.Deleted() {
		delete(s.Tree.nodes, Path(row.Key[len(nodePrefix):]))
		delete(s.versions, row.Key)
		return nil
	}
	var node Node
	err := json.Unmarshal(row.Value, &node)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
	}
	s.Tree.nodes[node.Path] = node
	s.versions[row.Key] = row.Version
	return nil
}

// Transaction returns the transaction that applies the change to the state, and the tree after it.
func (s *State) Transaction(change Change, unixMillis int64) (platform.Txn, *Tree, error) {
	next, err := s.Tree.Apply(change)
	if err != nil {
		return platform.Txn{}, nil, err
	}
	record := HistoryRecord{
		Revision: next.revision, Author: change.Author, Note: change.Note, UnixMillis: unixMillis,
		Before: make(map[Path]Node), After: make(map[Path]Node),
	}
	txn := platform.Txn{Token: platform.NewToken()}
	add := func(write platform.Write) {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: write.Key, Version: s.versions[write.Key]})
		txn.Writes = append(txn.Writes, write)
	}
	add(rowset.Write(headKey, Head{Revision: next.revision}))
	for _, path := range change.paths() {
		before, existed := s.Tree.nodes[path]
		if existed {
			record.Before[path] = before
		}
		after, exists := next.nodes[path]
		if exists {
			record.After[path] = after
			add(rowset.Write(NodeKey(path), after))
		} else {
			add(rowset.Remove(NodeKey(path)))
		}
	}
	add(rowset.Write(HistoryKey(next.revision), record))
	add(rowset.Write(tokenKey(change.Token), tokenRecord{Revision: next.revision}))
	return txn, next, nil
}
