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

// writeTimeout is the timeout for renewing a row: after it, even the longest lease would no longer be valid.
const writeTimeout = maxLease - maxLease/marginDivisor

// repeatAfter returns the time after which a write without a response is repeated, for the given number of writes without
// one in a row.
func (l *Lease) repeatAfter(unanswered int) time.Duration {
	return min(writeTimeout, (repeatDelay+latencyFactor*l.responseLatency)<<min(max(0, unanswered-1), maxRepeatDoublings))
}

// nextLease returns the lease duration of a record that is sent now. It ends no earlier than that of any record before:
// others go by the latest record, while this entry may still count on an earlier one.
func (l *Lease) nextLease(now time.Duration) time.Duration {
	return max(l.duration(), l.promisedUntil-now)
}

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
		l.renew(now, now-l.lastAttempt >= due)
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
		if r.observed && now >= r.availableAt(l.Name, l.respondingSince)+time.Duration(l.Rank)*rankDelay {
			available++
		}
	}
	return available >= quorum
}

// renew renews the rows without a write in flight if that is due, and those whose writes have had no response for long.
func (l *Lease) renew(now time.Duration, due bool) {
	var rows []*leaseRow
	for _, r := range l.rows {
		unanswered := r.inFlight > 0 && now-r.sentAt >= l.repeatAfter(r.inFlight)
		if unanswered {
			l.storeLatency = max(l.storeLatency, now-r.sentAt)
		}
		if (unanswered || due && r.inFlight == 0) && r.observed && l.canRenew(r, now) {
			rows = append(rows, r)
		}
	}
	if due {
		l.lastAttempt = now
	}
	if len(rows) == 0 {
		return
	}
	l.held.Renewals++
	l.held.LeaseMillis = l.nextLease(now).Milliseconds()
	for _, r := range rows {
		l.writeRow(r, *l.held, writeTimeout, func(bool) { l.updateValidity() })
	}
}

// canRenew reports whether this entry holds the row, or the row is free. A row of a later epoch may only be written while
// the lease is valid: then no other entry has had a quorum, and the row is of an attempt that got none. The same holds for
// a row that another entry wrote under the held epoch, because the quorum of the epoch is this entry's.
func (l *Lease) canRenew(r *leaseRow, now time.Duration) bool {
	if l.holds(r) {
		return true
	}
	return (r.record.Epoch <= l.held.Epoch || l.Valid()) && now >= r.availableAt(l.Name, l.respondingSince)
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
		epoch = max(epoch, r.record.Epoch, r.record.Attempted)
		if l.Leader().Holder == "" && r.record.Epoch > previous.Epoch {
			previous = r.record
		}
	}
	next := Record{Holder: l.Name, Address: l.Address, Epoch: epoch + 1, LeaseMillis: l.nextLease(now).Milliseconds()}
	acquired := 0
	for _, r := range l.rows {
		if !r.observed || now < r.availableAt(l.Name, l.respondingSince) {
			continue
		}
		l.pendingWrites++
		l.writeRow(r, next, l.repeatAfter(l.failedAttempts+1), func(ok bool) {
			l.pendingWrites--
			if ok {
				acquired++
			}
			if ok && acquired == quorum && !l.releasing {
				l.hold(next, previous)
			}
			if acquired < quorum && l.pendingWrites == 0 {
				l.releaseAttempt(next)
			}
		})
	}
}

// hold starts the epoch of a record that a quorum of the rows has.
func (l *Lease) hold(next, previous Record) {
	l.held, l.failedAttempts = &next, 0
	l.updateValidity()
	l.Log.Write(event.LeaderChanged, event.Fields{"holder": l.Name, "epoch": next.Epoch, "before": previous.Holder})
	l.OnAcquired(next.Epoch, previous)
}

// releaseAttempt releases the rows of an attempt that has ended without a quorum.
func (l *Lease) releaseAttempt(next Record) {
	l.failedAttempts++
	next.Released = true
	for _, r := range l.rows {
		if r.inFlight == 0 && r.record.Holder == l.Name && r.record.Epoch == next.Epoch && !r.record.Released {
			l.writeRow(r, next, writeTimeout, func(bool) {})
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
		if r.inFlight > 0 && l.Valid() {
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
		if r.inFlight > 0 || r.record.Holder != l.Name {
			continue
		}
		pending++
		l.writeRow(r, next, writeTimeout, func(bool) {
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
