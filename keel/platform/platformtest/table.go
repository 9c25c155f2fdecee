package platformtest

import (
	"sort"
	"strings"
	"sync"

	"samphirekeel.example/keel/platform"
)

// scanLimit is the limit of a scan that sets none.
const scanLimit = 1000

// Table is an in-memory transactional table; its methods are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	// log lists the written keys in the order of their versions; superseded entries stay in it.
	log     []logEntry
	commits uint64
	reads   uint64
}

type logEntry struct {
	version uint64
	key     string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]platform.Row)}
}

// Commit runs a transaction.
func (t *Table) Commit(txn platform.Txn) platform.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	conflicts := t.conflicts(txn.Conditions)
	if len(conflicts) > 0 {
		return platform.CommitResult{Conflicts: conflicts}
	}
	t.version++
	for _, write := range txn.Writes {
		t.rows[write.Key] = platform.Row{Key: write.Key, Version: t.version, Token: txn.Token, Value: write.Value}
		t.log = append(t.log, logEntry{t.version, write.Key})
	}
	return platform.CommitResult{Committed: true, Version: t.version}
}

func (t *Table) conflicts(conditions []platform.Condition) []platform.Row {
	var conflicts []platform.Row
	for _, condition := range conditions {
		row := t.current(condition.Key)
		if row.Version != condition.Version {
			conflicts = append(conflicts, row)
		}
	}
	return conflicts
}

// current returns the current row of a key; a deleted row has version 0, as one that doesn't exist.
func (t *Table) current(key string) platform.Row {
	row, ok := t.rows[key]
	if !ok || row.Deleted() {
		return platform.Row{Key: key}
	}
	return row
}

// Get reads rows by key.
func (t *Table) Get(request platform.GetRequest) platform.GetResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	result := platform.GetResult{Rows: make([]platform.Row, 0, len(request.Keys))}
	for _, key := range request.Keys {
		result.Rows = append(result.Rows, t.current(key))
	}
	return result
}

// Scan reads the rows under a prefix that were written after a version.
func (t *Table) Scan(request platform.ScanRequest) platform.ScanResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	limit := request.Limit
	if limit <= 0 {
		limit = scanLimit
	}
	start := sort.Search(len(t.log), func(i int) bool { return t.log[i].version > request.After })
	result := platform.ScanResult{Rows: []platform.Row{}, Through: t.version}
	for _, entry := range t.log[start:] {
		row := t.rows[entry.key]
		if row.Version != entry.version || !strings.HasPrefix(entry.key, request.Prefix) {
			continue
		}
		// A response ends only between transactions, so that Through never splits one.
		if len(result.Rows) >= limit && row.Version > result.Rows[len(result.Rows)-1].Version {
			result.Through = result.Rows[len(result.Rows)-1].Version
			result.More = true
			break
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}

// Commits returns the number of requested transactions, failed ones included.
func (t *Table) Commits() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// Reads returns the number of requested reads by key and scans.
func (t *Table) Reads() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}
