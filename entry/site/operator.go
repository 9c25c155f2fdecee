package site

import (
	"context"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/leader"
	"samphirekeel.example/keel/table"
)

// followOperatorTable starts the change feed of the operator's table, which holds the configuration and the waves.
func (s *Entry) followOperatorTable() {
	ctx := s.loop.Context()
	f := &table.Follower{
		Store: s.Store, Table: s.Codec.OperatorTable, Partitions: []string{""},
		OnRows:  func(rows []table.Row, _ bool) { s.loop.Post(ctx, func() { s.applyOperatorRows(rows) }) },
		OnError: func(err error) { s.loop.Post(ctx, func() { s.recordStoreFailure(err) }) },
		OnSuccess: func() {
			s.recordStoreResponse()
			at := s.Now()
			s.loop.Post(ctx, func() { s.recordConfigCheck(at) })
		},
	}
	go f.Run(ctx)
	s.loop.Every(operatorPollInterval, s.fetchOperatorRows)
}

const (
	// operatorPollInterval is the interval of requests to the leader for the operator's rows while the store is
	// unavailable. Together with the leader's own delay it applies a new configuration within the 2 s of the strictest
	// deployment.
	operatorPollInterval = 400 * time.Millisecond
	// maxConfigAge is the time within which a configuration is in force on the strictest deployment. An entry that has not
	// checked for a newer one for so long may lack one that is in force elsewhere.
	maxConfigAge = 2 * time.Second
)

// operatorRowsResponse holds the operator's rows that an entry has read.
type operatorRowsResponse struct {
	Rows []table.Row `json:"rows"`
	// AgeMillis is the time since the entry last knew the rows to be current, nil if it doesn't know that.
	AgeMillis *int64 `json:"age_ms,omitempty"`
	// Leader is the record of the leader, as far as the entry knows it.
	Leader leader.Record `json:"leader,omitzero"`
}

// recordConfigCheck records that no configuration newer than the applied one was stored at the given time; it is called on
// the loop.
func (s *Entry) recordConfigCheck(at time.Duration) {
	if !s.configUnreadable && int64(at) > s.configCheckedAt.Load() {
		s.configCheckedAt.Store(int64(at))
	}
}

// configCurrent reports whether the applied configuration is known to be the one in force.
func (s *Entry) configCurrent() bool {
	checkedAt := s.configCheckedAt.Load()
	return checkedAt != 0 && s.Now()-time.Duration(checkedAt) < maxConfigAge
}

// fetchOperatorRows requests the configuration and the waves, and who leads, from another entry while the store is
// unavailable to this one.
func (s *Entry) fetchOperatorRows() {
	if !s.storeUnavailable.Load() {
		return
	}
	address := s.operatorSource()
	if address == "" {
		return
	}
	sent := s.Now()
	control.Call(s.loop, notifyTimeout, func(ctx context.Context) (operatorRowsResponse, error) {
		var response operatorRowsResponse
		err := s.node.Call(ctx, address, methodOperator, query{}, &response)
		return response, err
	}, func(response operatorRowsResponse, err error) { s.recordOperatorResponse(address, sent, response, err) })
}

// listOperatorRows returns the operator's rows for another entry.
func (s *Entry) listOperatorRows(ctx context.Context) operatorRowsResponse {
	return onLoop(ctx, s, func() operatorRowsResponse {
		record := s.currentLeader()
		response := operatorRowsResponse{Leader: leader.Record{Holder: record.Holder, Address: record.Address, Epoch: record.Epoch}}
		for _, row := range s.operatorRows {
			response.Rows = append(response.Rows, row)
		}
		checkedAt := s.configCheckedAt.Load()
		if checkedAt != 0 {
			age := (s.Now() - time.Duration(checkedAt)).Milliseconds()
			response.AgeMillis = &age
		}
		return response
	})
}

// recordStoreFailure marks the store unavailable and logs that once per outage; a dropped history is no outage.
func (s *Entry) recordStoreFailure(err error) {
	if fault.IsKind(err, fault.HistoryGone) || s.storeUnavailable.Swap(true) {
		return
	}
	s.Log.Write(event.StoreLost, event.Fields{"table": s.Codec.OperatorTable, "reason": err.Error()})
}

// recordStoreResponse records the time of a response of the store and logs the end of an outage.
func (s *Entry) recordStoreResponse() {
	previous := time.Duration(s.lastStoreResponse.Swap(int64(s.Now())))
	if s.storeUnavailable.Swap(false) {
		s.Log.Write(event.StoreBack, event.Fields{"table": s.Codec.OperatorTable, "after_ms": (s.Now() - previous).Milliseconds()})
	}
}

// applyOperatorRows stores and applies the rows that are not older than the known ones; it is called on the loop.
func (s *Entry) applyOperatorRows(rows []table.Row) {
	for _, row := range rows {
		current := s.operatorRows[row.Name]
		if row.Version < current.Version {
			continue
		}
		s.operatorRows[row.Name] = row
		switch {
		case row.Deleted:
		case s.Codec.IsConfig(row):
			s.applyConfig(row)
		case s.Codec.IsWave(row):
			s.applyWave(row)
		}
	}
}

// applyConfig applies a configuration that is newer than the current one.
func (s *Entry) applyConfig(row table.Row) {
	config, err := s.Codec.DecodeConfig(row)
	s.configUnreadable = err != nil
	if err != nil {
		s.logUnreadableRow(row, err)
		return
	}
	current := s.config.Load()
	currentVersion := uint64(0)
	if current != nil {
		currentVersion = current.Version
	}
	if config.Version <= currentVersion {
		return
	}
	s.config.Store(config)
	s.Log.Write(event.ConfigApplied, event.Fields{"version": config.Version, "queues": len(config.Queues), "before": currentVersion})
	if s.scheduler != nil {
		s.scheduler.SetConfig(config)
	}
}

func (s *Entry) applyWave(row table.Row) {
	wave, err := s.Codec.DecodeWave(row)
	if err != nil {
		s.logUnreadableRow(row, err)
		return
	}
	s.waves[wave.Number] = wave
	s.updateSchedulerWaves()
}

func (s *Entry) logUnreadableRow(row table.Row, err error) {
	s.Log.Write(event.RowUnreadable, event.Fields{"table": row.Table, "key": row.Name, "version": row.Version, "reason": err.Error()})
}
