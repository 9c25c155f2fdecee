package claim

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	// DutyName is the name of the duty that removes old claims.
	DutyName = "claims"
	// cursorPrefix is the prefix of the rows that say how far old claims of a service were removed.
	cursorPrefix = "claim-sweep/"
	// sweepBatch is the number of rows read and removed at a time.
	sweepBatch = 200
	// sweepTimeout bounds one call of the platform.
	sweepTimeout = 3 * time.Second
)

// Sweeper removes the claims whose retention has passed while this entry holds the duty; it belongs to the control loop.
type Sweeper struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	// Interval is the time between two steps; one step reads and removes at most one batch.
	Interval time.Duration
	// Services returns the services, named "partner/service", and the retention of their claims.
	Services func() map[string]time.Duration

	queue   []string
	working bool
	cursors map[string]cursor
}

// cursor is how far the claims of a service were removed, with the version of its row.
type cursor struct {
	Through uint64 `json:"through"`
	version uint64
	known   bool
}

// sweep is one step: the claims of a service that are old enough.
type sweep struct {
	service string
	cursor  cursor
	expired []platform.Row
	full    bool
}

// Start begins removing; it is called on the loop.
func (s *Sweeper) Start() {
	s.cursors = make(map[string]cursor)
	s.Loop.Every(s.Interval, s.step)
}

// step removes one batch of the next service.
func (s *Sweeper) step() {
	hold, ok := s.Session.Holds(DutyName)
	if !ok {
		clear(s.cursors)
		return
	}
	if s.working {
		return
	}
	services := s.Services()
	if len(s.queue) == 0 {
		s.queue = slices.Sorted(maps.Keys(services))
	}
	if len(s.queue) == 0 {
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	retention, ok := services[next]
	if !ok {
		return
	}
	s.working = true
	before := time.Now().Add(-retention).UnixMilli()
	at := s.cursors[next]
	control.Call(s.Loop, sweepTimeout,
		func(ctx context.Context) (sweep, error) { return s.remove(ctx, hold, next, at, before) },
		s.removed)
}

func (s *Sweeper) removed(done sweep, err error) {
	s.working = false
	if err != nil {
		delete(s.cursors, done.service)
		return
	}
	s.cursors[done.service] = done.cursor
	if len(done.expired) > 0 {
		s.Log.Write(event.ClaimsRemoved, event.Fields{"service": done.service, "claims": len(done.expired)})
	}
	if done.full {
		s.queue = append(s.queue, done.service)
	}
}

// remove reads the oldest claims of a service and removes those claimed before the time.
func (s *Sweeper) remove(ctx context.Context, hold duty.Lease, service string, at cursor, before int64) (sweep, error) {
	done := sweep{service: service, cursor: at}
	err := s.readCursor(ctx, &done)
	if err != nil {
		return done, err
	}
	scan, err := s.Client.Scan(ctx, platform.ScanRequest{
		Prefix: Prefix + service + "/", After: done.cursor.Through, Limit: sweepBatch,
	})
	if err != nil {
		return done, err
	}
	through := done.cursor.Through
	for _, row := range scan.Rows {
		if !row.Deleted() && !claimedBefore(row, before) {
			break
		}
		through = row.Version
		if !row.Deleted() {
			done.expired = append(done.expired, row)
		}
	}
	if len(done.expired) == 0 {
		return done, nil
	}
	done.full = scan.More
	done.cursor.Through = through
	return done, s.commit(ctx, hold, &done)
}

func claimedBefore(row platform.Row, before int64) bool {
	record, err := decodeRecord(row.Value)
	return err != nil || record.UnixMillis < before
}

// readCursor reads the cursor's row, so that a new holder goes on where the last one was.
func (s *Sweeper) readCursor(ctx context.Context, done *sweep) error {
	if done.cursor.known {
		return nil
	}
	rows, err := s.Client.Get(ctx, cursorPrefix+done.service)
	if err != nil {
		return err
	}
	done.cursor = cursor{version: rows[0].Version, known: true}
	if rows[0].Version == 0 {
		return nil
	}
	return json.Unmarshal(rows[0].Value, &done.cursor)
}

// commit removes the rows and moves the cursor, fenced by the duty's epoch.
func (s *Sweeper) commit(ctx context.Context, hold duty.Lease, done *sweep) error {
	key := cursorPrefix + done.service
	value, _ := json.Marshal(done.cursor)
	txn := platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{hold.Condition, {Key: key, Version: done.cursor.version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	for _, row := range done.expired {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key})
	}
	result, err := s.Client.Commit(ctx, txn)
	if err != nil {
		return fault.Wrap(fault.KindOf(err), err, "remove old claims")
	}
	done.cursor.version = result.Version
	return nil
}
