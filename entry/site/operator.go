package site

import (
	"context"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

// followOperator keeps up with the configuration and the waves.
func (s *Site) followOperator() {
	ctx := s.loop.Context()
	f := &table.Follower{
		Store: s.Store, Table: s.Wire.OperatorTable, Partitions: []string{""},
		OnRows:    func(rows []table.Row, _ bool) { s.loop.Post(ctx, func() { s.applyOperator(rows) }) },
		OnError:   func(err error) { s.loop.Post(ctx, func() { s.storeFailed(err) }) },
		OnSuccess: s.storeAnswered,
	}
	go f.Run(ctx)
	s.loop.Every(operatorInterval, s.askOperatorRows)
}

// operatorInterval is the time between questions to the leader for the operator's rows while the store is lost; with
// the leader's own delay a new configuration is in force within the 2 s of the strictest deployment.
const operatorInterval = 400 * time.Millisecond

// operatorRows is a set of the operator's rows as the store held them.
type operatorRows struct {
	Rows []table.Row `json:"rows"`
}

// askOperatorRows asks the leader for the configuration and the waves while the store doesn't answer this entry.
func (s *Site) askOperatorRows() {
	record := s.lease.Leader()
	if !s.storeLost.Load() || record.Holder == "" || record.Holder == s.Settings.Name {
		return
	}
	control.Call(s.loop, tellTimeout, func(ctx context.Context) (operatorRows, error) {
		var out operatorRows
		err := s.node.Call(ctx, record.Address, methodOperator, question{}, &out)
		return out, err
	}, func(out operatorRows, err error) {
		if err == nil {
			s.applyOperator(out.Rows)
			s.passedOn.Store(int64(s.Now()))
		}
	})
}

// giveOperatorRows answers another entry with the operator's rows.
func (s *Site) giveOperatorRows(ctx context.Context) operatorRows {
	return onLoop(ctx, s, func() operatorRows {
		var out operatorRows
		for _, row := range s.operatorRows {
			out.Rows = append(out.Rows, row)
		}
		return out
	})
}

func (s *Site) storeFailed(err error) {
	if fault.IsKind(err, fault.HistoryGone) || s.storeLost.Swap(true) {
		return
	}
	s.Log.Write(event.StoreLost, event.Fields{"table": s.Wire.OperatorTable, "reason": err.Error()})
}

// storeAnswered notes that the store answers this entry.
func (s *Site) storeAnswered() {
	before := time.Duration(s.answered.Swap(int64(s.Now())))
	if s.storeLost.Swap(false) {
		s.Log.Write(event.StoreBack, event.Fields{"table": s.Wire.OperatorTable, "after_ms": (s.Now() - before).Milliseconds()})
	}
}

func (s *Site) applyOperator(rows []table.Row) {
	for _, row := range rows {
		known := s.operatorRows[row.Name]
		if row.Version < known.Version {
			continue
		}
		s.operatorRows[row.Name] = row
		switch {
		case row.Deleted:
		case s.Wire.IsConfig(row):
			s.applyConfig(row)
		case s.Wire.IsWave(row):
			s.applyWave(row)
		}
	}
}

// applyConfig puts a configuration in force unless a later one is.
func (s *Site) applyConfig(row table.Row) {
	config, err := s.Wire.Config(row)
	if err != nil {
		s.unreadable(row, err)
		return
	}
	old := s.config.Load()
	before := uint64(0)
	if old != nil {
		before = old.Version
	}
	if config.Version <= before {
		return
	}
	s.config.Store(config)
	s.Log.Write(event.ConfigApplied, event.Fields{"version": config.Version, "queues": len(config.Queues), "before": before})
	if s.scheduler != nil {
		s.scheduler.SetConfig(config)
	}
}

func (s *Site) applyWave(row table.Row) {
	wave, err := s.Wire.Wave(row)
	if err != nil {
		s.unreadable(row, err)
		return
	}
	s.waves[wave.Number] = wave
	s.passWaves()
}

func (s *Site) unreadable(row table.Row, err error) {
	s.Log.Write(event.RowUnreadable, event.Fields{"table": row.Table, "key": row.Name, "version": row.Version, "reason": err.Error()})
}
