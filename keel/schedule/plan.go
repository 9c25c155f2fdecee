package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
)

// plan starts the tasks that find a worker.
func (s *Scheduler) plan() {
	if !s.LeaseValid() {
		return
	}
	now := s.Now()
	s.planned = now
	for _, p := range s.pools {
		s.planPool(p, now)
	}
	s.keepFleet(now)
}

// planner places the tasks of one pool in one pass.
type planner struct {
	s     *Scheduler
	now   time.Duration
	hosts []*host
	// failed holds sizes that found no worker, so that no larger task of a plain step looks again.
	failed []work.Size
	// short is the number of further workers that the tasks left over need because of their steps' conditions.
	short int
}

func (s *Scheduler) planPool(p *pool, now time.Duration) {
	jobs := p.order(now)
	p.short = 0
	if len(jobs) == 0 {
		return
	}
	pl := &planner{s: s, now: now}
	for h := range p.hosts {
		if s.usable(h, now) {
			pl.hosts = append(pl.hosts, h)
		}
	}
	for _, j := range jobs {
		pl.placeJob(j)
	}
	p.short = pl.short
}

func (pl *planner) placeJob(j *job) {
	sure := pl.mayStart(j)
	for _, o := range j.occs {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			// A task that may have several runs needn't wait for workers that may be running it.
			if step.ready && step.done < len(step.tasks) && (sure || step.spec.Speculative) {
				pl.placeStep(step)
			}
		}
	}
}

// mayStart reports whether no worker that hasn't answered this leader may be running tasks of the job.
func (pl *planner) mayStart(j *job) bool {
	if !j.inherited || len(pl.s.unheard) == 0 {
		return true
	}
	for _, h := range pl.s.unheard {
		if j.mayHaveUsed(h.DataCentre) {
			return false
		}
	}
	return true
}

// roam has the ledger say that the job's tasks may run in one more data centre, the one where most of them find room.
func (pl *planner) roam(step *stepState) {
	j := step.occ.job
	if j.Home == "" {
		return
	}
	size := step.size()
	room := make(map[string]int64)
	for _, h := range pl.hosts {
		_, asked := j.away[h.DataCentre]
		if h.DataCentre != j.Home && !asked && h.free().Holds(size) {
			room[h.DataCentre] += h.free().MilliCores
		}
	}
	best := ""
	for dataCentre, free := range room {
		if best == "" || free > room[best] || free == room[best] && dataCentre < best {
			best = dataCentre
		}
	}
	if best != "" {
		j.setAway(best, pl.s.markDirty(j))
	}
}

func (pl *planner) placeStep(step *stepState) {
	if step.waiting == 0 && !step.spec.Speculative {
		return
	}
	if step.spec.Gang {
		pl.placeGang(step)
		return
	}
	if !pl.s.advised(step, pl) {
		return
	}
	left := 0
	for _, t := range step.tasks {
		if !t.waitsForStart() && !t.wantsCopy(pl.now) || pl.now < t.notBefore {
			continue
		}
		h := pl.choose(step, t, nil)
		if h == nil {
			pl.roam(step)
		}
		if h != nil {
			pl.logCopy(t, h)
			pl.s.start(t, h, t.nextRun, step.advice.ticket(h))
			continue
		}
		left++
	}
	if left > 0 {
		pl.short = max(pl.short, step.workersFor(left))
	}
}

// logCopy writes that a task gets a second run beside the one that it has.
func (pl *planner) logCopy(t *task, h *host) {
	if len(t.runs) == 0 {
		return
	}
	first := t.runs[0]
	pl.s.Log.Write(event.TaskCopied, event.Fields{
		"task": t.id().String(), "run": t.nextRun, "worker": h.ID, "first": first.number, "silent": first.host.silent != 0,
		"ordered_ms": (pl.now - first.ordered).Milliseconds(), "estimate_ms": t.step.spec.Estimate.Milliseconds(),
	})
}

// workersFor returns how many further workers the tasks need that found none, beyond what room alone tells.
func (st *stepState) workersFor(tasks int) int {
	switch {
	case st.spec.MaxPerWorker > 0:
		return (tasks + st.spec.MaxPerWorker - 1) / st.spec.MaxPerWorker
	case st.spec.LongRunning:
		return 1
	}
	return 0
}

