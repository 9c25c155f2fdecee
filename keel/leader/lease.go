package leader

import (
	"context"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

const (
	// Table stores the rows of the lease.
	Table = "control"
	// rowName is the name of the row in each partition.
	rowName = "leader"
	// minLease is the lease duration while the store responds quickly, and about the time to replace a failed holder.
	minLease = 1300 * time.Millisecond
	// maxLease is the lease duration while the store is slow.
	maxLease = 4 * time.Second
	// oldLease is the lease duration for entries of earlier versions, which acquire it with fewer rows, and so the longest time
	// for which a holder keeps it with keepQuorum rows.
	oldLease = 15 * time.Second
	// latencyFactor is the number of store latencies by which the lease is longer than minLease.
	latencyFactor = 3
	// latencyDecay gives the decay of the latency that determines the lease: by 1/latencyDecay with each response. So the
	// lease stays longer while the store responds to some writes only.
	latencyDecay = 16
	// renewDivisor gives the renewal interval: the lease is renewed after 1/renewDivisor of its duration.
	renewDivisor = 3
	// marginDivisor gives the safety margin: the holder doesn't use the last 1/marginDivisor of the lease, because
	// clock rates differ by up to 2%.
	marginDivisor = 10
	// checkInterval is the time between checks whether the lease is due for renewal or can be acquired.
	checkInterval = 40 * time.Millisecond
	// acquireInterval is the minimum time between two attempts to acquire the lease.
	acquireInterval = 250 * time.Millisecond
	// rankDelay is the additional time per rank that a candidate waits before it acquires a free lease.
	rankDelay = 15 * time.Millisecond
	// LastRank is a rank with a delay of 1.2 s. It is longer than a poll without response takes, so that a candidate of a lower
	// rank that notices the end of an outage with its next poll only still comes first.
	LastRank = 80
	// feedWait is how long one poll of the change feed waits for changes.
	feedWait = 500 * time.Millisecond
	// feedTimeoutMargin is added to feedWait for the timeout of a poll.
	feedTimeoutMargin = 600 * time.Millisecond
	// feedInterval is the minimum time between two polls, so that one poll returns the changes of all rows.
	feedInterval = 100 * time.Millisecond
	// maxResponseAge is the maximum age of the last feed response for an entry to acquire the lease.
	maxResponseAge = 800 * time.Millisecond
	// recoveryGrace is how long the store must have responded after an outage before another entry may acquire the
	// lease, so that a live holder can renew first; the holder retries every expiredRenewInterval.
	recoveryGrace        = 300 * time.Millisecond
	expiredRenewInterval = 120 * time.Millisecond
	// feedRetryDelay is the delay before a failed read or poll is retried.
	feedRetryDelay = 150 * time.Millisecond
	// standDownAfter is how long a holder retries the renewal of an expired lease before it stands down.
	standDownAfter = 2 * maxLease
	// A row whose write has had no response for repeatDelay plus latencyFactor latencies of the store is written again
	// beside it, and each time after twice as long: the response may be lost.
	repeatDelay = 250 * time.Millisecond
	// maxRepeatDoublings limits the doubling of that delay.
	maxRepeatDoublings = 4
	// keptLogInterval is the minimum time between two log lines about the rows that the holder keeps.
	keptLogInterval = time.Second
	// readTimeout is the timeout for reading one row.
	readTimeout = time.Second
	// releasePollInterval is the time between checks whether a renewal in flight has ended, so that the lease can be
	// released.
	releasePollInterval = 5 * time.Millisecond
)

// Record is the value of a row of the lease.
type Record struct {
	Holder string `json:"holder"`
	// Address is where the holder serves other entries.
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	// Attempted is the latest epoch of an attempt to acquire the lease that wrote the row and got no quorum, 0 if that is
	// not later than Epoch.
	Attempted int64 `json:"attempted,omitempty"`
	// Renewals rises with each renewal and with the release.
	Renewals int64 `json:"beat"`
	// LeaseMillis is the time from a renewal to the end of the lease for entries that acquire it with oldQuorum of the first
	// rows, and RowMillis for those that need claimQuorum of all; 0 if the holder is of an earlier version.
	LeaseMillis int64 `json:"lease_ms"`
	RowMillis   int64 `json:"row_ms,omitempty"`
	// Released reports that the holder released the lease before its end.
	Released bool `json:"released,omitempty"`
	// RecentOrders is, by instance, the time in milliseconds from the holder's last order to the release.
	RecentOrders map[string]int64 `json:"ordered,omitempty"`
}

// Lease is one entry's view of the lease; the control loop owns it, and only Valid and Leader may be called from other
// goroutines.
type Lease struct {
	Store *table.Store
	Loop  *control.Loop
	Log   *event.Log
	// Name and Address identify this entry.
	Name    string
	Address string
	// Rank delays the acquisition of a free lease by rankDelay for each rank, so that candidates with a lower rank
	// acquire it first.
	Rank int
	// Now is a clock that keeps counting while the machine is suspended.
	Now func() time.Duration
	// OnAcquired is called when this entry acquires the lease, with the record of the previous holder, and OnLost when
	// it no longer holds the lease. Both are called on the loop.
	OnAcquired func(epoch int64, previous Record)
	OnLost     func(reason string)
	// RecentOrders returns, by instance, the time in milliseconds since this holder's last order.
	RecentOrders func() map[string]int64

	rows        [rowCount]*leaseRow
	lastAttempt time.Duration
	// held is the record under which this entry holds the epoch, nil if it doesn't; the lease may have expired.
	held *Record
	// attempt is the attempt in progress to acquire the lease, nil if there is none.
	attempt *attempt
	// keptRows is the number of rows that this entry kept when that was last logged, at keptLoggedAt.
	keptRows     int
	keptLoggedAt time.Duration
	// promisedUntil is the latest end of the leases that this entry has written.
	promisedUntil time.Duration
	// failedAttempts counts the attempts without a quorum since this entry last held the lease.
	failedAttempts int
	// storeLatency is the latency that determines the duration of the lease.
	storeLatency time.Duration
	// responseLatency is the time that the last response to a write took.
	responseLatency time.Duration
	releasing       bool
	// lastResponse is when the store last responded to a poll. respondingSince is when it first responded after the
	// last failed poll, 0 while polls fail.
	lastResponse, respondingSince time.Duration

	// validUntil is the time until which this entry may act under the lease, in nanoseconds of Now; 0 if it doesn't
	// hold the lease.
	validUntil atomic.Int64
	leader     atomic.Pointer[Record]
}

// Start starts following the rows and acquiring the lease; it is called on the loop.
func (l *Lease) Start() {
	l.leader.Store(&Record{})
	l.rows = newLeaseRows()
	for _, r := range l.rows {
		r.changedAt = l.Now()
		go l.readRow(l.Loop.Context(), r)
	}
	go l.followFeed(l.Loop.Context())
	l.Loop.Every(checkInterval, l.check)
}

// Leader returns the record of the current holder; Holder is empty if none is known.
func (l *Lease) Leader() Record { return *l.leader.Load() }

// Valid reports whether this entry holds the lease and may act under it now.
func (l *Lease) Valid() bool { return int64(l.Now()) < l.validUntil.Load() }

// readRow reads a row, with retries until one attempt succeeds; it returns at once while another call reads the row.
func (l *Lease) readRow(ctx context.Context, r *leaseRow) {
	if !r.reading.CompareAndSwap(false, true) {
		return
	}
	defer r.reading.Store(false)
	for ctx.Err() == nil {
		page, err := l.readOnce(ctx, r)
		if err == nil {
			l.observePage(ctx, r, page)
			return
		}
		sleep(ctx, feedRetryDelay)
	}
}

// readOnce reads a row.
func (l *Lease) readOnce(ctx context.Context, r *leaseRow) (table.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return l.Store.Read(ctx, table.Range{Table: Table, Partition: r.partition, From: rowName, Limit: 1})
}

// observePage applies a read of the row's partition.
func (l *Lease) observePage(ctx context.Context, r *leaseRow, page table.Page) {
	l.Loop.Post(ctx, func() {
		r.observed = true
		for _, row := range page.Rows {
			l.observeRow(r, row)
		}
	})
}

// followFeed polls the change feed and observes the changed rows until ctx ends.
func (l *Lease) followFeed(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		changes, err := l.pollFeed(ctx, after)
		if fault.IsKind(err, fault.HistoryGone) {
			// The feed no longer has the changes after this version.
			after = l.resync(ctx, after)
			continue
		}
		if err != nil {
			l.Loop.Post(ctx, func() { l.respondingSince = 0 })
			sleep(ctx, feedRetryDelay)
			continue
		}
		after = max(after, changes.Version)
		l.Loop.Post(ctx, func() {
			l.recordResponse()
			for _, row := range changes.Rows {
				for _, r := range l.rows {
					if row.Partition == r.partition && row.Name == rowName {
						l.observeRow(r, row)
					}
				}
			}
		})
		sleep(ctx, feedInterval)
	}
}

