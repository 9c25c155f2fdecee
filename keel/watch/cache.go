package watch

import (
	"sort"

	"samphirekeel.example/keel/platform"
)

// compactFactor bounds the log of a cache to this many entries for each row.
const compactFactor = 2

// logSlack is the number of log entries that are kept without compaction.
const logSlack = 1024

// Cache is a copy of the rows under a prefix; it belongs to one goroutine.
type Cache struct {
	prefix  string
	rows    map[string]platform.Row
	log     []entry
	through uint64
	live    int
}

type entry struct {
	version uint64
	key     string
}

// New returns an empty cache of the rows under the prefix.
func New(prefix string) *Cache {
	return &Cache{prefix: prefix, rows: make(map[string]platform.Row)}
}

// Prefix returns the prefix of the cache's keys.
func (c *Cache) Prefix() string { return c.prefix }

// Through returns the table version up to which the cache is complete.
func (c *Cache) Through() uint64 { return c.through }

// NewestVersion returns the highest version of a row in the cache.
func (c *Cache) NewestVersion() uint64 {
	if len(c.log) == 0 {
		return 0
	}
	return c.log[len(c.log)-1].version
}

// Len returns the number of rows that exist.
func (c *Cache) Len() int { return c.live }

// Get returns the row with the key, with version 0 if there is none.
func (c *Cache) Get(key string) platform.Row {
	row, ok := c.rows[key]
	if !ok || row.Deleted() {
		return platform.Row{Key: key}
	}
	return row
}

// Apply takes in the answer to a scan after a version and returns the rows that were news, in order.
// It ignores an answer that starts later than the cache reaches, which would leave a gap.
func (c *Cache) Apply(after uint64, result platform.ScanResult) []platform.Row {
	if after > c.through {
		return nil
	}
	var news []platform.Row
	for _, row := range result.Rows {
		if row.Version <= c.through {
			continue
		}
		c.put(row)
		news = append(news, row)
	}
	if result.Through > c.through {
		c.through = result.Through
	}
	c.compact()
	return news
}

func (c *Cache) put(row platform.Row) {
	old, existed := c.rows[row.Key]
	if existed && !old.Deleted() {
		c.live--
	}
	if !row.Deleted() {
		c.live++
	}
	c.rows[row.Key] = row
	c.log = append(c.log, entry{row.Version, row.Key})
}

// Since returns the rows written after a version, as a scan of the table would.
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

// compact drops the log entries of superseded row versions once they outnumber the rows.
func (c *Cache) compact() {
	if len(c.log) < compactFactor*len(c.rows)+logSlack {
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
