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
	// Table holds the rows of the lease.
	Table = "control"
	// rowName names the row in each part.
	rowName = "leader"
	// shortest is the lease while the store answers quickly: a lost holder is replaced about this long after.
	shortest = 1300 * time.Millisecond
	// longest is the lease while the store is slow.
	longest = 4 * time.Second
	// latencyFactor is how many answers of the store the lease outlasts beyond the shortest one.
	latencyFactor = 3
	// renewDivisor is the part of the lease after which it is renewed.
	renewDivisor = 3
	// marginDivisor is the part of the lease that the holder doesn't use, for clocks that differ by up to 2%.
	marginDivisor = 10
	// checkInterval is the time between looks at the lease's age.
	checkInterval = 40 * time.Millisecond
	// retryPause is the least time between two tries to take the lease.
	retryPause = 250 * time.Millisecond
	// rankStep is how much longer a candidate waits for each rank that it stands behind the strongest one.
	rankStep = 15 * time.Millisecond
	// feedWait is how long a question for changes of the rows waits.
	feedWait = 500 * time.Millisecond
	// feedSlack is how much longer than its wait the answer to a question may take.
	feedSlack = 600 * time.Millisecond
	// feedGap is the least time between two questions, so that the changes of all rows come with one.
	feedGap = 100 * time.Millisecond
	// freshAnswer is how old the last answer may be for a lease to be taken.
	freshAnswer = 800 * time.Millisecond
	// returnGrace is how long a store that was away must have answered, so that a holder that lives can renew its lease
	// first; such a holder tries again after retryRenewal.
	returnGrace  = 300 * time.Millisecond
	retryRenewal = 120 * time.Millisecond
	// feedPause is the time between two questions after a failure.
	feedPause = 150 * time.Millisecond
	// giveUpAfter is how long a holder tries to renew a lease that has run out before it starts over.
	giveUpAfter = 2 * longest
	// readTimeout bounds the reading of one row.
	readTimeout = time.Second
	// releasePause is the time between looks at whether a renewal under way has ended before the lease is given back.
	releasePause = 5 * time.Millisecond
)

// Record is a row of the lease.
type Record struct {
	Holder string `json:"holder"`
	// Address is where the holder answers other entries.
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	// Beat grows with each renewal.
	Beat int64 `json:"beat"`
	// LeaseMillis is how long the lease lasts from its renewal.
	LeaseMillis int64 `json:"lease_ms"`
	// Released reports that the holder gave the lease back.
	Released bool `json:"released,omitempty"`
	// RecentOrders holds when the holder last gave orders to instances, in milliseconds before the release.
	RecentOrders map[string]int64 `json:"ordered,omitempty"`
}

// Lease is one entry's view of the lease; it belongs to the control loop, but for Valid and Leader.
type Lease struct {
	Store *table.Store
	Loop  *control.Loop
	Log   *event.Log
	// Name and Address are the entry's own.
	Name    string
	Address string
	// Rank is how many candidates are known to be stronger.
	Rank int
	// Now is a clock that counts the time of a suspension.
	Now func() time.Duration
	// OnAcquired begins the work of an epoch, after the record that was there before; Lost ends it.
	OnAcquired func(epoch int64, before Record)
	OnLost     func(reason string)
	// RecentOrders returns when this holder last gave orders to instances, in milliseconds before now.
	RecentOrders func() map[string]int64

	seats [seats]*seat
	tried time.Duration
	// holding is the record under which this entry holds the epoch, nil if it doesn't; the lease may need a renewal.
	holding *Record
	// taking counts the answers that are still to come to a try to take the lease.
	taking  int
	latency time.Duration
	leaving bool
	// answered is when the store last answered a question for changes, answering since when it has always done so.
	answered, answering time.Duration

	validUntil atomic.Int64
	leader     atomic.Pointer[Record]
}

// Start begins to follow the lease; it is called on the loop.
func (l *Lease) Start() {
	l.leader.Store(&Record{})
	l.seats = newSeats()
	for _, s := range l.seats {
		s.changed = l.Now()
		go l.read(l.Loop.Context(), s)
	}
	go l.follow(l.Loop.Context())
	l.Loop.Every(checkInterval, l.check)
}

