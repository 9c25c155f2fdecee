package forecast

import (
	"math"
	"time"
)

// Demand is what a pool's capacity is wanted for. Capacities are in milli-cores; a rate of arriving work in
// milli-core-seconds per second is a capacity.
type Demand struct {
	// Standing is what long-running tasks use, Runnable what all other unfinished tasks use if they run in parallel, and
	// Backlog what clears the waiting ones in good time.
	Standing, Runnable, Backlog int64
	// Seen is the present rate of arriving work.
	Seen Level
	// Next is the outlook to the next peak.
	Next Outlook
	// Now is the present time, MoveTime the time in which an instance can join a pool and get a task.
	Now, MoveTime time.Duration
}

// Capacity is what a pool wants, in milli-cores.
type Capacity struct {
	// Needed is wanted for demand that was seen.
	Needed int64
	// Expected is Needed, or more if a peak is expected within the time of a move: instances that are ordered now are there
	// when it begins. It is no reason to take what others need.
	Expected int64
	// Invited is what instances that another pool gives back may fill instead of going to a spare pool: it needs less evidence
	// than Expected, as such an instance moves in any case.
	Invited int64
	// Kept is what isn't given back. An instance that is given back is away for two moves, so it is kept if demand may come
	// before that.
	Kept int64
	// Most is what the demand that was seen may need if the latest jobs are few only by chance. It is a bound only after a
	// peak, and math.MaxInt64 otherwise.
	Most int64
}

// Want returns the capacity that a pool wants now. What has been seen always counts fully; the backlog counts while both
// together stay below what the unfinished tasks could use in parallel.
func Want(d Demand) Capacity {
	c := Capacity{
		Needed: d.required(ceilRate(d.Seen.after(d.MoveTime))),
		Most:   d.required(ceilRate(max(d.Seen.Most, d.Seen.after(d.MoveTime)))),
	}
	c.Expected, c.Invited, c.Kept = c.Needed, c.Needed, c.Needed
	if !d.Next.Past {
		c.Most = math.MaxInt64
	}
	if !d.Next.Known {
		return c
	}
	peak := d.Standing + ceilRate(d.Next.Height)
	if d.Next.Sure && d.Next.Earliest <= d.Now+d.MoveTime {
		c.Expected = max(c.Needed, peak)
	}
	if d.Next.Earliest <= d.Now+2*d.MoveTime {
		c.Kept, c.Invited = max(c.Needed, peak), max(c.Needed, peak)
	}
	return c
}

// required returns the capacity for an expected rate of work.
func (d *Demand) required(rate int64) int64 {
	return d.Standing + max(rate, min(d.Runnable, rate+d.Backlog))
}
