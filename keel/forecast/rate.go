package forecast

import (
	"math"
	"time"
)

const (
	// windowSlots slots of slotTime each are the window over which jobs are counted.
	windowSlots = 24
	slotTime    = 100 * time.Millisecond
	// minSpanSlots is the number of slots that a rate is taken over at least: jobs of one moment aren't a rate.
	minSpanSlots = 2
	// changeEvidence is the logarithm of the factor by which a change of the rate explains the counts better than no
	// change does, from which on the change is taken for real: e^5 is about 150, for some 20 places of a change.
	changeEvidence = 5
	// recentSlots is the number of latest slots whose rate is compared with that of the rest of the window for a trend.
	recentSlots = 8
	// trendLimit bounds an extrapolated rate to a multiple of the recent one.
	trendLimit = 2.5
	// mostDeviations and rareJobs give the bound that a number of arrivals exceeds once in 20 times, also if it is 0 on
	// average.
	mostDeviations = 2
	rareJobs       = 3
	// workWeight is the weight of a new job in the moving averages of the work per job.
	workWeight = 0.05
)

// Rate measures the rate at which work arrives, from the jobs of a sliding window.
type Rate struct {
	slots   [windowSlots]float64
	current int64
	// meanWork and meanSquare are moving averages of the work per job and of its square.
	meanWork, meanSquare float64
}

// Level is a rate of arriving work, in units of work per second.
type Level struct {
	PerSecond float64
	// Deviation is the standard deviation of the estimate.
	Deviation float64
	// Most is the rate that the true one exceeds only rarely: also without a job, one may just not have come yet.
	Most float64
	// Recent is the rate in the latest part of the window, and Trend its rise per second, 0 if it falls.
	Recent, Trend float64
	// Since is the time since which the rate has been like that, or the start of the window.
	Since time.Duration
}

func (r *Rate) advance(now time.Duration) {
	slot := int64(now / slotTime)
	for r.current < slot {
		r.current = max(r.current+1, slot-windowSlots)
		r.slots[r.current%windowSlots] = 0
	}
}

// Add counts a job and its work at the time of its arrival.
func (r *Rate) Add(now, arrived time.Duration, work float64) {
	r.advance(now)
	if r.meanWork == 0 {
		r.meanWork, r.meanSquare = work, work*work
	}
	r.meanWork += workWeight * (work - r.meanWork)
	r.meanSquare += workWeight * (work*work - r.meanSquare)
	slot := int64(arrived / slotTime)
	if slot > r.current-windowSlots && slot <= r.current {
		r.slots[(slot+windowSlots)%windowSlots]++
	}
}

// Level returns the present rate: that since its last change within the window, if the counts give evidence of one.
func (r *Rate) Level(now time.Duration) Level {
	r.advance(now)
	// The latest slot has only just begun.
	latest := float64(now%slotTime) / float64(slotTime)
	total := 0.0
	for _, n := range r.slots {
		total += n
	}
	whole := windowSlots - 1 + latest
	jobs, span, evidence := total, whole, float64(changeEvidence)
	recent := 0.0
	for i := range int64(windowSlots - minSpanSlots) {
		recent += r.slots[(r.current-i+windowSlots)%windowSlots]
		if i < minSpanSlots-1 {
			continue
		}
		since := float64(i) + latest
		gain := logLikelihood(recent, since) + logLikelihood(total-recent, whole-since) - logLikelihood(total, whole)
		if gain > evidence {
			jobs, span, evidence = recent, since, gain
		}
	}
	seconds := span * slotTime.Seconds()
	latestRate, trend := r.trend()
	return Level{
		PerSecond: jobs / seconds * r.meanWork,
		Recent:    latestRate * r.meanWork,
		Trend:     trend * r.meanWork,
		// The sum of the work of a number of jobs that is a Poisson variable.
		Deviation: math.Sqrt(jobs*r.meanSquare) / seconds,
		Most:      (jobs + mostDeviations*math.Sqrt(jobs) + rareJobs) / seconds * r.meanWork,
		Since:     now - time.Duration(span*float64(slotTime)),
	}
}

// trend returns the number of jobs per second in the recent slots and its rise per second.
func (r *Rate) trend() (rate, rise float64) {
	const recentTime, beforeTime = recentSlots * slotTime, (windowSlots - recentSlots) * slotTime
	var recent, before float64
	for i := range int64(windowSlots) {
		n := r.slots[(r.current-i+windowSlots)%windowSlots]
		if i < recentSlots {
			recent += n
		} else {
			before += n
		}
	}
	rate = recent / recentTime.Seconds()
	difference := max(0, rate-before/beforeTime.Seconds())
	// The midpoints of the two parts are half a window apart.
	return rate, difference / (windowSlots * slotTime.Seconds() / 2)
}

// after returns the rate to expect after the horizon. A rise is extrapolated, a fall isn't: capacity that arrives too late costs
// more than capacity that is idle for a moment.
func (l Level) after(horizon time.Duration) float64 {
	lookahead := horizon.Seconds() + recentSlots*slotTime.Seconds()/2
	return min(l.Recent+l.Trend*lookahead, trendLimit*l.Recent)
}

// logLikelihood is the part of the log-likelihood of n arrivals in a span at their mean rate that depends on the rate.
func logLikelihood(n, span float64) float64 {
	if n <= 0 || span <= 0 {
		return 0
	}
	return n * math.Log(n/span)
}