// Leader returns the record of the present holder; Holder is empty if none is known.
func (l *Lease) Leader() Record { return *l.leader.Load() }

// Valid reports whether this entry holds the lease and may act under it right now.
func (l *Lease) Valid() bool { return int64(l.Now()) < l.validUntil.Load() }

// read reads a row until that succeeds once.
func (l *Lease) read(ctx context.Context, s *seat) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := l.Store.Read(call, table.Range{Table: Table, Partition: s.part, From: rowName, Limit: 1})
		cancel()
		if err == nil {
			l.Loop.Post(ctx, func() {
				s.known = true
				for _, row := range page.Rows {
					l.seeSeat(s, row)
				}
			})
			return
		}
		pause(ctx, feedPause)
	}
}

// follow keeps asking for changes of the rows.
func (l *Lease) follow(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		changes, err := l.ask(ctx, after)
		if fault.IsKind(err, fault.HistoryGone) {
			// What the feed can't tell any more is read.
			after = l.readAll(ctx, after)
			continue
		}
		if err != nil {
			l.Loop.Post(ctx, func() { l.answering = 0 })
			pause(ctx, feedPause)
			continue
		}
		after = max(after, changes.Version)
		l.Loop.Post(ctx, func() {
			l.noteAnswer()
			for _, row := range changes.Rows {
				for _, s := range l.seats {
					if row.Partition == s.part && row.Name == rowName {
						l.seeSeat(s, row)
					}
				}
			}
		})
		pause(ctx, feedGap)
	}
}

// ask asks for changes of the rows.
func (l *Lease) ask(ctx context.Context, after uint64) (table.Changes, error) {
	call, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	return l.Store.Feed(call, Table, after, feedWait)
}

// noteAnswer notes that the store answers.
func (l *Lease) noteAnswer() {
	l.answered = l.Now()
	if l.answering == 0 {
		l.answering = l.answered
	}
}

// readAll reads every row and returns the version from which the feed continues.
func (l *Lease) readAll(ctx context.Context, after uint64) uint64 {
	next := uint64(0)
	for _, s := range l.seats {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := l.Store.Read(call, table.Range{Table: Table, Partition: s.part, From: rowName, Limit: 1})
		cancel()
		if err != nil {
			pause(ctx, feedPause)
			return after
		}
		if next == 0 || page.Version < next {
			next = page.Version
		}
		l.Loop.Post(ctx, func() {
			for _, row := range page.Rows {
				l.seeSeat(s, row)
			}
		})
	}
	return next
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// seeSeat takes in a row as the store holds it.
func (l *Lease) seeSeat(s *seat, row table.Row) {
	_, err := s.see(row, l.Now())
	if err != nil {
		l.Log.Write(event.LeaseRowUnreadable, event.Fields{"reason": err.Error(), "version": row.Version})
		return
	}
	l.settle()
}

// settle finds out who holds the lease by most of the rows.
func (l *Lease) settle() {
	var held *Record
	for _, s := range l.seats {
		n := 0
		for _, other := range l.seats {
			if s.record.Holder != "" && s.record.Holder == other.record.Holder && s.record.Epoch == other.record.Epoch {
				n++
			}
		}
		if n >= most {
			held = &s.record
			break
		}
	}
	if held == nil {
		return
	}
	before := l.Leader()
	record := *held
	l.leader.Store(&record)
	if before.Holder != record.Holder || before.Epoch != record.Epoch {
		l.Log.Write(event.LeaderChanged, event.Fields{"holder": record.Holder, "epoch": record.Epoch, "before": before.Holder})
	}
	if l.holding != nil && (record.Holder != l.Name || record.Epoch != l.holding.Epoch) && record.Epoch >= l.holding.Epoch {
		l.lose("entry " + record.Holder + " holds epoch " + itoa(record.Epoch))
	}
}

func (l *Lease) lose(reason string) {
	l.holding = nil
	l.validUntil.Store(0)
	l.OnLost(reason)
}
