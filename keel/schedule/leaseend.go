package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
)

// leaseEndDelay is how long a worker must have been silent before the end of its lease is stored. Until the row is cleared
// again the lease can't be extended, so that short interruptions must not count.
const leaseEndDelay = time.Second

// storeClock relates the store's clock to the scheduler's.
type storeClock struct {
	// value is the store's clock in a response to a request that was sent at sentAt by the scheduler's clock.
	value, sentAt time.Duration
}

// observe records a reading of the store's clock.
func (c *storeClock) observe(value, sentAt time.Duration) {
	if value > 0 {
		c.value, c.sentAt = value, sentAt
	}
}

// latest returns the latest time that the store's clock can show at a time of the scheduler's clock.
func (c *storeClock) latest(at time.Duration) time.Duration {
	return c.value + withDrift(at-c.sentAt)
}

// withDrift returns a duration by this clock as one by another clock, which may run faster.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + maxClockDrift)) }

// recordLeaseEnd stores when the lease of a worker ends that has been silent for leaseEndDelay. Without it each new leader
// has to assume that its predecessor extended the lease until the end, and leaders that follow one another soon would
// wait for the worker again and again.
func (s *Scheduler) recordLeaseEnd(w *workerState, now time.Duration) {
	silent := w.unresponsiveSince != 0 || !w.fenced
	if !silent || now-max(w.unresponsiveSince, s.began) < leaseEndDelay || w.leaseExpiry <= now {
		return
	}
	if !w.rostered || w.removed || w.leaseEndStored || w.rosterWriting || s.storeClock.value == 0 {
		return
	}
	w.leaseEndStored = true
	// The row holds whole milliseconds.
	s.writeRoster(w, s.storeClock.latest(w.leaseExpiry)+time.Millisecond, func() {
		if w.fenced && w.unresponsiveSince == 0 {
			s.clearLeaseEnd(w)
		}
	})
}

// clearLeaseEnd removes the end of the lease from the roster, after which the lease may be extended.
func (s *Scheduler) clearLeaseEnd(w *workerState) {
	if !w.leaseEndStored || w.rosterWriting || w.removed {
		return
	}
	s.writeRoster(w, 0, func() {
		w.leaseEndStored = false
		s.renew(w)
	})
}

// writeRoster writes the worker's roster row and then calls stored. Rows of different partitions are told apart by the
// number of their change.
func (s *Scheduler) writeRoster(w *workerState, leaseEnd time.Duration, stored func()) {
	s.rosterChanges++
	w.rosterWriting = true
	record := ledger.RosterRecord{
		Instance: w.Instance, Address: w.Address, DataCentre: w.DataCentre, Epoch: s.Epoch, Change: s.rosterChanges, LeaseEndMillis: leaseEnd.Milliseconds(),
	}
	done := false
	s.ledger.writeRow(table.Write{Key: ledger.RosterKey(w.ID), Value: ledger.Encode(record)}, func(partition string, version uint64) {
		row := table.Condition{Key: ledger.InPartition(partition, ledger.RosterKey(w.ID)), Version: version}
		switch {
		case !w.removed:
			w.rosterRows = slices.DeleteFunc(w.rosterRows, func(old table.Condition) bool { return old.Key == row.Key })
			w.rosterRows = append(w.rosterRows, row)
		case s.workers[w.ID] == nil:
			s.ledger.removeRows([]table.Condition{row})
		}
		if !done {
			done, w.rosterWriting = true, false
			stored()
		}
		s.schedulePlan()
	})
}

// inheritedLeaseEnd returns when every lease on a worker of the roster has expired that an earlier leader may have granted.
// What the roster says holds only if no leader has been ready since it was written, which could have extended the lease.
func (s *Scheduler) inheritedLeaseEnd(record ledger.RosterRecord, storeNow time.Duration) time.Duration {
	// The previous leader may have granted a full worker lease just before its own lease expired.
	end := s.began + s.maxLeaseTime()
	if record.LeaseEndMillis == 0 || record.Epoch < s.lastReadyEpoch || storeNow == 0 {
		return end
	}
	remaining := time.Duration(record.LeaseEndMillis)*time.Millisecond - storeNow
	return min(end, s.Now()+withDrift(max(0, remaining)))
}