// pollFeed waits up to feedWait for changes after the version.
func (l *Lease) pollFeed(ctx context.Context, after uint64) (table.Changes, error) {
	callCtx, cancel := context.WithTimeout(ctx, feedWait+feedTimeoutMargin)
	defer cancel()
	return l.Store.Feed(callCtx, Table, after, feedWait)
}

// recordResponse records the time of a response from the store.
func (l *Lease) recordResponse() {
	l.lastResponse = l.Now()
	if l.respondingSince == 0 {
		l.respondingSince = l.lastResponse
	}
}

// rowPage is the result of reading one row.
type rowPage struct {
	row  *leaseRow
	page table.Page
	err  error
}

// resync reads the rows until keepQuorum of them are read and returns the version from which the feed continues, which is
// the given one if so many can't be read. The other rows are read in the background: the lease doesn't need them, and their
// partitions may be unavailable for long.
func (l *Lease) resync(ctx context.Context, version uint64) uint64 {
	results := make(chan rowPage, rowCount)
	for _, r := range l.rows {
		go func() {
			page, err := l.readOnce(ctx, r)
			results <- rowPage{row: r, page: page, err: err}
		}()
	}
	read := make(map[*leaseRow]bool)
	next := uint64(0)
	for range l.rows {
		result := <-results
		if result.err != nil {
			continue
		}
		l.observePage(ctx, result.row, result.page)
		read[result.row] = true
		if next == 0 || result.page.Version < next {
			next = result.page.Version
		}
		if len(read) >= keepQuorum {
			break
		}
	}
	if len(read) < keepQuorum {
		sleep(ctx, feedRetryDelay)
		return version
	}
	for _, r := range l.rows {
		if !read[r] {
			go l.readRow(ctx, r)
		}
	}
	return next
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// observeRow applies a row read from the store.
func (l *Lease) observeRow(r *leaseRow, row table.Row) {
	changed, err := r.observe(row, l.Now())
	if err != nil {
		l.Log.Write(event.LeaseRowUnreadable, event.Fields{"reason": err.Error(), "version": row.Version})
		return
	}
	if changed && r.record.Holder == l.Name {
		r.extendFromSent()
		l.updateValidity()
	}
	l.updateLeader()
	l.checkAttempt()
}

// holds reports whether the row names this entry under the epoch that it holds.
func (l *Lease) holds(r *leaseRow) bool {
	return l.held != nil && r.isOf(*l.held)
}

// updateLeader determines the holder that oldQuorum of the first rows name, as they do for holders of each version, and stands down if another entry holds this or a
// later epoch.
func (l *Lease) updateLeader() {
	var holder *Record
	first := l.rows[:oldRowCount]
	for _, r := range first {
		matching := 0
		for _, other := range first {
			if r.record.Holder != "" && other.isOf(r.record) {
				matching++
			}
		}
		if matching >= oldQuorum {
			holder = &r.record
			break
		}
	}
	if holder == nil {
		return
	}
	previous := l.Leader()
	record := *holder
	l.leader.Store(&record)
	if previous.Holder != record.Holder || previous.Epoch != record.Epoch {
		l.Log.Write(event.LeaderChanged, event.Fields{"holder": record.Holder, "epoch": record.Epoch, "before": previous.Holder})
	}
	if l.held != nil && (record.Holder != l.Name || record.Epoch != l.held.Epoch) && record.Epoch >= l.held.Epoch {
		l.standDown("entry " + record.Holder + " holds epoch " + itoa(record.Epoch))
	}
}

func (l *Lease) standDown(reason string) {
	l.held = nil
	l.validUntil.Store(0)
	l.OnLost(reason)
}
