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
	// DutyName is the name of the duty that removes expired claims.
	DutyName = "claims"
	// cursorPrefix is the key prefix of the cursor rows, one for each service.
	cursorPrefix = "claim-sweep/"
	// sweepBatch is the maximum number of rows that are read and removed in one step.
	sweepBatch = 200
	// sweepTimeout is the timeout of one step with all its platform calls.
	sweepTimeout = 3 * time.Second
)

// Sweeper removes claims that are older than their retention while this entry holds the duty; its state is used on the
// control loop only.
type Sweeper struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	// Interval is the time between steps; a step reads and removes at most one batch.
	Interval time.Duration
	// Services returns the retention of claims by service, "partner/service".
	Services func() map[string]time.Duration

	// pending holds the services of the current pass that are still to be swept.
	pending  []string
	sweeping bool
	cursors  map[string]cursor
}

// cursor is the table version up to which the expired claims of a service have been removed.
type cursor struct {
	Through uint64 `json:"through"`
	// version is the version of the cursor's own row.
	version uint64
	// loaded reports that the row has been read.
	loaded bool
}

// sweepResult is the result of one step for one service.
type sweepResult struct {
	service string
	cursor  cursor
	expired []platform.Row
	// more reports that the service has rows after the batch.
	more bool
}

// Start schedules the steps; it is called on the control loop.
func (s *Sweeper) Start() {
	s.cursors = make(map[string]cursor)
	s.Loop.Every(s.Interval, s.sweepNext)
}

// sweepNext starts the removal of one batch of the next service.
func (s *Sweeper) sweepNext() {
	lease, ok := s.Session.Holds(DutyName)
	if !ok {
		clear(s.cursors)
		return
	}
	if s.sweeping {
		return
	}
	services := s.Services()
	if len(s.pending) == 0 {
		s.pending = slices.Sorted(maps.Keys(services))
	}
	if len(s.pending) == 0 {
		return
	}
	service := s.pending[0]
	s.pending = s.pending[1:]
	retention, ok := services[service]
	if !ok {
		return
	}
	s.sweeping = true
	before := time.Now().Add(-retention).UnixMilli()
	start := s.cursors[service]
	control.Call(s.Loop, sweepTimeout,
		func(ctx context.Context) (sweepResult, error) { return s.sweep(ctx, lease, service, start, before) },
		s.handleResult)
}

func (s *Sweeper) handleResult(result sweepResult, err error) {
	s.sweeping = false
	if err != nil {
		delete(s.cursors, result.service)
		return
	}
	s.cursors[result.service] = result.cursor
	if len(result.expired) > 0 {
		s.Log.Write(event.ClaimsRemoved, event.Fields{"service": result.service, "claims": len(result.expired)})
	}
	if result.more {
		s.pending = append(s.pending, result.service)
	}
}

// sweep reads the service's oldest claims after the cursor and removes those made before the time before, in Unix
// milliseconds.
func (s *Sweeper) sweep(ctx context.Context, lease duty.Lease, service string, start cursor, before int64) (sweepResult, error) {
	result := sweepResult{service: service, cursor: start}
	err := s.readCursor(ctx, &result)
	if err != nil {
		return result, err
	}
	scan, err := s.Client.Scan(ctx, platform.ScanRequest{
		Prefix: Prefix + service + "/", After: result.cursor.Through, Limit: sweepBatch,
	})
	if err != nil {
		return result, err
	}
	result.more = scan.More
	end := expiredRows(scan.Rows, before)
	for _, row := range scan.Rows[:end] {
		result.cursor.Through = row.Version
		if !row.Deleted() {
			result.expired = append(result.expired, row)
		}
	}
	if end < len(scan.Rows) {
		result.more = false
		// The rows of one transaction have the same version.
		result.cursor.Through = min(result.cursor.Through, scan.Rows[end].Version-1)
	}
	if len(result.expired) == 0 {
		// Rows that are removed already need no commit; the next one stores the cursor.
		return result, nil
	}
	return result, s.commit(ctx, lease, &result)
}

// expiredRows returns the number of rows, in the order of their versions, before the first claim that isn't known to be
// expired. One that can't be decoded, for example of a later build, is expired if one that was written later is.
func expiredRows(rows []platform.Row, before int64) int {
	end, unreadable := 0, false
	for i, row := range rows {
		if row.Deleted() {
			if !unreadable {
				end = i + 1
			}
			continue
		}
		record, err := decodeRecord(row.Value)
		switch {
		case err != nil:
			unreadable = true
		case record.UnixMillis >= before:
			return end
		default:
			end, unreadable = i+1, false
		}
	}
	return end
}

// readCursor reads the cursor's row, so that a new holder of the duty continues where the last one stopped.
func (s *Sweeper) readCursor(ctx context.Context, result *sweepResult) error {
	if result.cursor.loaded {
		return nil
	}
	rows, err := s.Client.Get(ctx, cursorPrefix+result.service)
	if err != nil {
		return err
	}
	result.cursor = cursor{version: rows[0].Version, loaded: true}
	if rows[0].Version == 0 {
		return nil
	}
	return json.Unmarshal(rows[0].Value, &result.cursor)
}

// commit deletes the expired rows and advances the cursor in one transaction, fenced by the duty's epoch.
func (s *Sweeper) commit(ctx context.Context, lease duty.Lease, result *sweepResult) error {
	key := cursorPrefix + result.service
	value, _ := json.Marshal(result.cursor)
	txn := platform.Txn{
		Token:      platform.NewToken(),
		Conditions: []platform.Condition{lease.Condition, {Key: key, Version: result.cursor.version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
	for _, row := range result.expired {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key})
	}
	committed, err := s.Client.Commit(ctx, txn)
	if err != nil {
		return fault.Wrap(fault.KindOf(err), err, "remove old claims")
	}
	result.cursor.version = committed.Version
	return nil
}
