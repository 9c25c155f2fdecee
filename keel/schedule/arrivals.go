package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/forecast"
)

// sourceLedger is the source of jobs that a leader loads when it takes over.
const sourceLedger = "ledger"

// maxArrivalDelay is the time by which a job counts as accepted before it became known at most. While the store is slow, jobs
// become known seconds later, and would be no part of the rate.
const maxArrivalDelay = 100 * time.Millisecond

// countArrival adds a new job's work to the arrivals of its pool. Loaded jobs of long ago don't count: they are a backlog.
func (s *Scheduler) countArrival(j *job, loaded bool) {
	if j.pool == nil || j.HasDueTimes() || j.beyond && j.tenant.capped.Len() > 0 {
		// What a tenant at its cap sends beyond what it is owed brings in no instances.
		return
	}
	sum := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		if !step.LongRunning && !step.BestEffort {
			sum += float64(step.Count) * float64(step.Size.MilliCores) * j.estimates[i].Seconds()
		}
	}
	if sum <= 0 {
		return
	}
	now, arrived := s.Now(), j.arrived
	if !loaded && s.ForecastPeaks {
		arrived = max(arrived, now-maxArrivalDelay)
	}
	j.pool.arrivals.Add(now, arrived, sum)
}

// want compares what the pool's jobs need with what is expected of its peaks. The second result leaves out jobs that can no
// longer meet their objective.
func (s *Scheduler) want(p *pool, now time.Duration) (total, onTime forecast.Capacity) {
	p.update(now, s.fleet.mayRun)
	level := p.arrivals.Level(now)
	next := s.outlook(p, level, now)
	want := func(w openWork) forecast.Capacity {
		return forecast.Want(forecast.Demand{
			Standing: w.longRunning, Runnable: w.runnable, Backlog: w.backlog, Seen: level, Next: next, Now: now, MoveTime: s.joinTime(),
		})
	}
	return want(p.backlog.total), want(p.backlog.onTime)
}

// outlook returns what is expected of the pool's next peak, nothing if peaks aren't forecast.
func (s *Scheduler) outlook(p *pool, level forecast.Level, now time.Duration) forecast.Outlook {
	if !s.ForecastPeaks {
		return forecast.Outlook{}
	}
	change := s.peaks.Observe(p.name, now, level)
	next := s.peaks.Outlook(p.name, now)
	if change != forecast.NoChange {
		s.reportPeak(p, change, level, next, now)
	}
	return next
}

// reportPeak logs and counts a change of a pool's peaks.
func (s *Scheduler) reportPeak(p *pool, change forecast.Change, level forecast.Level, next forecast.Outlook, now time.Duration) {
	s.Metrics.addPeak(change)
	switch change {
	case forecast.PeakBegan:
		s.Log.Write(event.PeakBegan, event.Fields{"pool": p.name, "rate": int64(level.PerSecond), "began_ms": (now - level.Since).Milliseconds()})
	case forecast.PeakEnded:
		in := int64(0)
		if next.Known {
			in = (next.Earliest - now).Milliseconds()
		}
		s.Log.Write(event.PeakEnded, event.Fields{
			"pool": p.name, "period_ms": s.peaks.Period().Milliseconds(), "turn_ms": s.peaks.Turn().Milliseconds(), "expected": next.Known, "next_ms": in, "rate": int64(next.Height),
		})
	case forecast.PeakMissed:
		s.Log.Write(event.PeakMissed, event.Fields{"pool": p.name, "period_ms": s.peaks.Period().Milliseconds(), "turn_ms": s.peaks.Turn().Milliseconds()})
	}
}
