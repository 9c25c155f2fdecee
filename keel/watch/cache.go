package watch

import (
	"sort"

	"samphirekeel.example/keel/platform"
)

// compactFactor is the number of log entries for each row above which the log is compacted.
const compactFactor = 2

// compactMargin is added to that limit, so that a small cache is not compacted often.
const compactMargin = 1024

// Cache caches the rows under a key prefix, deleted ones included; it is not safe for concurrent use.
type Cache struct {
	prefix string
	rows   map[string]platform.Row
	// log holds the version and key of every applied row, sorted by version, until compact removes superseded ones.
	log      []logEntry
	through  uint64
	liveRows int
}

type logEntry struct {
	version uint64
	key     string
}

// New returns an empty cache of the rows under the prefix.
func New(prefix string) *Cache {
	return &Cache{prefix: prefix, rows: make(map[string]platform.Row)}
}

// Prefix returns the prefix of the cache's keys.
func (c *Cache) Prefix() string { return c.prefix }

// Through returns the version of the table up to which the cache has applied all changes.
func (c *Cache) Through() uint64 { return c.through }

// NewestVersion returns the highest row version in the cache, 0 if it is empty.
func (c *Cache) NewestVersion() uint64 {
	if len(c.log) == 0 {
		return 0
	}
	return c.log[len(c.log)-1].version
}

// Len returns the number of rows that are not deleted.
func (c *Cache) Len() int { return c.liveRows }

// Get returns the row with the key, or a row with version 0 if there is none or it is deleted.
func (c *Cache) Get(key string) platform.Row {
	row, ok := c.rows[key]
	if !ok || row.Deleted() {
		return platform.Row{Key: key}
	}
	return row
}

// Apply applies the result of a scan of the rows changed after a version, and returns the rows that were newer than the
// cache, in the result's order. It ignores a scan that starts after the version that the cache has reached, since the
// changes between them would be missing.
func (c *Cache) Apply(after uint64, result platform.ScanResult) []platform.Row {
	if after > c.through {
		return nil
	}
	var changed []platform.Row
	for _, row := range result.Rows {
		if row.Version <= c.through {
			continue
		}
		c.put(row)
		changed = append(changed, row)
	}
	if result.Through > c.through {
		c.through = result.Through
	}
	c.compact()
	return changed
}

func (c *Cache) put(row platform.Row) {
	old, existed := c.rows[row.Key]
	if existed && !old.Deleted() {
		c.liveRows--
	}
	if !row.Deleted() {
		c.liveRows++
	}
	c.rows[row.Key] = row
	c.log = append(c.log, logEntry{row.Version, row.Key})
}

// Since returns the rows changed after a version, deletions included, as a scan of the table does. The result may
// exceed the limit, as rows of one version are not split; a limit of 0 returns all rows.
func (c *Cache) Since(after uint64, limit int) platform.ScanResult {
	result := platform.ScanResult{Rows: []platform.Row{}, Through: c.through}
	start := sort.Search(len(c.log), func(i int) bool { return c.log[i].version > after })
	for _, e := range c.log[start:] {
		row := c.rows[e.key]
		if row.Version != e.version {
			continue
		}
		full := limit > 0 && len(result.Rows) >= limit
		if full && row.Version > result.Rows[len(result.Rows)-1].Version {
			result.Through = result.Rows[len(result.Rows)-1].Version
			result.More = true
			break
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}

// compact removes the log entries of superseded row versions once the log is longer than its limit.
func (c *Cache) compact() {
	if len(c.log) < compactFactor*len(c.rows)+compactMargin {
		return
	}
	kept := c.log[:0]
	for _, e := range c.log {
		if c.rows[e.key].Version == e.version {
			kept = append(kept, e)
		}
	}
	c.log = kept
}
