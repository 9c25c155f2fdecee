package table

import (
	"context"
	"time"
)

// Key names one row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is one row as the store holds it.
type Row struct {
	Key
	Value []byte
	// Version is drawn from one counter that grows with each transaction.
	Version uint64
	// Deleted reports that a change removed the row.
	Deleted bool
}

// Condition holds a row to the version that the writer has seen; version 0 means that the row must not exist.
type Condition struct {
	Key
	Version uint64
}

// Write sets the value of a row.
type Write struct {
	Key
	Value []byte
}

// Txn is a transaction of one part: all of its writes and removals take effect if all its conditions hold, else none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Removals   []Key
}

// Size returns the number of entries of the transaction.
func (t Txn) Size() int { return len(t.Conditions) + len(t.Writes) + len(t.Removals) }

// Result is the answer to a transaction.
type Result struct {
	// Version is the version of the rows written, or the newest version if a condition failed.
	Version uint64
	// Now is the store's steady clock.
	Now time.Duration
	// Current holds the present rows of the conditions after a failure; a row that doesn't exist is left out.
	Current []Row
}

// Range asks for rows of one part in the order of their names.
type Range struct {
	Table     string
	Partition string
	// From is the first name, To the first one after the range; empty means no bound.
	From  string
	To    string
	Limit int
}

// Page is a part of a range as of a single moment.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
	Now     time.Duration
}

// Changes holds the changed rows of a table in the order of their versions.
type Changes struct {
	Rows []Row
	// Version is where the next question continues.
	Version uint64
	Now     time.Duration
}

// Store calls the store; each call fails with kind PlatformUnavailable, and outcome Unknown where it may have taken
// effect, Conflict where a condition didn't hold, and HistoryGone where changes are no longer known.
type Store struct {
	// Commit runs a transaction.
	Commit func(ctx context.Context, txn Txn) (Result, error)
	// Read reads a range of rows.
	Read func(ctx context.Context, r Range) (Page, error)
	// Feed waits until rows of the table have changed after the version, or until wait has passed.
	Feed func(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// ReadAll reads a range to its end, page by page.
func (s *Store) ReadAll(ctx context.Context, r Range) (Page, error) {
	var all Page
	for {
		page, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		all.Now = page.Now
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		// The next page starts right after the last name.
		r.From = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}
