package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/table"
)

// pageTimeout is the first timeout for reading a page during the takeover, which is doubled at each failure up to callTimeout:
// the response may be lost, and no task starts before the last page is read.
const pageTimeout = 400 * time.Millisecond

// repeatingReads returns a client of the store that repeats a read without a response until its context ends.
func repeatingReads(store *table.Store) *table.Store {
	repeating := *store
	repeating.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		for timeout := pageTimeout; ; timeout = min(callTimeout, 2*timeout) {
			page, late, err := readWithin(ctx, store, r, timeout)
			if !late || ctx.Err() != nil {
				return page, err
			}
		}
	}
	return &repeating
}

// readWithin reads a page and reports whether that failed because it took longer than the timeout.
func readWithin(ctx context.Context, store *table.Store, r table.Range, timeout time.Duration) (page table.Page, late bool, err error) {
	pageCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err = store.Read(pageCtx, r)
	return page, err != nil && pageCtx.Err() != nil, err
}
