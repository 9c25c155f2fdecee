package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
)

// demand is what a pool needs and has, in milli-cores.
type demand struct {
	pool *pool
	need int64
	// inTime is the part of the need that is for jobs that can still meet their objective, and for lasting tasks.
	inTime int64
	// have is the room of usable workers, coming that of instances on their way.
	have, coming int64
	// used is the room that runs take.
	used int64
	// idle holds the workers that run nothing, those first that were vacated and aren't in have.
	idle []*host
}

// missing returns the room that has to come: what is needed beyond what there is, and whole workers for tasks that
// can't share those.
func (d *demand) missing(room int64) int64 {
	return max(d.need-d.have-d.coming, int64(d.pool.short)*room-d.coming)
}

// missingInTime returns the room that has to come for jobs that can still meet their objective.
func (d *demand) missingInTime() int64 { return d.inTime - d.have - d.coming }

// kept returns the room that the pool keeps while another one misses room, for jobs that can be in time or for any.
func (d *demand) kept(inTime bool) float64 {
	if inTime {
		return headroom * float64(d.inTime)
	}
	return headroom * float64(d.need)
}

// without returns what the pool has without a worker.
func (d *demand) without(h *host, now time.Duration) int64 {
	if now < h.vacatedUntil {
		return d.have
	}
	return d.have - h.Capacity.MilliCores
}

// logDemands writes what the pools need and have, now and then.
func (s *Scheduler) logDemands(demands []*demand, now time.Duration) {
	if now-s.fleet.logged < demandLogInterval {
		return
	}
	s.fleet.logged = now
	for _, d := range demands {
		waiting := 0
		for j := range d.pool.jobs {
			waiting += j.waiting
		}
		s.Log.Write(event.PoolDemand, event.Fields{
			"pool": d.pool.name, "need": d.need, "in_time": d.inTime, "have": d.have, "coming": d.coming, "waiting": waiting,
			"idle": len(d.idle), "hosts": len(d.pool.hosts), "rate": d.pool.arrivals.rate(now), "used": d.used, "jobs": len(d.pool.jobs),
		})
	}
}

func (s *Scheduler) demands(now time.Duration) []*demand {
	var all []*demand
	for name, p := range s.pools {
		if s.Config.Pools[name].Spare || len(p.jobs)+len(p.hosts) == 0 {
			continue
		}
		d := &demand{pool: p}
		d.need, d.inTime = p.need(now, s.Bounds.MoveTime+joinTime)
		for h := range p.hosts {
			if !s.sound(h, now) {
				continue
			}
			if now >= h.vacatedUntil {
				d.have += h.Capacity.MilliCores
				d.used += h.used.MilliCores
			}
			if len(h.runs) == 0 {
				d.idle = append(d.idle, h)
			}
		}
		slices.SortFunc(d.idle, func(a, b *host) int {
			if a.vacatedUntil != b.vacatedUntil {
				return cmp.Compare(b.vacatedUntil, a.vacatedUntil)
			}
			return strings.Compare(a.ID, b.ID)
		})
		for _, a := range s.fleet.coming {
			if a.pool == name {
				d.coming += a.room
			}
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b *demand) int { return strings.Compare(a.pool.name, b.pool.name) })
	return all
}

// need returns the milli-cores that the pool's jobs can use by the time at which an instance would join it: what
// lasts, the work that is expected to come, and what it takes to clear the backlog within the drain time. It is no
// more than what could run at once now and what is expected to come. The second figure leaves out jobs that can't meet
// their objective any more.
func (p *pool) need(now, horizon time.Duration) (whole, inTime int64) {
	var all, some openWork
	for j := range p.jobs {
		w := j.work()
		all.add(w)
		if j.serviceClass(now) < lateClass {
			some.add(w)
		}
	}
	expected := p.arrivals.forecast(now, horizon)
	return all.need(expected), some.need(expected)
}

// openWork is the work of jobs that isn't done, in milli-cores.
type openWork struct {
	// lasting is that of lasting tasks, present what could run at once, backlog what would clear it in the drain time.
	lasting, present, backlog int64
}

func (w *openWork) add(o openWork) {
	w.lasting += o.lasting
	w.present += o.present
	w.backlog += o.backlog
}

func (w *openWork) need(expected int64) int64 {
	return w.lasting + max(expected, min(w.present, expected+w.backlog))
}

// work returns the open work of the job's steps that are ready.
func (j *job) work() openWork {
	var w openWork
	for _, o := range j.occs {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if !step.ready || step.spec.BestEffort {
				continue
			}
			cpu := step.spec.Size.MilliCores
			open := int64(len(step.tasks)-step.done) * cpu
			if step.spec.LongRunning {
				w.lasting += open
				continue
			}
			w.present += open
			w.backlog += int64(step.waiting) * cpu * step.spec.Estimate.Milliseconds() / drainTime.Milliseconds()
		}
	}
	return w
}
