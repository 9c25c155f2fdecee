package table

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
)

const (
	// followWait is how long a question for changes waits; a connection that fell silent is noticed after it.
	followWait = 900 * time.Millisecond
	// followSlack is how much longer than its wait the answer to a question may take.
	followSlack = 700 * time.Millisecond
	// followPause is the time between two questions after a failure.
	followPause = 100 * time.Millisecond
	// followTimeout bounds the reading of one page.
	followTimeout = 2 * time.Second
)

// Follower keeps up with a table; it reads it whole at the start, and again where changes are no longer known.
type Follower struct {
	Store *Store
	Table string
	// Partitions lists the parts of the table.
	Partitions []string
	// PollWait is how long a question for changes waits, 0 for the usual time; Pause is the least time between questions.
	PollWait     time.Duration
	PollInterval time.Duration
	// OnRows takes in the changed rows, or the whole table.
	OnRows func(rows []Row, whole bool)
	// OnError is told of a failure, Answered of an answer.
	OnError   func(error)
	OnSuccess func()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after uint64
	read := true
	for ctx.Err() == nil {
		var rows []Row
		var err error
		if read {
			rows, after, err = f.readAll(ctx)
		} else {
			rows, after, err = f.changes(ctx, after)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			read = read || fault.IsKind(err, fault.HistoryGone)
			f.OnError(err)
			pause(ctx, followPause)
			continue
		}
		f.OnSuccess()
		if len(rows) > 0 || read {
			f.OnRows(rows, read)
		}
		read = false
		pause(ctx, f.PollInterval)
	}
}

func (f *Follower) changes(ctx context.Context, after uint64) ([]Row, uint64, error) {
	wait := f.PollWait
	if wait == 0 {
		wait = followWait
	}
	call, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	changes, err := f.Store.Feed(call, f.Table, after, wait)
	if err != nil {
		return nil, after, err
	}
	return changes.Rows, max(after, changes.Version), nil
}

// readAll reads every part; the feed continues from the oldest of the moments that the parts were read at.
func (f *Follower) readAll(ctx context.Context) ([]Row, uint64, error) {
	var rows []Row
	var version uint64
	for i, part := range f.Partitions {
		call, cancel := context.WithTimeout(ctx, followTimeout)
		page, err := f.Store.ReadAll(call, Range{Table: f.Table, Partition: part})
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

func pause(ctx context.Context, d time.Duration) {
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
