package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/forecast"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/tenant"
)

// demand compares the capacity that a pool requires with what it has, in milli-cores.
type demand struct {
	pool     *pool
	required int64
	// requiredOnTime is the part of required for long-running tasks and for jobs that can still meet their objective.
	requiredOnTime int64
	// wanted also holds what is expected.
	wanted forecast.Capacity
	// capacity is that of usable workers; incoming is that of instances that were ordered into the pool.
	capacity, incoming int64
	// used is the capacity that runs occupy.
	used int64
	// idle holds the healthy workers without runs. Reclaimed workers, which capacity leaves out, come first.
	idle []*workerState
}

// shortfall returns the capacity that the pool lacks.
func (d *demand) shortfall() int64 { return d.required - d.capacity - d.incoming }

// missing returns the capacity of the workers that unplaced tasks need in addition, a whole instance for each.
func (d *demand) missing(instanceCapacity int64) int64 {
	return int64(d.pool.missing.workers)*instanceCapacity - d.incoming
}

// missingLongRunning returns the part of missing for long-running tasks.
func (d *demand) missingLongRunning(instanceCapacity int64) int64 {
	return int64(d.pool.missing.longRunning)*instanceCapacity - d.incoming
}

// keeps reports whether the pool doesn't give up the instance, because tasks of it wait for a worker like that. With
// onTime, only long-running tasks count.
func (d *demand) keeps(i provider.Instance, onTime bool) bool {
	missing := &d.pool.missing
	if onTime {
		return missing.longRunning > 0 && missing.suitsLongRunning(i)
	}
	return missing.workers > 0 && missing.suits(i)
}

// expectedShortfall returns the capacity that the pool lacks for an expected peak.
func (d *demand) expectedShortfall() int64 { return d.wanted.Expected - d.capacity - d.incoming }

// onTimeShortfall returns the capacity that the pool lacks for long-running tasks and for jobs that can still meet
// their objective.
func (d *demand) onTimeShortfall() int64 { return d.requiredOnTime - d.capacity - d.incoming }

// reserve returns the capacity that the pool keeps when another pool falls short. With onTime, only long-running tasks
// and jobs that can still meet their objective count.
func (d *demand) reserve(onTime bool) float64 {
	if onTime {
		return headroom * float64(d.requiredOnTime)
	}
	return headroom * float64(d.required)
}

// capacityWithout returns the pool's capacity after the worker has left it.
func (d *demand) capacityWithout(w *workerState, now time.Duration) int64 {
	if now < w.reclaimedUntil {
		return d.capacity
	}
	return d.capacity - w.Capacity.MilliCores
}

// logDemands logs each pool's demand at most once per demandLogInterval.
func (s *Scheduler) logDemands(demands []*demand, now time.Duration) {
	if now-s.fleet.demandLoggedAt < demandLogInterval {
		return
	}
	s.fleet.demandLoggedAt = now
	s.Log.Write(event.OrdersInFlight, event.Fields{
		"starts": s.starts.inFlight, "start_limit": s.starts.limit, "stops": s.stops.inFlight, "stop_limit": s.stops.limit,
		"stops_held": len(s.stops.waiting), "start_ms": s.starts.latency.Milliseconds(), "stop_ms": s.stops.latency.Milliseconds(), "passes": s.passes,
		"passes_ms": s.passTimes.took.Milliseconds(), "longest_pass_ms": s.passTimes.longest.Milliseconds(), "loop_delay_ms": s.passTimes.delay.Milliseconds(),
	})
	s.passTimes = passTimes{}
	for _, d := range demands {
		s.Log.Write(event.PoolDemand, event.Fields{
			"pool": d.pool.name, "need": d.required, "in_time": d.requiredOnTime, "have": d.capacity, "coming": d.incoming, "waiting": d.pool.backlog.tasks,
			"idle": len(d.idle), "hosts": len(d.pool.workers), "rate": int64(d.pool.arrivals.Level(now).PerSecond), "used": d.used, "jobs": len(d.pool.jobs),
		})
	}
}

func (s *Scheduler) demands(now time.Duration) []*demand {
	var all []*demand
	for name, p := range s.pools {
		configured, ok := s.Config.Pools[name]
		// A pool without workers may have a peak to come.
		active := len(p.jobs)+len(p.workers) > 0 || ok && s.peaks.HasSeen(name)
		if configured.Spare || !active {
			continue
		}
		d := &demand{pool: p}
		var capacity tenant.Cap
		total, onTime := s.want(p, now)
		d.required, d.requiredOnTime, d.wanted = total.Needed, onTime.Needed, total
		for w := range p.workers {
			if !s.healthy(w, now) {
				continue
			}
			if now >= w.reclaimedUntil {
				d.capacity += w.Capacity.MilliCores
				capacity = capacity.Plus(tenant.Cap(w.Capacity))
				d.used += w.used.MilliCores
			}
			if len(w.runs) == 0 {
				d.idle = append(d.idle, w)
			}
		}
		slices.SortFunc(d.idle, func(a, b *workerState) int {
			if a.reclaimedUntil != b.reclaimedUntil {
				return cmp.Compare(b.reclaimedUntil, a.reclaimedUntil)
			}
			return strings.Compare(a.ID, b.ID)
		})
		for _, in := range s.fleet.incoming {
			if in.pool == name {
				d.incoming += in.capacity
			}
		}
		d.setRoom(capacity)
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *demand) int { return strings.Compare(a.pool.name, b.pool.name) })
	return all
}

// openWork is the unfinished work of jobs, in milli-cores.
type openWork struct {
	// longRunning is what long-running tasks use, runnable is what all other unfinished tasks use if they run in
	// parallel, and backlog is what clears the waiting tasks within backlogClearTime.
	longRunning, runnable, backlog int64
}

func (w *openWork) add(o openWork) {
	w.longRunning += o.longRunning
	w.runnable += o.runnable
	w.backlog += o.backlog
}

func (w *openWork) subtract(o openWork) {
	w.longRunning -= o.longRunning
	w.runnable -= o.runnable
	w.backlog -= o.backlog
}

// openWork returns the unfinished work of the job's ready steps; best-effort tasks take no capacity, and tasks that no
// instance may run don't count. Without withWaiting, only tasks with runs count.
func (j *job) openWork(mayRun func(*stepState) bool, withWaiting bool) openWork {
	var w openWork
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if !step.ready || step.spec.BestEffort || !mayRun(step) {
				continue
			}
			cpu := step.spec.Size.MilliCores
			if !withWaiting {
				running := int64(len(step.tasks)-step.done-step.waiting) * cpu
				if step.spec.LongRunning {
					w.longRunning += running
				} else {
					w.runnable += running
				}
				continue
			}
			open := int64(len(step.tasks)-step.done) * cpu
			if step.spec.LongRunning {
				w.longRunning += open
				continue
			}
			w.runnable += open
			w.backlog += int64(step.waiting) * cpu * step.estimate.Milliseconds() / backlogClearTime.Milliseconds()
		}
	}
	return w
}
