package rowset

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

// Versioned is the decoded value of a row with the row's key and version.
type Versioned[T any] struct {
	Value T
	key   string
	// version is 0 for a row that doesn't exist.
	version    uint64
	observedAt time.Time
}

// Key returns the key of the row.
func (v Versioned[T]) Key() string { return v.key }

// Version returns the version of the row, 0 for a row that doesn't exist.
func (v Versioned[T]) Version() uint64 { return v.version }

// ObservedAt returns the time at which this process stored this version of the row in the set.
func (v Versioned[T]) ObservedAt() time.Time { return v.observedAt }

// Condition returns the condition that the row still has this version.
func (v Versioned[T]) Condition() platform.Condition {
	return platform.Condition{Key: v.key, Version: v.version}
}

// Write returns the write that sets the row to the value.
func (v Versioned[T]) Write(value T) platform.Write { return Write(v.key, value) }

// Write returns the write that sets the row with the key to the value; it panics if the value can't be encoded as JSON.
func Write[T any](key string, value T) platform.Write {
	body, err := json.Marshal(value)
	if err != nil {
		// All row types can be encoded as JSON.
		panic(err)
	}
	return platform.Write{Key: key, Value: body}
}

// Remove returns the write that deletes the row with the key.
func Remove(key string) platform.Write { return platform.Write{Key: key} }

// Set caches the decoded rows under a prefix; it is not safe for concurrent use.
type Set[T any] struct {
	prefix string
	byKey  map[string]Versioned[T]
}

// New returns an empty set for the rows under the prefix.
func New[T any](prefix string) *Set[T] {
	return &Set[T]{prefix: prefix, byKey: make(map[string]Versioned[T])}
}

// Update applies the rows, skips those of other prefixes, and reports whether any row had the set's prefix. Rows that
// can't be decoded leave the set as it is and are joined in the error.
func (s *Set[T]) Update(rows []platform.Row) (bool, error) {
	changed := false
	var failures error
	for _, row := range rows {
		if !strings.HasPrefix(row.Key, s.prefix) {
			continue
		}
		changed = true
		failures = errors.Join(failures, s.put(row))
	}
	return changed, failures
}

func (s *Set[T]) put(row platform.Row) error {
	if row.Deleted() {
		delete(s.byKey, row.Key)
		return nil
	}
	found := Versioned[T]{key: row.Key, version: row.Version, observedAt: time.Now()}
	err := json.Unmarshal(row.Value, &found.Value)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode row %s", row.Key)
	}
	s.byKey[row.Key] = found
	return nil
}

// Get returns the row with the key, or a row with version 0 and false if there is none.
func (s *Set[T]) Get(key string) (Versioned[T], bool) {
	found, ok := s.byKey[key]
	if !ok {
		return Versioned[T]{key: key}, false
	}
	return found, true
}

// Len returns the number of rows.
func (s *Set[T]) Len() int { return len(s.byKey) }

// All yields the rows in no particular order.
func (s *Set[T]) All(yield func(Versioned[T]) bool) {
	for _, found := range s.byKey {
		if !yield(found) {
			return
		}
	}
}
