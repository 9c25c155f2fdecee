package leader

import (
	"cmp"
	"math/rand/v2"
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
		l.standDown("lease expired and too few of its rows could be renewed")
		return
	}
	if l.held != nil {
		due := l.duration() / renewDivisor
		if !l.Valid() {
			due = expiredRenewInterval
		}
		l.renew(now, now-l.lastAttempt >= due)
		l.logKeptRows(now)
		return
	}
	if l.attempt == nil && now-l.lastAttempt >= acquireInterval && now-l.lastResponse <= maxResponseAge && l.acquirable(now) {
		l.acquire(now)
	}
}

// acquirable reports whether enough rows are available and the delay for this entry's rank has passed.
func (l *Lease) acquirable(now time.Duration) bool {
	available := 0
	for _, r := range l.rows {
		if l.available(r, now-time.Duration(l.Rank)*rankDelay) {
			available++
		}
	}
	return available >= claimQuorum
}

// available reports whether this entry may claim the row at the given time.
func (l *Lease) available(r *leaseRow, at time.Duration) bool {
	return r.observed && at >= r.availableAt(l.Name, l.respondingSince)
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
	l.held.RowMillis = l.nextLease(now).Milliseconds()
	for _, r := range rows {
		l.writeRow(r, *l.held, writeTimeout, func(bool) { l.updateValidity() })
	}
}

// canRenew reports whether this entry holds the row, or the row is free. A row of a later epoch may only be written while
// the lease is valid: then no other entry has acquired it, and the row is of an attempt that failed. The same holds for
// a row that another entry wrote under the held epoch, because this entry has acquired the lease under it.
func (l *Lease) canRenew(r *leaseRow, now time.Duration) bool {
	if l.holds(r) {
		return true
	}
	return (r.record.Epoch <= l.held.Epoch || l.Valid()) && l.available(r, now)
}

// updateValidity sets the end of the lease: until then keepQuorum of the renewals are valid, and oldQuorum of those that
// entries of earlier versions go by.
func (l *Lease) updateValidity() {
	if l.held == nil {
		return
	}
	var expiries, oldExpiries []time.Duration
	for i, r := range l.rows {
		if !l.holds(r) {
			continue
		}
		expiries = append(expiries, r.validUntil)
		if i < oldRowCount {
			oldExpiries = append(oldExpiries, r.oldUntil)
		}
	}
	if len(expiries) < keepQuorum || len(oldExpiries) < oldQuorum {
		return
	}
	until := min(latest(expiries, keepQuorum), latest(oldExpiries, oldQuorum))
	l.validUntil.Store(max(l.validUntil.Load(), int64(until)))
	record := *l.held
	l.leader.Store(&record)
}

// latest returns the time that n of the times don't precede.
func latest(times []time.Duration, n int) time.Duration {
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return times[n-1]
}

// logKeptRows logs a change of the number of rows whose renewals are valid.
func (l *Lease) logKeptRows(now time.Duration) {
	kept := 0
	for _, r := range l.rows {
		if l.holds(r) && r.validUntil > now {
			kept++
		}
	}
	if kept == l.keptRows || now-l.keptLoggedAt < keptLogInterval {
		return
	}
	l.keptRows, l.keptLoggedAt = kept, now
	l.Log.Write(event.LeaseRowsKept, event.Fields{"epoch": l.held.Epoch, "kept": kept, "rows": rowCount, "needed": keepQuorum})
}

// attempt is an attempt to acquire the lease.
type attempt struct {
	record, previous Record
	// unclaimed holds the available rows that the attempt hasn't written yet; pending counts the writes in flight.
	unclaimed []*leaseRow
	pending   int
}

// acquire attempts to acquire the lease under a new epoch.
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
	a := &attempt{previous: previous, unclaimed: l.rows[:], record: Record{
		Holder: l.Name, Address: l.Address, Epoch: epoch + 1, Renewals: rand.Int64N(maxFirstRenewal),
		LeaseMillis: oldLease.Milliseconds(), RowMillis: l.nextLease(now).Milliseconds(),
	}}
	l.attempt = a
	l.claimFirst(a)
}

