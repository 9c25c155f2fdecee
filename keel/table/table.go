package table

import (
	"context"
	"time"
)

// Key identifies a row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a row as read from the store.
type Row struct {
	Key
	Value []byte
	// Version is the number of the transaction that last wrote the row; it rises with each transaction of the store.
	Version uint64
	// Deleted reports that the row was removed; only changes contain such rows.
	Deleted bool
}

// Condition requires that a row has the version; version 0 means that the row must not exist.
type Condition struct {
	Key
	Version uint64
}

// Write sets the value of a row.
type Write struct {
	Key
	Value []byte
}

// Txn is a transaction on one partition: all of its writes and removals take effect if all its conditions hold, else
// none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Removals   []Key
}

// Size returns the number of conditions, writes and removals.
func (t Txn) Size() int { return len(t.Conditions) + len(t.Writes) + len(t.Removals) }

// Result is the result of a transaction.
type Result struct {
	// Version is the version of the written rows, or the newest version of the store if a condition failed.
	Version uint64
	// Now is the store's monotonic clock.
	Now time.Duration
	// Current lists the current rows of the conditions if one failed; rows that don't exist are left out.
	Current []Row
}

// Range selects rows of one partition, ordered by name.
type Range struct {
	Table     string
	Partition string
	// From is the first name of the range and To the first name after it; empty means no bound.
	From  string
	To    string
	Limit int
}

// Page is a consistent snapshot of a range, or of its first rows; More reports that further rows follow.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
	Now     time.Duration
}

// Changes holds the changed rows of a table in the order of their versions.
type Changes struct {
	Rows []Row
	// Version is the version from which the next poll continues.
	Version uint64
	Now     time.Duration
}

// Store calls the store; calls fail with kind PlatformUnavailable, and with outcome Unknown if the call may have taken
// effect, with kind Conflict if a condition doesn't hold, and with kind HistoryGone if the store no longer has the
// changes.
type Store struct {
	// Commit runs a transaction.
	Commit func(ctx context.Context, txn Txn) (Result, error)
	// Read reads the first page of a range.
	Read func(ctx context.Context, r Range) (Page, error)
	// Feed returns the changes of the table after the version; if there are none, it waits for one, at most for wait.
	Feed func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ReadAll reads all pages of a range. Version is that of the first page, so that the change feed from this version
// includes all changes during the read; Now is that of the last page.
func (s *Store) ReadAll(ctx context.Context, r Range) (Page, error) {
	scan := s.Scan(r)
	for {
		done, err := scan.Next(ctx)
		if err != nil {
			return Page{}, err
		}
		if done {
			return scan.Page(), nil
		}
	}
}

// Scan returns a scan of a range.
func (s *Store) Scan(r Range) *Scan { return &Scan{store: s, next: r} }

// Scan reads a range page by page. After a failure it continues with the failed page, so that a range of many pages is
// read in the end although the store is slow or rejects some calls.
type Scan struct {
	store *Store
	// next is the range without the pages that are read.
	next Range
	all  Page
	done bool
}

// Next reads the next page, if there is one, and reports whether all pages are read.
func (s *Scan) Next(ctx context.Context) (bool, error) {
	if s.done {
		return true, nil
	}
	page, err := s.store.Read(ctx, s.next)
	if err != nil {
		return false, err
	}
	if s.all.Version == 0 {
		s.all.Version = page.Version
	}
	s.all.Rows = append(s.all.Rows, page.Rows...)
	s.all.Now = page.Now
	s.done = !page.More || len(page.Rows) == 0
	if !s.done {
		// The next page starts with the lowest name after the last one.
		s.next.From = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
	return s.done, nil
}

// Page returns the rows of the pages that are read. Version is that of the first page, so that the change feed from this
// version includes all changes during the scan; Now is that of the last page.
func (s *Scan) Page() Page { return s.all }
