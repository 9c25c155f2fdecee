package leader

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

const (
	// rowCount is the number of rows of the lease. An entry acquires the lease with claimQuorum of them and keeps it with
	// keepQuorum, so that each claim needs a row that a holder keeps: claimQuorum + keepQuorum > rowCount.
	rowCount    = 5
	claimQuorum = 4
	keepQuorum  = 2
	// Earlier versions of the program know the first oldRowCount rows only. They acquire and keep the lease with oldQuorum of
	// them, of which each claim has as many.
	oldRowCount = 3
	oldQuorum   = 2
)

// leaseRow is the last observed state of one row of the lease.
type leaseRow struct {
	partition string
	record    Record
	version   uint64
	// changedAt is when the last change of the row was observed; observed reports whether the row was read at all.
	changedAt time.Duration
	observed  bool
	// reading reports that a read of the row is repeated until it succeeds.
	reading atomic.Bool
	// inFlight counts the writes of the row in flight; sentAt is when the last one was sent.
	inFlight int
	sentAt   time.Duration
	// sent holds when each of this entry's recent records was sent. Any of them may be found in the store later.
	sent map[recordID]time.Duration
	// validUntil is when this entry's renewal of the row expires for entries of this version, and oldUntil for those of earlier
	// ones; 0 if it doesn't hold the row.
	validUntil, oldUntil time.Duration
}

// recordID identifies a record that this entry has written.
type recordID struct{ epoch, renewals int64 }

func newLeaseRows() [rowCount]*leaseRow {
	var all [rowCount]*leaseRow
	for i := range all {
		all[i] = &leaseRow{partition: "lease" + strconv.Itoa(i), sent: make(map[recordID]time.Duration)}
	}
	return all
}

func (r *leaseRow) key() table.Key {
	return table.Key{Table: Table, Partition: r.partition, Name: rowName}
}

// availableAt returns the time from which the named entry may write its record to the row: the last change of the row
// if the row is free or its own, else the end of the holder's lease, but not before the store has responded for
// recoveryGrace.
func (r *leaseRow) availableAt(name string, respondingSince time.Duration) time.Duration {
	if r.version == 0 || r.record.Released || r.record.Holder == name {
		return r.changedAt
	}
	return max(r.changedAt+r.record.Duration(), respondingSince+recoveryGrace)
}

// observe applies the row read from the store and reports whether its version is newer than the known one.
func (r *leaseRow) observe(row table.Row, now time.Duration) (bool, error) {
	r.observed = true
	if row.Version <= r.version {
		return false, nil
	}
	var record Record
	err := json.Unmarshal(row.Value, &record)
	if err != nil {
		return false, fault.Wrap(fault.Internal, err, "decode row of the lease")
	}
	if r.record.Holder != record.Holder || r.record.Epoch != record.Epoch {
		r.validUntil, r.oldUntil = 0, 0
	}
	r.version, r.record, r.changedAt = row.Version, record, now
	return true, nil
}

// extendFromSent extends the validity of a renewal that was found in the store. It counts from when the renewal was sent,
// since the store may have applied it at once.
func (r *leaseRow) extendFromSent() {
	sent, ok := r.sent[recordID{r.record.Epoch, r.record.Renewals}]
	if ok && !r.record.Released {
		r.extend(sent)
	}
}

// extend extends the validity by the row's record, which was sent at the given time.
func (r *leaseRow) extend(sent time.Duration) {
	r.validUntil = max(r.validUntil, sent+usable(r.record.Duration()))
	r.oldUntil = max(r.oldUntil, sent+usable(time.Duration(r.record.LeaseMillis)*time.Millisecond))
}

// usable returns the part of a lease that its holder uses.
func usable(lease time.Duration) time.Duration { return lease - lease/marginDivisor }

// Duration returns the time from a renewal to the end of the lease.
func (r Record) Duration() time.Duration {
	if r.RowMillis != 0 {
		return time.Duration(r.RowMillis) * time.Millisecond
	}
	return time.Duration(r.LeaseMillis) * time.Millisecond
}

// isOf reports whether the row has the record of the same holder and epoch.
func (r *leaseRow) isOf(record Record) bool {
	return r.record.Holder == record.Holder && r.record.Epoch == record.Epoch
}

// recordSent records that a record is being sent, and forgets those that can no longer be valid.
func (r *leaseRow) recordSent(record Record, now time.Duration) {
	for id, at := range r.sent {
		if now-at > maxLease {
			delete(r.sent, id)
		}
	}
	r.sent[recordID{record.Epoch, record.Renewals}] = now
	r.sentAt = now
	r.inFlight++
}

// writeRow commits the record on condition that the known version is the latest, and calls done with whether that
// succeeded.
func (l *Lease) writeRow(r *leaseRow, record Record, timeout time.Duration, done func(bool)) {
	sent := l.Now()
	record.Attempted = 0
	if attempted := max(r.record.Epoch, r.record.Attempted); attempted > record.Epoch {
		record.Attempted = attempted
	}
	value, err := json.Marshal(record)
	if err != nil {
		l.Log.Write(event.LeaseRowUnreadable, event.Fields{"reason": err.Error(), "version": r.version})
		return
	}
	txn := table.Txn{
		Conditions: []table.Condition{{Key: r.key(), Version: r.version}},
		Writes:     []table.Write{{Key: r.key(), Value: value}},
	}
	r.recordSent(record, sent)
	l.promisedUntil = max(l.promisedUntil, sent+record.Duration())
	control.Call(l.Loop, timeout,
		func(ctx context.Context) (table.Result, error) { return l.Store.Commit(ctx, txn) },
		func(result table.Result, err error) {
			r.inFlight--
			done(l.rowWritten(r, record, sent, result, err))
		})
}

// rowWritten applies the result of a write and reports whether the row has the record. The validity counts from when
// the write was sent, since the store may have applied it at once.
func (l *Lease) rowWritten(r *leaseRow, record Record, sent time.Duration, result table.Result, err error) bool {
	now := l.Now()
	if err == nil {
		l.responseLatency = now - sent
		l.storeLatency = max(l.responseLatency, l.storeLatency-l.storeLatency/latencyDecay)
		if result.Version >= r.version {
			r.version, r.record, r.changedAt = result.Version, record, now
		}
		if r.isOf(record) && !r.record.Released {
			r.extend(sent)
		}
		return true
	}
	if !fault.IsKind(err, fault.Conflict) {
		l.storeLatency = min(maxLease, now-sent)
		return false
	}
	l.responseLatency = now - sent
	if len(result.Current) == 0 {
		r.version, r.record, r.validUntil, r.oldUntil = 0, Record{Epoch: r.record.Epoch}, 0, 0
		return false
	}
	l.observeRow(r, result.Current[0])
	return false
}
