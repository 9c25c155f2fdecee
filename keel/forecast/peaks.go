package forecast

import (
	"math"
	"time"
)

const (
	// A peak begins when the rate is certainly riseFactor times the mean, and ends when it is certainly below fallFactor
	// times the height of the peak.
	riseFactor = 1.5
	fallFactor = 1.0 / 3
	// certain is the number of standard deviations by which a rate must differ for that, countedCertain that by which it must
	// still exceed the mean of the time before when the peak is counted.
	certain        = 1.0
	countedCertain = 2.5
	// pauseTime is the time within which a peak that begins again is the same one: the window of a rate.
	pauseTime = windowSlots * slotTime
	// minPeakTime is the time that a rise must last to count as a peak: a shorter one is over before an instance comes.
	minPeakTime = time.Second
	// findTime is the time after which the begin of a peak has been found.
	findTime = minPeakTime + recentSlots*slotTime
	// meanTime is the time constant of a pool's mean rate.
	meanTime = time.Minute
	// minSupport is the number of intervals between peaks that must agree before instances are ordered for the next one.
	minSupport = 2
	// maxSupport bounds the support, so that a rhythm which ends is forgotten after a few misses.
	maxSupport = 6
	// toleranceShare is the share of an interval by which intervals that agree may differ, and the time before and after its
	// expected begin at which a peak counts as expected. It is at least minTolerance, about what finding a begin takes.
	toleranceShare = 1.0 / 16
	minTolerance   = 500 * time.Millisecond
	// maxRhythms bounds the intervals that are remembered.
	maxRhythms = 16
	// heightWeight is the weight of the latest peak in the height of a pool's peaks.
	heightWeight = 0.5
)

// Change is what an observation shows of a pool's peaks.
type Change int

// The changes. PeakMissed means that an expected peak has not begun.
const (
	NoChange Change = iota
	PeakBegan
	PeakEnded
	PeakMissed
)

// String returns the name of the change in metrics.
func (c Change) String() string {
	switch c {
	case PeakBegan:
		return "began"
	case PeakEnded:
		return "ended"
	case PeakMissed:
		return "missed"
	}
	return "none"
}

// Peaks learns the peaks of the rates of pools and the intervals at which they come back: the period of a pool, which counts
// for the others as well, and the turn from the peak of one pool to that of the next, if pools peak one after the other. One
// peak is expected after each that came, so that a peak which stays away is expected once.
type Peaks struct {
	pools          map[string]*poolPeaks
	periods, turns rhythms
	// latest is the pool whose peak began last.
	latest *poolPeaks
	// turnAwaited is set if a peak of another pool was expected after that one, and turnMissed if it has not come.
	turnAwaited, turnMissed bool
}

// poolPeaks is what is known of one pool's peaks.
type poolPeaks struct {
	observed, firstObserved time.Duration
	mean                    float64
	// inPeak is set while the rate is high, since the time since; counted is set once that counts as a peak.
	inPeak, counted bool
	since           time.Duration
	// before is the mean rate when it began to be high.
	before float64
	// began and ended are the times of the latest peak, known if peaks isn't 0.
	began, ended time.Duration
	peaks        int
	// present is the highest rate that the present peak has certainly had; height is that of the peaks before.
	present, height float64
	// awaited is set if a peak was expected after the latest one, and missed if it has not come.
	awaited, missed bool
}

// Outlook is what is expected of a pool's next peak.
type Outlook struct {
	// Known reports whether a peak is expected, and Sure whether enough intervals agree to order instances for it.
	Known, Sure bool
	// Earliest and Latest bound the time of its begin.
	Earliest, Latest time.Duration
	// Height is its rate.
	Height float64
	// Past is set if the pool has had a peak that has ended.
	Past bool
}

// Observe adds the rate of a pool and returns what has changed.
func (p *Peaks) Observe(name string, now time.Duration, level Level) Change {
	if p.pools == nil {
		p.pools = make(map[string]*poolPeaks)
	}
	s := p.pools[name]
	if s == nil {
		s = &poolPeaks{observed: now, firstObserved: now}
		p.pools[name] = s
	}
	low, high := level.PerSecond-certain*level.Deviation, level.PerSecond+certain*level.Deviation
	mean := s.mean
	if age := min(meanTime, now-s.firstObserved); age > 0 {
		s.mean += min(1, float64(now-s.observed)/float64(age)) * (level.PerSecond - s.mean)
	}
	s.observed = now
	if now-s.firstObserved < pauseTime {
		// Nothing can have risen yet.
		return NoChange
	}
	switch {
	case s.inPeak && high < fallFactor*s.present:
		s.inPeak = false
		if s.counted {
			s.end(min(now, level.Since))
			return PeakEnded
		}
	case s.inPeak:
		s.present = max(s.present, low)
		if s.counted {
			break
		}
		// What began earlier by chance isn't part of the peak.
		s.since = max(s.since, level.Since)
		if now-s.since >= minPeakTime && level.PerSecond-countedCertain*level.Deviation > riseFactor*s.before {
			s.counted = true
			p.count(s)
			return PeakBegan
		}
	case low > riseFactor*mean:
		s.inPeak, s.present, s.since, s.before = true, low, level.Since, mean
		// A peak that begins again after a short pause is the same one.
		s.counted = s.peaks > 0 && now-s.ended < pauseTime
	case p.overdue(s, now):
		return PeakMissed
	}
	return NoChange
}

