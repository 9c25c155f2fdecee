package schedule

import (
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/tenant"
)

// plan runs one placement pass over all pools and then rebalances instances between them.
func (s *Scheduler) plan() {
	if !s.LeaseValid() {
		return
	}
	now := s.Now()
	if s.starts.mayPlan() {
		s.planPools(now)
	}
	s.rebalance(now)
}

// planPools runs a placement pass over all pools.
func (s *Scheduler) planPools(now time.Duration) {
	s.passes++
	s.starts.held = false
	s.updateHolders()
	s.releaseCapped()
	names := slices.Sorted(maps.Keys(s.pools))
	for i := range names {
		// Each pass begins with another pool, so that the limit on the starts in flight doesn't favour one.
		s.planPool(s.pools[names[(i+s.passes)%len(names)]], now)
	}
	s.requestTickets(now)
}

// planner places the tasks of one pool in one pass.
type planner struct {
	s          *Scheduler
	now        time.Duration
	candidates candidates
	// lastResort holds the pool's avoided workers for tasks that have waited long for a candidate, while most of the pool's
	// capacity is free.
	lastResort candidates
	missing    missing
	// fenced is set if no worker may be running tasks of the present job for an earlier leader.
	fenced bool
	// suspects is the number of suspected tasks that were not started.
	suspects int
	// deferred is the number of examined jobs whose tenant is at its cap.
	deferred int
	kept     keptWorkers
	// ticketWanted is set once the pass has found a step that lacks tickets.
	ticketWanted bool
	// deniedWanted is the request for denied workers that is sent if ticketWanted isn't set, without a step if there is none.
	deniedWanted ticketRequest
}

func (s *Scheduler) planPool(p *pool, now time.Duration) {
	if !s.starts.open() {
		return
	}
	p.update(now, s.fleet.mayRun)
	if p.backlog.waiting.Len() == 0 {
		p.missing = missing{}
		return
	}
	pl := s.newPlanner(p, now)
	pl.kept.wanted = s.caps.beyond > 0
	if !pl.placeWaiting(&p.backlog) {
		// The jobs that were not reached may need the workers that an earlier pass found missing.
		pl.missing.merge(p.missing)
	}
	pl.finishTickets()
	p.missing, p.waitingSuspects = pl.missing, pl.suspects
}

const (
	// maxUnplacedJobs is the number of jobs without a task that can start after which a pass examines no more jobs of a
	// service class.
	maxUnplacedJobs = 64
	// maxUnplacedAtHome is the same for each home data centre behind these jobs: one with few of the jobs may have room.
	maxUnplacedAtHome = 8
)

// placeWaiting places the waiting tasks of the backlog, class by class, and reports whether it has examined all of its jobs.
// The first jobs of each class are examined in each pass, and maxUnplacedJobs of its other jobs by turns.
func (pl *planner) placeWaiting(b *backlog) bool {
	all := true
	for class := classLongRunning; class < classCount; class++ {
		end := startOf(class + 1)
		last, complete := walk(b.waiting, startOf(class), end, pl.visitor(maxUnplacedJobs))
		if complete {
			continue
		}
		all = false
		pl.placeAtHomes(b, last, end)
		pl.placeByTurns(b, last, end)
		if !pl.s.starts.open() {
			return false
		}
	}
	return all
}

// placeByTurns places waiting tasks of the next jobs of a class, of which each pass has examined those up to the given place.
func (pl *planner) placeByTurns(b *backlog, from, to rank) {
	if !pl.s.starts.open() {
		return
	}
	cursor := &b.cursors[from.class]
	if cursor.isIn(from.class) && from.before(*cursor) {
		from = *cursor
	}
	last, complete := walk(b.waiting, from, to, pl.visitor(maxUnplacedJobs))
	if complete {
		last = rank{}
	}
	*cursor = last
}

// placeAtHomes places waiting tasks of each data centre's jobs in the range. Each pass begins with another data centre.
func (pl *planner) placeAtHomes(b *backlog, from, to rank) {
	names := b.homes()
	for i := range names {
		if !pl.s.starts.open() {
			return
		}
		walk(b.byHome[names[(i+pl.s.passes)%len(names)]], from, to, pl.visitor(maxUnplacedAtHome))
	}
}

// visitor returns a function that places the tasks of a job and reports whether the pass goes on to the next one: it ends
// after a number of jobs without a task that can start.
func (pl *planner) visitor(limit int) func(*job) bool {
	unplaced := 0
	return func(j *job) bool {
		starts := pl.s.starts.inFlight
		held := pl.placeJob(j)
		if !held && pl.s.starts.inFlight == starts {
			unplaced++
		}
		return unplaced < limit && pl.deferred < maxDeferredJobs && pl.s.starts.open()
	}
}