// placeGang starts all members at once, or none.
func (pl *planner) placeGang(step *stepState) {
	if !pl.s.advised(step, pl) {
		return
	}
	number := int64(0)
	taken := make(map[*host]work.Size)
	chosen := make([]*host, len(step.tasks))
	for i, t := range step.tasks {
		if !t.waitsForStart() || pl.now < t.notBefore {
			return
		}
		h := pl.choose(step, t, taken)
		if h == nil {
			pl.roam(step)
			return
		}
		taken[h] = taken[h].Plus(step.size())
		chosen[i] = h
		number = max(number, t.nextRun)
	}
	for i, t := range step.tasks {
		pl.s.start(t, chosen[i], number, step.advice.ticket(chosen[i]))
	}
}

// hopeless reports whether a task at most as large found no worker in this pass.
func (pl *planner) hopeless(size work.Size) bool {
	for _, f := range pl.failed {
		if size.Holds(f) {
			return true
		}
	}
	return false
}

// plain reports whether any worker with room may run the step.
func (st *stepState) plain() bool {
	return st.spec.MaxPerWorker == 0 && st.spec.Label == "" && st.advice.tickets == nil && !st.spec.Gang
}

// choose returns the worker for a task: the fullest one that holds it, after what the step asks for; nil if none does.
func (pl *planner) choose(step *stepState, t *task, taken map[*host]work.Size) *host {
	size := step.size()
	plain := step.plain() && len(t.failedOn) == 0 && step.occ.job.Home == ""
	if plain && pl.hopeless(size) {
		return nil
	}
	var best *host
	var bestCost float64
	for _, h := range pl.hosts {
		free := h.free()
		if taken != nil {
			free = free.Minus(taken[h])
		}
		if !free.Holds(size) || !pl.allowed(step, t, h) {
			continue
		}
		cost := pl.cost(step, h, free, taken)
		if best == nil || cost < bestCost || cost == bestCost && h.ID < best.ID {
			best, bestCost = h, cost
		}
	}
	if best == nil && plain {
		pl.failed = append(pl.failed, size)
	}
	return best
}

// allowed reports whether the step's conditions let the worker run the task.
func (pl *planner) allowed(step *stepState, t *task, h *host) bool {
	spec := step.spec
	switch {
	case spec.Label != "" && !h.HasLabel(spec.Label):
		return false
	case spec.MaxPerWorker > 0 && h.perStep[step] >= spec.MaxPerWorker:
		return false
	case !step.advice.allows(h, pl.now):
		return false
	case !step.occ.job.mayUse(h.DataCentre):
		return false
	}
	// A task doesn't go back to where it failed while it has other choices; lasting ones fail wherever they are.
	return spec.LongRunning || t.failedOn[h.Instance] == 0 || len(pl.hosts) <= len(t.failedOn)
}

const (
	// farCost is what running far from a step's data, or on another rack than its other tasks, weighs against a
	// worker that is a whole room less full.
	farCost = 4.0
	// awayCost keeps a job's tasks in its home, so that the loss of a data centre concerns few jobs.
	awayCost = 1.0
	// dueCost keeps lasting tasks off instances that they would have to leave for maintenance.
	dueCost = 2.0
	// crowdCost keeps filling tasks of one worker apart.
	crowdCost = 2.0
)

// cost is lower for a worker that suits the step better.
func (pl *planner) cost(step *stepState, h *host, free work.Size, taken map[*host]work.Size) float64 {
	cost := share(free.MilliCores, h.Capacity.MilliCores)
	spec := step.spec
	if home := step.occ.job.Home; home != "" && home != h.DataCentre {
		cost += awayCost
	}
	if spec.DataRack != "" && spec.DataRack != h.Rack {
		cost += farCost
	}
	if spec.SameRack && !sameRack(step, h, taken) {
		cost += farCost
	}
	if spec.LongRunning && pl.s.due(h.Instance) {
		cost += dueCost
	}
	if spec.BestEffort {
		// A filling task goes where most processor time is left unused.
		cost = -cost + crowdCost*float64(h.perStep[step])
	}
	return cost
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// sameRack reports whether the worker is on the rack of the step's other tasks, as far as there are any.
func sameRack(step *stepState, h *host, taken map[*host]work.Size) bool {
	for other := range taken {
		if other.Rack != h.Rack {
			return false
		}
	}
	for _, t := range step.tasks {
		for _, r := range t.runs {
			if r.host.Rack != h.Rack {
				return false
			}
		}
	}
	return true
}
