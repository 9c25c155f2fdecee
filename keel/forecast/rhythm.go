package forecast

import (
	"cmp"
	"slices"
	"time"
)

// rhythm is an interval between peaks with the number of intervals that agree with it.
type rhythm struct {
	length  time.Duration
	support int
	last    time.Duration
}

// rhythms holds the intervals that peaks have shown.
type rhythms []rhythm

func tolerance(interval time.Duration) time.Duration {
	return max(minTolerance, time.Duration(toleranceShare*float64(interval)))
}

// confirm adds an interval to the rhythm that it agrees with, or begins another one in place of that with the least support.
func (rs *rhythms) confirm(interval, now time.Duration) {
	for i := range *rs {
		r := &(*rs)[i]
		if (interval - r.length).Abs() <= tolerance(r.length) {
			r.length += (interval - r.length) / time.Duration(r.support+1)
			r.support = min(maxSupport, r.support+1)
			r.last = now
			return
		}
	}
	if len(*rs) >= maxRhythms {
		least := slices.MinFunc(*rs, func(a, b rhythm) int {
			return cmp.Or(cmp.Compare(a.support, b.support), cmp.Compare(a.last, b.last))
		})
		*rs = slices.DeleteFunc(*rs, func(r rhythm) bool { return r == least })
	}
	*rs = append(*rs, rhythm{length: interval, support: 1, last: now})
}

// current returns the rhythm that was confirmed last among those with enough support, nil if there is none.
func (rs rhythms) current(support int) *rhythm {
	var best *rhythm
	for i := range rs {
		r := &rs[i]
		if r.support >= support && (best == nil || r.last > best.last) {
			best = r
		}
	}
	return best
}

// interval returns the length of the current rhythm, 0 if there is none.
func (rs rhythms) interval(support int) time.Duration {
	r := rs.current(support)
	if r == nil {
		return 0
	}
	return r.length
}