// maxFirstRenewal limits the number of an epoch's first record. It is random, so that a record of an earlier attempt under the
// same epoch isn't taken for one of this attempt.
const maxFirstRenewal = 1 << 40

// mayClaim reports whether the attempt may claim the row now. While it went on, the row may have become that of a holder, or
// of a later epoch.
func (l *Lease) mayClaim(a *attempt, r *leaseRow) bool {
	return l.available(r, l.Now()) && max(r.record.Epoch, r.record.Attempted) < a.record.Epoch
}

// removeTaken removes the rows that the attempt may not claim any more.
func (l *Lease) removeTaken(a *attempt) {
	var rest []*leaseRow
	for _, r := range a.unclaimed {
		if l.mayClaim(a, r) {
			rest = append(rest, r)
		}
	}
	a.unclaimed = rest
}

// claimFirst claims the first row that the store accepts, and then the others at once. Of candidates that attempt it at the
// same time, all but one find that row taken and claim no other.
func (l *Lease) claimFirst(a *attempt) {
	l.removeTaken(a)
	if l.claimed(a)+len(a.unclaimed) < claimQuorum {
		a.unclaimed = nil
		return
	}
	r := a.unclaimed[0]
	a.unclaimed = a.unclaimed[1:]
	l.claim(a, r, func(ok bool) {
		switch {
		case l.attempt != a:
			return
		case ok:
			l.claimRest(a)
		case !l.available(r, l.Now()):
			// Another candidate has the row.
			a.unclaimed = nil
		default:
			l.claimFirst(a)
		}
	})
}

// claimRest claims the other rows, unless too few are left.
func (l *Lease) claimRest(a *attempt) {
	l.removeTaken(a)
	rest := a.unclaimed
	a.unclaimed = nil
	if l.claimed(a)+len(rest) < claimQuorum {
		return
	}
	for _, r := range rest {
		l.claim(a, r, func(bool) {})
	}
}

// claim writes the record of the attempt to a row, and then calls done with whether the store has accepted it.
func (l *Lease) claim(a *attempt, r *leaseRow, done func(bool)) {
	a.pending++
	l.writeRow(r, a.record, l.repeatAfter(l.failedAttempts+1), func(ok bool) {
		done(ok)
		a.pending--
		if l.attempt == a {
			l.checkAttempt()
			return
		}
		l.updateValidity()
	})
}

// claimed returns the number of rows that the attempt has claimed and of which no other entry may have taken any since.
func (l *Lease) claimed(a *attempt) int {
	claimed := 0
	for _, r := range l.rows {
		if r.isOf(a.record) && r.record.Renewals == a.record.Renewals && !r.record.Released && l.Now() < r.validUntil {
			claimed++
		}
	}
	return claimed
}

// checkAttempt ends the attempt in progress once it has claimed enough rows, of which some may have been found in the store
// without a response, or can claim no more.
func (l *Lease) checkAttempt() {
	a := l.attempt
	if a == nil {
		return
	}
	switch {
	case l.claimed(a) >= claimQuorum && !l.releasing:
		l.attempt = nil
		l.hold(a.record, a.previous)
	case a.pending == 0 && len(a.unclaimed) == 0:
		l.attempt = nil
		l.releaseAttempt(a.record)
	}
}

// hold starts the epoch of a record that a quorum of the rows has.
func (l *Lease) hold(next, previous Record) {
	l.held, l.failedAttempts = &next, 0
	l.updateValidity()
	l.Log.Write(event.LeaderChanged, event.Fields{"holder": l.Name, "epoch": next.Epoch, "before": previous.Holder})
	l.OnAcquired(next.Epoch, previous)
}

// releaseAttempt releases the rows of an attempt that has failed.
func (l *Lease) releaseAttempt(next Record) {
	l.failedAttempts++
	next.Released = true
	for _, r := range l.rows {
		if r.inFlight == 0 && r.isOf(next) && !r.record.Released {
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