// newPlanner returns a planner with the usable workers of the pool as candidates, or those that are usable as a last resort.
func (s *Scheduler) newPlanner(p *pool, now time.Duration) *planner {
	pl := &planner{s: s, now: now}
	pl.candidates.addAll(p, func(w *workerState) bool { return s.usable(w, now) })
	switch {
	case len(pl.candidates.workers) == 0:
		pl.candidates.addAll(p, func(w *workerState) bool { return s.usableAsLast(w, now) })
	case len(pl.candidates.workers) < len(p.workers) && p.isMostlyFree():
		pl.lastResort.addAll(p, func(w *workerState) bool { return now < w.failingUntil && s.usableAsLast(w, now) })
	}
	return pl
}

// placeJob starts the job's waiting tasks as far as there is room, and reports whether an unheard worker, or its tenant's cap,
// holds all of them.
func (pl *planner) placeJob(j *job) (held bool) {
	if pl.s.caps.isCapped(j) {
		pl.deferred++
		j.touch()
		return true
	}
	fenced := pl.s.holderOf(j) == nil
	held = !fenced
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			// A speculative task may run twice, so it need not wait for workers that might still be running it.
			if step.ready && step.done < len(step.tasks) && (fenced || step.spec.Speculative) {
				held = false
				pl.fenced = fenced
				pl.placeStep(step)
			}
		}
	}
	if held || fenced && j.entry.unseen != (tenant.Cap{}) {
		// The worker has become the job's holder, or is heard, since the last update of the backlog.
		j.touch()
	}
	return held
}

// allowDataCentres records in the ledger that the job's tasks may run in up to n more data centres: those with the most
// free capacity on workers that have enough for a task of the step.
func (pl *planner) allowDataCentres(step *stepState, n int) {
	j := step.occurrence.job
	if j.Home == "" {
		return
	}
	names := pl.candidates.mostFree(step.size(), n, j.mayRequest)
	if len(names) == 0 && pl.mayUseLastResort(step) {
		names = pl.lastResort.mostFree(step.size(), n, j.mayRequest)
	}
	for _, dataCentre := range names {
		j.allowDataCentre(dataCentre, pl.s.markDirty(j))
	}
}

func (pl *planner) placeStep(step *stepState) {
	if step.waiting == 0 && !step.spec.Speculative || !pl.s.caps.allows(step) {
		return
	}
	if step.spec.Gang {
		pl.placeGang(step)
		return
	}
	if !pl.s.ensureTickets(step, pl) {
		return
	}
	pl.placeSuspects(step)
	if pl.isHopeless(step) {
		pl.keepFor(step, step.waiting)
		pl.addMissing(step, step.waiting)
		return
	}
	unplaced := 0
	for _, t := range step.tasks {
		if !pl.mayStart(t) {
			continue
		}
		if !pl.s.starts.open() || !pl.s.caps.allows(step) {
			break
		}
		w := pl.selectWorker(step, t, nil)
		if w != nil {
			pl.logSpeculativeRun(t, w)
			pl.s.start(t, w, t.nextRun, step.tickets.forWorker(w))
			continue
		}
		unplaced++
	}
	if unplaced > 0 {
		pl.keepFor(step, unplaced)
		pl.allowDataCentres(step, unplaced)
		pl.addMissing(step, unplaced)
	}
}

// mayStart reports whether the task may start a run now, apart from others if it isn't suspected.
func (pl *planner) mayStart(t *task) bool {
	return (t.needsRun() || t.needsSpeculativeRun(pl.now)) && pl.now >= t.notBefore && t.suspicion() == unsuspected
}

// isHopeless reports whether no task of the step can start in this pass, and no data centre that the job may not use yet
// has room for one.
func (pl *planner) isHopeless(step *stepState) bool {
	size := step.size()
	if step.spec.Speculative || pl.candidates.mayHold(size) {
		return false
	}
	return !pl.mayUseLastResort(step) || !pl.lastResort.mayHold(size)
}

// logSpeculativeRun logs that a task gets a second run in parallel with its first one.
func (pl *planner) logSpeculativeRun(t *task, w *workerState) {
	if len(t.runs) == 0 {
		return
	}
	first := t.runs[0]
	pl.s.Log.Write(event.TaskCopied, event.Fields{
		"task": t.id().String(), "run": t.nextRun, "worker": w.ID, "first": first.number, "silent": first.worker.unresponsiveSince != 0,
		"ordered_ms": (pl.now - first.ordered).Milliseconds(), "estimate_ms": t.step.estimate.Milliseconds(),
	})
}