// count records a peak, its interval from the one before in the same pool, and that from the latest one of another pool.
func (p *Peaks) count(s *poolPeaks) {
	at := s.since
	if s.peaks > 0 {
		p.periods.confirm(at-s.began, at)
	}
	turn := p.turns.current(1)
	switch {
	case p.latest != nil && p.latest != s && at > p.latest.began:
		p.turns.confirm(at-p.latest.began, at)
	case p.latest == s && turn != nil:
		// Two peaks in a row aren't turns.
		turn.support /= 2
	}
	s.awaited, s.missed, s.began = false, false, at
	s.peaks++
	p.latest, p.turnAwaited, p.turnMissed = s, false, false
}

// end records the end of a peak. One that goes on after a pause counts with its height alone.
func (s *poolPeaks) end(at time.Duration) {
	s.ended = at
	if s.height == 0 {
		s.height = s.present
		return
	}
	s.height += heightWeight * (s.present - s.height)
}

// overdue reports whether a peak that was expected should have begun by now, once. The rhythm that expected it loses half of
// its support. What was past when the rhythm became known was never expected.
func (p *Peaks) overdue(s *poolPeaks, now time.Duration) bool {
	period := p.periods.current(minSupport)
	if period != nil && s.peaks > 0 && !s.missed && isOverdue(&s.awaited, &s.missed, s.began, period, now) {
		return true
	}
	turn := p.turns.current(1)
	return turn != nil && !p.turnMissed && p.isNext(s) && isOverdue(&p.turnAwaited, &p.turnMissed, p.latest.began, turn, now)
}

// isOverdue updates whether a peak was awaited and missed an interval after another one, and reports whether both just came
// true.
func isOverdue(awaited, missed *bool, began time.Duration, r *rhythm, now time.Duration) bool {
	due := began + r.length
	if now <= due {
		*awaited = true
	}
	if now <= due+tolerance(r.length)+findTime {
		return false
	}
	*missed = true
	if *awaited {
		r.support /= 2
	}
	return *awaited
}

// isNext reports whether the pool is next to peak if pools take turns: it is the one whose peak is longest ago, or the only
// one that has had none yet. With several of these, the next one isn't known.
func (p *Peaks) isNext(s *poolPeaks) bool {
	if p.latest == nil || s == p.latest || s.inPeak {
		return false
	}
	without := 0
	for _, other := range p.pools {
		if other.peaks == 0 {
			without++
		} else if s.peaks > 0 && !other.inPeak && other.began < s.began {
			return false
		}
	}
	return without == 0 || without == 1 && s.peaks == 0
}

// Outlook returns what is expected of the pool's next peak.
func (p *Peaks) Outlook(name string, now time.Duration) Outlook {
	s := p.pools[name]
	if s == nil {
		return Outlook{}
	}
	o := Outlook{Past: s.peaks > 0 && !s.inPeak}
	if s.inPeak {
		return o
	}
	period := p.periods.current(minSupport)
	if period != nil && s.peaks > 0 && !s.missed && o.expect(s.began, period, s.height, now) {
		o.Sure = true
		return o
	}
	support := 1
	if s.peaks == 0 {
		support = minSupport
	}
	turn := p.turns.current(support)
	if turn != nil && !p.turnMissed && p.isNext(s) {
		o.expect(p.latest.began, turn, p.heightOf(s), now)
	}
	return o
}

// expect sets the expected begin of a peak an interval after another one, and reports whether that isn't past.
func (o *Outlook) expect(began time.Duration, r *rhythm, height float64, now time.Duration) bool {
	expected, spread := began+r.length, tolerance(r.length)
	if now > expected+spread || height <= 0 {
		return false
	}
	o.Known, o.Earliest, o.Latest, o.Height = true, expected-spread, expected+spread, height
	return true
}

// HasSeen reports whether the pool has had a peak.
func (p *Peaks) HasSeen(name string) bool { return p.pools[name] != nil && p.pools[name].peaks > 0 }

// heightOf returns the height of the pool's peaks, or if it has had none, the mean height of those of the others.
func (p *Peaks) heightOf(s *poolPeaks) float64 {
	if s.height > 0 {
		return s.height
	}
	sum, n := 0.0, 0.0
	for _, other := range p.pools {
		if other.height > 0 {
			sum += other.height
			n++
		}
	}
	return sum / max(1, n)
}

// Period returns the interval at which a pool's peaks are expected to come back, 0 if none is known.
func (p *Peaks) Period() time.Duration { return p.periods.interval(minSupport) }

// Turn returns the interval from the peak of a pool to that of the next one, 0 if none is known.
func (p *Peaks) Turn() time.Duration { return p.turns.interval(1) }

// ceilRate returns a rate as whole units.
func ceilRate(rate float64) int64 { return int64(math.Ceil(rate)) }
