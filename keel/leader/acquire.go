package leader

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
)

// duration returns the lease duration, which grows with the latency of the store.
func (l *Lease) duration() time.Duration {
	return min(maxLease, minLease+latencyFactor*l.storeLatency)
}

// writeTimeout returns the timeout for writing a row: after it, even the longest lease would no longer be valid.
func (l *Lease) writeTimeout() time.Duration { return maxLease - maxLease/marginDivisor }

// check renews the lease if this entry holds it and the renewal is due, or acquires it if it is free.
func (l *Lease) check() {
	if l.releasing {
		return
	}
	now := l.Now()
	if l.held != nil && now > time.Duration(l.validUntil.Load())+standDownAfter {
		l.standDown("lease expired and a quorum of its rows could not be renewed")
		return
	}
	if l.held != nil {
		due := l.duration() / renewDivisor
		if !l.Valid() {
			due = expiredRenewInterval
		}
		if now-l.lastAttempt >= due {
			l.renew(now)
		}
		return
	}
	if l.pendingWrites == 0 && now-l.lastAttempt >= acquireInterval && now-l.lastResponse <= maxResponseAge && l.acquirable(now) {
		l.acquire(now)
	}
}

// acquirable reports whether a quorum of the rows is available and the delay for this entry's rank has passed.
func (l *Lease) acquirable(now time.Duration) bool {
	available := 0
	for _, r := range l.rows {
		if r.observed && !r.writing && now >= r.availableAt(l.Name, l.respondingSince)+time.Duration(l.Rank)*rankDelay {
			available++
		}
	}
	return available >= quorum
}

// renew renews the rows that have no write in flight.
func (l *Lease) renew(now time.Duration) {
	l.lastAttempt = now
	l.held.Renewals++
	l.held.LeaseMillis = l.duration().Milliseconds()
	for _, r := range l.rows {
		if !r.writing && r.observed && l.canRenew(r, now) {
			l.writeRow(r, *l.held, func(bool) { l.updateValidity() })
		}
	}
}

// canRenew reports whether this entry holds the row, or the row is free and not of a later epoch. A row of a later epoch
// must not be written, even if its holder isn't known to have a quorum yet. A row that another entry wrote under the held
// epoch is of an attempt without a quorum, because that of the epoch is this entry's.
func (l *Lease) canRenew(r *leaseRow, now time.Duration) bool {
	if r.record.Holder == l.Name && r.record.Epoch == l.held.Epoch {
		return true
	}
	return r.record.Epoch <= l.held.Epoch && now >= r.availableAt(l.Name, l.respondingSince)
}

// updateValidity sets the end of the lease to the time until which a quorum of the renewals is valid.
func (l *Lease) updateValidity() {
	if l.held == nil {
		return
	}
	var expiries []time.Duration
	for _, r := range l.rows {
		if r.record.Holder != l.Name || r.record.Epoch != l.held.Epoch {
			continue
		}
		expiries = append(expiries, r.validUntil)
	}
	if len(expiries) < quorum {
		return
	}
	slices.SortFunc(expiries, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	l.validUntil.Store(max(l.validUntil.Load(), int64(expiries[quorum-1])))
	record := *l.held
	l.leader.Store(&record)
}

// acquire writes the available rows under a new epoch.
func (l *Lease) acquire(now time.Duration) {
	l.lastAttempt = now
	epoch := int64(0)
	previous := l.Leader()
	for _, r := range l.rows {
		epoch = max(epoch, r.record.Epoch)
		if l.Leader().Holder == "" && r.record.Epoch > previous.Epoch {
			previous = r.record
		}
	}
	next := Record{Holder: l.Name, Address: l.Address, Epoch: epoch + 1, LeaseMillis: l.duration().Milliseconds()}
	acquired := 0
	for _, r := range l.rows {
		if r.writing || !r.observed || now < r.availableAt(l.Name, l.respondingSince) {
			continue
		}
		l.pendingWrites++
		l.writeRow(r, next, func(ok bool) {
			l.pendingWrites--
			if ok {
				acquired++
			}
			l.finishAcquire(next, previous, acquired)
		})
	}
}

// finishAcquire starts the epoch once a quorum of the rows is acquired. If the last write returns without a quorum, it
// releases the acquired rows.
func (l *Lease) finishAcquire(next, previous Record, acquired int) {
	if acquired >= quorum && l.held == nil && !l.releasing {
		l.held = &next
		l.updateValidity()
		l.Log.Write(event.LeaderChanged, event.Fields{"holder": l.Name, "epoch": next.Epoch, "before": previous.Holder})
		l.OnAcquired(next.Epoch, previous)
		return
	}
	if l.held == nil && l.pendingWrites == 0 && acquired > 0 {
		next.Released = true
		for _, r := range l.rows {
			if !r.writing && r.record.Holder == l.Name && r.record.Epoch == next.Epoch && !r.record.Released {
				l.writeRow(r, next, func(bool) {})
			}
		}
	}
}

// Release releases the lease and then calls done; it is called on the loop.
func (l *Lease) Release(done func()) {
	l.releasing = true
	if l.held == nil {
		done()
		return
	}
	for _, r := range l.rows {
		if r.writing && l.Valid() {
			l.Loop.After(releasePollInterval, func() { l.Release(done) })
			return
		}
	}
	next := *l.held
	next.Released = true
	next.Renewals++
	if l.RecentOrders != nil {
		next.RecentOrders = l.RecentOrders()
	}
	l.standDown("the entry stops")
	pending := 0
	for _, r := range l.rows {
		if r.writing || r.record.Holder != l.Name {
			continue
		}
		pending++
		l.writeRow(r, next, func(bool) {
			pending--
			if pending == 0 {
				done()
			}
		})
	}
	if pending == 0 {
		done()
	}
}