// unconstrained reports whether every worker with enough free capacity may run the step.
func (st *stepState) unconstrained() bool {
	return st.spec.MaxPerWorker == 0 && st.spec.Label == "" && st.tickets.byWorker == nil && !st.spec.Gang
}

// selectWorker returns the best-fit worker for the task, adjusted by the step's preferences, or nil if no worker
// qualifies. What is reserved is treated as used.
func (pl *planner) selectWorker(step *stepState, t *task, reserved reservations) *workerState {
	w := pl.selectFrom(&pl.candidates, step, t, reserved)
	if w == nil && pl.isLastResortFor(t) {
		w = pl.selectFrom(&pl.lastResort, step, t, reserved)
	}
	return w
}

func (pl *planner) selectFrom(c *candidates, step *stepState, t *task, reserved reservations) *workerState {
	size := step.size()
	// A task that failed, or has a run, may not start on every worker with room.
	j := step.occurrence.job
	unconstrained := step.unconstrained() && len(t.failedOn)+len(t.crashedOn)+len(t.runs) == 0 && (!j.beyond || len(pl.kept.workers) == 0)
	var best placement
	for _, g := range c.startingWith(j.Home) {
		if best.worker != nil && best.cost < remoteDataCentreCost && j.Home != "" && g.dataCentre != j.Home && !step.spec.BestEffort {
			// No worker outside the home data centre costs less.
			break
		}
		if !j.mayRunIn(g.dataCentre) || g.isUnplaceable(size) {
			continue
		}
		found := pl.selectInGroup(g, step, t, reserved)
		if found.worker == nil && unconstrained {
			g.markUnplaceable(size)
		}
		if found.betterThan(best) {
			best = found
		}
	}
	return best.worker
}

// selectInGroup returns the best placement of the task in the group, without a worker if none qualifies.
func (pl *planner) selectInGroup(g *candidateGroup, step *stepState, t *task, reserved reservations) placement {
	size := step.size()
	var best placement
	for _, w := range g.workers {
		free, more := w.free(), 1
		if reserved != nil {
			free, more = free.Minus(reserved[w].size), 1+reserved[w].tasks
		}
		if !free.Holds(size) || !step.permits(w, more) || !pl.allowed(step, t, w) || pl.isKeptFrom(w, step.occurrence.job) {
			continue
		}
		found := placement{w, pl.cost(step, w, free, reserved)}
		if found.betterThan(best) {
			best = found
		}
	}
	return best
}

// placement is a worker for a task with its placement cost.
type placement struct {
	worker *workerState
	cost   float64
}

func (p placement) betterThan(other placement) bool {
	switch {
	case p.worker == nil:
		return false
	case other.worker == nil || p.cost < other.cost:
		return true
	}
	return p.cost == other.cost && p.worker.ID < other.worker.ID
}

// allowed reports whether the step's hard constraints permit the task on the worker, apart from its label and limit.
func (pl *planner) allowed(step *stepState, t *task, w *workerState) bool {
	spec := step.spec
	switch {
	case t.runsOn(w):
		// A speculative run on the same worker would be rejected.
		return false
	case !step.tickets.allows(w, pl.now):
		return false
	case !step.occurrence.job.mayRunIn(w.DataCentre):
		return false
	}
	// A task is not retried on an instance where it failed, or whose worker crashed, while there are alternatives, for a while:
	// these may have no room. Long-running tasks are exempt, because they fail on any instance.
	known := t.failedOn[w.Instance] > 0 || t.crashedOn[w.Instance]
	return spec.LongRunning || !known || len(pl.candidates.workers) <= len(t.failedOn)+len(t.crashedOn) || pl.now-t.readySince > maxRetryElsewhere
}

// permits reports whether the step's label and its limit per worker permit more of its tasks on the worker.
func (st *stepState) permits(w *workerState, more int) bool {
	spec := st.spec
	return (spec.Label == "" || w.HasLabel(spec.Label)) && (spec.MaxPerWorker == 0 || w.perStep[st]+more <= spec.MaxPerWorker)
}

// maxRetryElsewhere is how long a task that failed waits for a worker on another instance.
const maxRetryElsewhere = time.Second

// runsOn reports whether a run of the task may be in progress on the worker.
func (t *task) runsOn(w *workerState) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return true
		}
	}
	return false
}
