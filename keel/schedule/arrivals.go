package schedule

import "time"

const (
	// arrivalSlots and arrivalSlot divide the time over which arrivals are counted.
	arrivalSlots = 24
	arrivalSlot  = 100 * time.Millisecond
	// recentSlots is the part of that time that tells the present rate.
	recentSlots = 8
	// workMemory is the weight of a new job in the mean work of a pool's jobs.
	workMemory = 0.05
	// trendLimit bounds the forecast by the present rate.
	trendLimit = 2.5
)

// arrivals counts a pool's new jobs by slots of time.
type arrivals struct {
	slots [arrivalSlots]float64
	at    int64
	// mean is the mean work of a job in milli-core-seconds.
	mean float64
}

func (a *arrivals) advance(now time.Duration) {
	slot := int64(now / arrivalSlot)
	for a.at < slot {
		a.at = max(a.at+1, slot-arrivalSlots)
		a.slots[a.at%arrivalSlots] = 0
	}
}

// add counts a job with its work in milli-core-seconds in the slot of its arrival.
func (a *arrivals) add(now, arrived time.Duration, work float64) {
	a.advance(now)
	if a.mean == 0 {
		a.mean = work
	}
	a.mean += workMemory * (work - a.mean)
	slot := int64(arrived / arrivalSlot)
	if slot > a.at-arrivalSlots && slot <= a.at {
		a.slots[slot%arrivalSlots]++
	}
}

// rates returns the jobs that came in a second lately and before.
func (a *arrivals) rates(now time.Duration) (recent, before float64) {
	a.advance(now)
	for i := range int64(arrivalSlots) {
		n := a.slots[(a.at-i+arrivalSlots)%arrivalSlots]
		if i < recentSlots {
			recent += n
		} else {
			before += n
		}
	}
	return recent / (recentSlots * arrivalSlot.Seconds()), before / ((arrivalSlots - recentSlots) * arrivalSlot.Seconds())
}

// rate returns the work that came for each second, in milli-cores.
func (a *arrivals) rate(now time.Duration) int64 {
	recent, _ := a.rates(now)
	return int64(recent * a.mean)
}

// forecast returns the work that is expected to come for each second after the horizon, in milli-cores. A rise is taken
// to go on; a fall is not, since room that comes too late costs more than room that stays idle for a moment.
func (a *arrivals) forecast(now, horizon time.Duration) int64 {
	recent, before := a.rates(now)
	// The middles of both spans lie half of the whole span apart.
	slope := (recent - before) / (arrivalSlots * arrivalSlot.Seconds() / 2)
	ahead := horizon.Seconds() + recentSlots*arrivalSlot.Seconds()/2
	expected := min(recent+max(0, slope)*ahead, trendLimit*recent)
	return int64(expected * a.mean)
}

// countArrival counts the work of a new job in its pool.
func (s *Scheduler) countArrival(j *job) {
	if j.pool == nil || j.HasDueTimes() {
		return
	}
	sum := 0.0
	for i := range j.Steps {
		step := &j.Steps[i]
		if !step.LongRunning && !step.BestEffort {
			sum += float64(step.Count) * float64(step.Size.MilliCores) * step.Estimate.Seconds()
		}
	}
	if sum > 0 {
		j.pool.arrivals.add(s.Now(), j.arrived, sum)
	}
}
