package schedule

import "time"

const (
	// Arrivals are counted over a window of arrivalSlots slots, each arrivalSlot long.
	arrivalSlots = 24
	arrivalSlot  = 100 * time.Millisecond
	// recentSlots is the number of latest slots that give the present rate.
	recentSlots = 8
	// meanWorkWeight is the weight of a new job in the moving average of the work per job.
	meanWorkWeight = 0.05
	// trendLimit bounds the forecast to a multiple of the present rate.
	trendLimit = 2.5
)

// arrivals counts a pool's new jobs in a sliding window.
type arrivals struct {
	slots   [arrivalSlots]float64
	current int64
	// meanWork is the moving average of the work per job, in milli-core-seconds.
	meanWork float64
}

func (a *arrivals) advance(now time.Duration) {
	slot := int64(now / arrivalSlot)
	for a.current < slot {
		a.current = max(a.current+1, slot-arrivalSlots)
		a.slots[a.current%arrivalSlots] = 0
	}
}

// add counts a job with its work in milli-core-seconds at its arrival time.
func (a *arrivals) add(now, arrived time.Duration, work float64) {
	a.advance(now)
	if a.meanWork == 0 {
		a.meanWork = work
	}
	a.meanWork += meanWorkWeight * (work - a.meanWork)
	slot := int64(arrived / arrivalSlot)
	if slot > a.current-arrivalSlots && slot <= a.current {
		a.slots[slot%arrivalSlots]++
	}
}

// rates returns the jobs per second in the recent slots and in the rest of the window.
func (a *arrivals) rates(now time.Duration) (recent, before float64) {
	a.advance(now)
	for i := range int64(arrivalSlots) {
		n := a.slots[(a.current-i+arrivalSlots)%arrivalSlots]
		if i < recentSlots {
			recent += n
		} else {
			before += n
		}
	}
	return recent / (recentSlots * arrivalSlot.Seconds()), before / ((arrivalSlots - recentSlots) * arrivalSlot.Seconds())
}

// rate returns the present rate of arriving work, in milli-cores.
func (a *arrivals) rate(now time.Duration) int64 {
	recent, _ := a.rates(now)
	return int64(recent * a.meanWork)
}

// forecast returns the expected rate of arriving work after the horizon, in milli-cores. A rising rate is extrapolated,
// a falling one is not: capacity that arrives too late costs more than capacity that is idle for a moment.
func (a *arrivals) forecast(now, horizon time.Duration) int64 {
	recent, before := a.rates(now)
	// The midpoints of the two spans are half a window apart.
	slope := (recent - before) / (arrivalSlots * arrivalSlot.Seconds() / 2)
	lookahead := horizon.Seconds() + recentSlots*arrivalSlot.Seconds()/2
	expected := min(recent+max(0, slope)*lookahead, trendLimit*recent)
	return int64(expected * a.meanWork)
}

// countArrival adds a new job's work to the arrivals of its pool.
func (s *Scheduler) countArrival(j *job) {
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
	if sum > 0 {
		j.pool.arrivals.add(s.Now(), j.arrived, sum)
	}
}
