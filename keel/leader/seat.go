package leader

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

const (
	// seats is the number of rows; most is how many of them make a holder.
	seats = 3
	most  = seats/2 + 1
)

// seat is what is known of one row of the lease.
type seat struct {
	part    string
	record  Record
	version uint64
	// changed is when the row was last seen to change, known whether it was read at all.
	changed time.Duration
	known   bool
	busy    bool
	// validUntil is how long this entry's renewal of the row lasts, 0 if it doesn't hold it.
	validUntil time.Duration
}

func newSeats() [seats]*seat {
	var all [seats]*seat
	for i := range all {
		all[i] = &seat{part: "lease" + strconv.Itoa(i)}
	}
	return all
}

func (s *seat) key() table.Key { return table.Key{Table: Table, Partition: s.part, Name: rowName} }

// freeAt returns from when the row may be taken over by an entry, as its last change was seen, by a store that has
// answered since a time.
func (s *seat) freeAt(name string, answering time.Duration) time.Duration {
	if s.version == 0 || s.record.Released || s.record.Holder == name {
		return s.changed
	}
	return max(s.changed+time.Duration(s.record.LeaseMillis)*time.Millisecond, answering+returnGrace)
}

// see takes in the row as the store holds it and reports whether it is news.
func (s *seat) see(row table.Row, now time.Duration) (bool, error) {
	s.known = true
	if row.Version <= s.version {
		return false, nil
	}
	var record Record
	err := json.Unmarshal(row.Value, &record)
	if err != nil {
		return false, fault.Wrap(fault.Internal, err, "row of the lease")
	}
	if s.record.Holder != record.Holder || s.record.Epoch != record.Epoch {
		s.validUntil = 0
	}
	s.version, s.record, s.changed = row.Version, record, now
	return true, nil
}

// write commits the record over the version that is known and calls done with whether the row is this entry's now.
func (l *Lease) writeSeat(s *seat, record Record, done func(bool)) {
	s.busy = true
	sent := l.Now()
	value, err := json.Marshal(record)
	if err != nil {
		s.busy = false
		l.Log.Write(event.LeaseRowUnreadable, event.Fields{"reason": err.Error(), "version": s.version})
		return
	}
	txn := table.Txn{
		Conditions: []table.Condition{{Key: s.key(), Version: s.version}},
		Writes:     []table.Write{{Key: s.key(), Value: value}},
	}
	control.Call(l.Loop, l.callTimeout(),
		func(ctx context.Context) (table.Result, error) { return l.Store.Commit(ctx, txn) },
		func(result table.Result, err error) {
			s.busy = false
			done(l.seatWritten(s, record, sent, result, err))
		})
}

func (l *Lease) seatWritten(s *seat, record Record, sent time.Duration, result table.Result, err error) bool {
	now := l.Now()
	if err == nil {
		l.latency = now - sent
		lease := time.Duration(record.LeaseMillis) * time.Millisecond
		s.version, s.record, s.changed = max(result.Version, s.version), record, now
		s.validUntil = sent + lease - lease/marginDivisor
		return true
	}
	if !fault.IsKind(err, fault.Conflict) {
		l.latency = min(longest, now-sent)
		return false
	}
	if len(result.Current) == 0 {
		s.version, s.record, s.validUntil = 0, Record{Epoch: s.record.Epoch}, 0
		return false
	}
	// An own renewal whose answer was lost shows here; it proves nothing about time, so that the next must succeed.
	l.seeSeat(s, result.Current[0])
	return false
}
