package table

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

const (
	// followWait is how long one poll of the change feed waits for changes. A connection that stopped responding is
	// detected only after it.
	followWait = 900 * time.Millisecond
	// followTimeoutMargin is added to the wait of a poll to give its timeout.
	followTimeoutMargin = 700 * time.Millisecond
	// followRetryDelay is the delay before a failed poll or read is retried.
	followRetryDelay = 100 * time.Millisecond
	// followReadTimeout is the timeout for reading one partition.
	followReadTimeout = 2 * time.Second
)

// Follower follows the changes of a table. It reads the whole table at the start, and again if the change feed no
// longer has the changes after the last version read.
type Follower struct {
	Store *Store
	Table string
	// Partitions lists the partitions of the table.
	Partitions []string
	// PollWait is how long one poll of the change feed waits for changes, 0 for the default. PollInterval is the time
	// between the end of a poll and the next one.
	PollWait     time.Duration
	PollInterval time.Duration
	// OnRows is called with the changed rows, or with all rows of the table if whole is set.
	OnRows func(rows []Row, whole bool)
	// OnError is called after each failed read or poll, and OnSuccess after each successful one. All three callbacks
	// are called on the goroutine of Run.
	OnError   func(error)
	OnSuccess func()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	reload := true
	for ctx.Err() == nil {
		var rows []Row
		var err error
		if reload {
			rows, after, err = f.readTable(ctx)
		} else {
			rows, after, err = f.poll(ctx, after)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			reload = reload || fault.IsKind(err, fault.HistoryGone)
			f.OnError(err)
			sleep(ctx, followRetryDelay)
			continue
		}
		f.OnSuccess()
		if len(rows) > 0 || reload {
			f.OnRows(rows, reload)
		}
		reload = false
		sleep(ctx, f.PollInterval)
	}
}

func (f *Follower) poll(ctx context.Context, after uint64) ([]Row, uint64, error) {
	wait := f.PollWait
	if wait == 0 {
		wait = followWait
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+followTimeoutMargin)
	defer cancel()
	changes, err := f.Store.Feed(callCtx, f.Table, after, wait)
	if err != nil {
		return nil, after, err
	}
	return changes.Rows, max(after, changes.Version), nil
}

// readTable reads all partitions and returns the lowest of their versions, from which the feed continues.
func (f *Follower) readTable(ctx context.Context) ([]Row, uint64, error) {
	var rows []Row
	var version uint64
	for i, partition := range f.Partitions {
		callCtx, cancel := context.WithTimeout(ctx, followReadTimeout)
		page, err := f.Store.ReadAll(callCtx, Range{Table: f.Table, Partition: partition})
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if i == 0 || page.Version < version {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
	}
	return rows, version, nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
