package leader

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
)

// length returns how long the lease lasts, by how quickly the store answers.
func (l *Lease) length() time.Duration {
	return min(longest, shortest+latencyFactor*l.latency)
}

// callTimeout bounds a write of a row: what comes later is of no use.
func (l *Lease) callTimeout() time.Duration { return longest - longest/marginDivisor }

// check renews a lease that is held, or takes one that has run out.
func (l *Lease) check() {
	if l.leaving {
		return
	}
	now := l.Now()
	if l.holding != nil && now > time.Duration(l.validUntil.Load())+giveUpAfter {
		l.lose("most of the rows could not be renewed for long")
		return
	}
	if l.holding != nil {
		due := l.length() / renewDivisor
		if !l.Valid() {
			due = retryRenewal
		}
		if now-l.tried >= due {
			l.renew(now)
		}
		return
	}
	if l.taking == 0 && now-l.tried >= retryPause && now-l.answered <= freshAnswer && l.free(now) {
		l.take(now)
	}
}

// free reports whether most of the rows may be taken.
func (l *Lease) free(now time.Duration) bool {
	n := 0
	for _, s := range l.seats {
		if s.known && !s.busy && now >= s.freeAt(l.Name, l.answering)+time.Duration(l.Rank)*rankStep {
			n++
		}
	}
	return n >= most
}

// renew renews the rows that aren't being written.
func (l *Lease) renew(now time.Duration) {
	l.tried = now
	l.holding.Beat++
	l.holding.LeaseMillis = l.length().Milliseconds()
	for _, s := range l.seats {
		if !s.busy && s.known && l.mayRenew(s, now) {
			l.writeSeat(s, *l.holding, func(bool) { l.renewed() })
		}
	}
}

// mayRenew reports whether the row is this entry's, or free and of no later epoch. A later leader's row must be left
// alone even where it isn't known yet that this leader has most of the rows.
func (l *Lease) mayRenew(s *seat, now time.Duration) bool {
	if s.record.Holder == l.Name && s.record.Epoch == l.holding.Epoch {
		return true
	}
	return s.record.Epoch < l.holding.Epoch && now >= s.freeAt(l.Name, l.answering)
}

// renewed counts how long most of the renewals last.
func (l *Lease) renewed() {
	if l.holding == nil {
		return
	}
	var until []time.Duration
	for _, s := range l.seats {
		if s.record.Holder != l.Name || s.record.Epoch != l.holding.Epoch {
			continue
		}
		until = append(until, s.validUntil)
	}
	if len(until) < most {
		return
	}
	slices.SortFunc(until, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	l.validUntil.Store(max(l.validUntil.Load(), int64(until[most-1])))
	record := *l.holding
	l.leader.Store(&record)
}

// take tries to get most of the rows under a new epoch.
func (l *Lease) take(now time.Duration) {
	l.tried = now
	epoch := int64(0)
	before := l.Leader()
	for _, s := range l.seats {
		epoch = max(epoch, s.record.Epoch)
		if l.Leader().Holder == "" && s.record.Epoch > before.Epoch {
			before = s.record
		}
	}
	next := Record{Holder: l.Name, Address: l.Address, Epoch: epoch + 1, LeaseMillis: l.length().Milliseconds()}
	won := 0
	for _, s := range l.seats {
		if s.busy || !s.known || now < s.freeAt(l.Name, l.answering) {
			continue
		}
		l.taking++
		l.writeSeat(s, next, func(mine bool) {
			l.taking--
			if mine {
				won++
			}
			l.taken(next, before, won)
		})
	}
}

// taken begins the epoch once most of the rows are won, and gives the others back if they can't be any more.
func (l *Lease) taken(next, before Record, won int) {
	if won >= most && l.holding == nil && !l.leaving {
		l.holding = &next
		l.renewed()
		l.Log.Write(event.LeaderChanged, event.Fields{"holder": l.Name, "epoch": next.Epoch, "before": before.Holder})
		l.OnAcquired(next.Epoch, before)
		return
	}
	if l.holding == nil && l.taking == 0 && won > 0 {
		next.Released = true
		for _, s := range l.seats {
			if !s.busy && s.record.Holder == l.Name && s.record.Epoch == next.Epoch && !s.record.Released {
				l.writeSeat(s, next, func(bool) {})
			}
		}
	}
}

// Release gives the lease back and then calls done; it is called on the loop.
func (l *Lease) Release(done func()) {
	l.leaving = true
	if l.holding == nil {
		done()
		return
	}
	for _, s := range l.seats {
		if s.busy && l.Valid() {
			l.Loop.After(releasePause, func() { l.Release(done) })
			return
		}
	}
	next := *l.holding
	next.Released = true
	next.Beat++
	if l.RecentOrders != nil {
		next.RecentOrders = l.RecentOrders()
	}
	l.lose("the entry stops")
	waiting := 0
	for _, s := range l.seats {
		if s.busy || s.record.Holder != l.Name {
			continue
		}
		waiting++
		l.writeSeat(s, next, func(bool) {
			waiting--
			if waiting == 0 {
				done()
			}
		})
	}
	if waiting == 0 {
		done()
	}
}
