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
	// unreadPollWait is the wait of a poll while a partition isn't read yet, so that its rows are delivered soon.
	unreadPollWait = 100 * time.Millisecond
	// followReadTimeout is the timeout for reading one page of a partition.
	followReadTimeout = 2 * time.Second
)

// Follower follows the changes of a table. It reads all partitions at the start, and again if the change feed no longer
// has the changes after the last version read. A partition that can't be read is retried beside the others.
type Follower struct {
	Store *Store
	Table string
	// Partitions lists the partitions of the table.
	Partitions []string
	// PollWait is how long one poll of the change feed waits for changes, 0 for the default. PollInterval is the time
	// between the end of a poll and the next one.
	PollWait     time.Duration
	PollInterval time.Duration
	// OnRows is called with the changed rows, or with all rows of one partition if whole is set.
	OnRows func(rows []Row, whole bool)
	// OnError is called after each failed read or poll, and OnSuccess after each successful one once all partitions are
	// read, when its rows were delivered. All three callbacks are called on the goroutine of Run.
	OnError   func(error)
	OnSuccess func()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	r := f.newRound(ctx)
	delay := time.Duration(0)
	for ctx.Err() == nil {
		f.collect(ctx, r, delay)
		if ctx.Err() != nil {
			break
		}
		rows, err := f.poll(ctx, r)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			f.OnError(err)
			delay = followRetryDelay
			if fault.IsKind(err, fault.HistoryGone) {
				r.cancel()
				r = f.newRound(ctx)
			}
			continue
		}
		if len(rows) > 0 {
			f.OnRows(rows, false)
		}
		if r.unread == 0 {
			f.OnSuccess()
		}
		delay = f.PollInterval
	}
	r.cancel()
}

// round is one reading of all partitions, and the changes after it.
type round struct {
	// cancel ends the reads.
	cancel context.CancelFunc
	reads  chan read
	// unread is the number of partitions that are not read yet.
	unread int
	// begun reports that a partition is read, so that after is set: the version from which the feed continues.
	begun bool
	after uint64
}

// read is the result of reading one partition.
type read struct {
	page Page
	err  error
}

// newRound starts reading all partitions.
func (f *Follower) newRound(parent context.Context) *round {
	ctx, cancel := context.WithCancel(parent)
	r := &round{cancel: cancel, reads: make(chan read), unread: len(f.Partitions)}
	for _, partition := range f.Partitions {
		go f.readPartition(ctx, partition, r.reads)
	}
	return r
}

// readPartition reads a partition, with retries of each page until it succeeds, and sends the result or the failures.
func (f *Follower) readPartition(ctx context.Context, partition string, reads chan<- read) {
	scan := f.Store.Scan(Range{Table: f.Table, Partition: partition})
	for {
		callCtx, cancel := context.WithTimeout(ctx, followReadTimeout)
		done, err := scan.Next(callCtx)
		cancel()
		if !done && err == nil {
			continue
		}
		select {
		case reads <- read{page: scan.Page(), err: err}:
		case <-ctx.Done():
			return
		}
		if done {
			return
		}
		sleep(ctx, followRetryDelay)
	}
}

// collect applies the reads that end within the duration; if no partition is read yet, it waits for the first one.
func (f *Follower) collect(ctx context.Context, r *round, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for !r.begun {
		select {
		case result := <-r.reads:
			f.apply(r, result)
		case <-ctx.Done():
			return
		}
	}
	for {
		// Reads that have ended are applied even if the duration is over.
		select {
		case result := <-r.reads:
			f.apply(r, result)
			continue
		default:
		}
		select {
		case result := <-r.reads:
			f.apply(r, result)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// apply delivers the rows of a partition. The feed continues from the lowest version of all reads, since the partitions
// are read at different times.
func (f *Follower) apply(r *round, result read) {
	if result.err != nil {
		f.OnError(result.err)
		return
	}
	if !r.begun || result.page.Version < r.after {
		r.after = result.page.Version
	}
	r.begun = true
	r.unread--
	f.OnRows(result.page.Rows, true)
	if r.unread == 0 {
		f.OnSuccess()
	}
}

// poll returns the rows that have changed after the round's version.
func (f *Follower) poll(ctx context.Context, r *round) ([]Row, error) {
	wait := f.PollWait
	if wait == 0 {
		wait = followWait
	}
	if r.unread > 0 {
		wait = min(wait, unreadPollWait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+followTimeoutMargin)
	defer cancel()
	changes, err := f.Store.Feed(callCtx, f.Table, r.after, wait)
	if err != nil {
		return nil, err
	}
	r.after = max(r.after, changes.Version)
	return changes.Rows, nil
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
