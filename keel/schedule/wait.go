package schedule

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
)

const (
	// waitReportInterval is the interval between two reports of waiting tasks.
	waitReportInterval = time.Second
	// minReportedWait is how long a task must have waited to be reported; shorter waits are part of each start.
	minReportedWait = 2 * time.Second
	// maxReportedJobs is the maximum number of waiting jobs of a pool that a report examines: the first in scheduling order,
	// and by turns as many of the others, so that each task that waits for long is explained in some report.
	maxReportedJobs = 128
	// maxExplainedSteps is the maximum number of steps among these for which a report compares tasks with workers: those
	// whose tasks have waited longest.
	maxExplainedSteps = 32
)

// waitCause is the reason why a task whose turn has come has no run that is known to be in progress.
type waitCause string

const (
	waitLeaderLease  waitCause = "leader_lease"
	waitQueue        waitCause = "queue_unknown"
	waitUnfenced     waitCause = "unfenced_worker"
	waitUnresponsive waitCause = "unresponsive_worker"
	waitInDoubt      waitCause = "start_in_doubt"
	waitStopping     waitCause = "stop_pending"
	waitEnd          waitCause = "end_not_listed"
	waitBackoff      waitCause = "backoff"
	waitWorker       waitCause = "no_usable_worker"
	waitCapacity     waitCause = "no_capacity"
	waitDataCentre   waitCause = "data_centre_not_allowed"
	waitConstraint   waitCause = "constraint"
	waitGang         waitCause = "gang"
	// waitTicket means that the queue's placement policy has issued no valid ticket for a worker with room.
	waitTicket waitCause = "no_ticket"
	waitOrders waitCause = "orders_in_flight"
	// waitCrashStored means that a crash under the task isn't stored yet, waitCrashKnown that it isn't known whether the workers
	// of its runs have crashed, and waitIsolation that it waits for a worker on which it runs apart from others.
	waitCrashStored waitCause = "crash_not_stored"
	waitCrashKnown  waitCause = "crash_unconfirmed"
	waitIsolation   waitCause = "isolation"
	// waitCap means that the tenant has as much running as its cap allows, or that a job before waits for that.
	waitCap waitCause = "tenant_cap"
	// waitGivenUp means that the task isn't started again because it has crashed its workers.
	waitGivenUp waitCause = "given_up"
	// waitNone means that a worker has room for the task and may run it.
	waitNone waitCause = "none"
	// waitUnexplained is the cause of tasks beyond maxExplainedSteps and maxReportedJobs.
	waitUnexplained waitCause = "not_examined"
)

// wait is what holds a task.
type wait struct {
	cause waitCause
	since time.Duration
	// worker is the worker that holds the task, empty if none does. until is when the wait ends without further
	// evidence, 0 if it doesn't.
	worker string
	until  time.Duration
}

// waitKey groups waits by pool and cause, so that a report has few lines however many tasks wait.
type waitKey struct {
	pool  string
	cause waitCause
}

// waitGroup is the waits of one pool for one cause.
type waitGroup struct {
	waitKey
	tasks, longRunning int
	// longest is the task that has waited longest, and held what holds it.
	longest *task
	held    wait
}

// reportWaits logs and counts the tasks that have waited for minReportedWait, by pool and cause. It is called after a
// placement pass, so that room that the pass would use doesn't count.
func (s *Scheduler) reportWaits(now time.Duration) {
	if now-s.waitsReportedAt < waitReportInterval {
		return
	}
	s.waitsReportedAt = now
	groups := s.collectWaits(now)
	for _, g := range groups {
		endsIn := time.Duration(0)
		if g.held.until > 0 {
			endsIn = g.held.until - now
		}
		usable, unusable := s.countWorkers(s.pools[g.pool], now)
		s.Log.Write(event.TasksWaiting, event.Fields{
			"pool": g.pool, "cause": string(g.cause), "tasks": g.tasks, "long_running": g.longRunning, "task": g.longest.id().String(),
			"waited_ms": (now - g.held.since).Milliseconds(), "worker": g.held.worker, "ends_in_ms": endsIn.Milliseconds(),
			"usable": usable, "unusable": unusable,
		})
	}
	s.Metrics.setWaits(groups, now)
	s.reportTenants()
}

// collectWaits returns the waits by pool and cause, ordered by both.
func (s *Scheduler) collectWaits(now time.Duration) []*waitGroup {
	c := &waitCollector{s: s, now: now, groups: make(map[waitKey]*waitGroup)}
	s.updateHolders()
	for _, w := range s.workers {
		for _, r := range w.runs {
			c.addHeld(r)
		}
	}
	for j := range s.unrouted {
		c.addJob(j)
	}
	for _, p := range s.pools {
		c.addPool(p)
	}
	groups := make([]*waitGroup, 0, len(c.groups))
	for _, g := range c.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *waitGroup) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.cause, b.cause))
	})
	return groups
}

// waitCollector collects the waits of one report.
type waitCollector struct {
	s      *Scheduler
	now    time.Duration
	groups map[waitKey]*waitGroup
	// unplaced holds the steps of the present pool with tasks that wait for a worker.
	unplaced []*unplacedStep
	// examined is the number of waiting tasks of the present pool's jobs that the report examines.
	examined int
}

// unplacedStep is a step with tasks that wait for a worker, the one that has waited longest first.
type unplacedStep struct {
	tasks []*task
}

// addPool adds the tasks without runs of the pool's first waiting and held jobs and of some others, and the number of all the
// rest.
func (c *waitCollector) addPool(p *pool) {
	p.update(c.now, c.s.fleet.mayRun)
	b := &p.backlog
	rest := cmp.Or(b.firstHeldTask(), b.firstCappedTask())
	c.examined = c.addHeldJobs(p) + c.addCappedJobs(p)
	last, next := c.addJobs(b, startOf(classLongRunning))
	if next != nil {
		rest = next.waitingTask()
		if last.before(b.reportCursor) {
			last = b.reportCursor
		}
		b.reportCursor, next = c.addJobs(b, last)
		if next == nil {
			b.reportCursor = rank{}
		}
	}
	c.addCount(rest, wait{cause: waitUnexplained, since: c.now}, b.tasks-c.examined)
	if len(c.unplaced) > 0 {
		c.addUnplaced(p, c.unplaced)
		c.unplaced = nil
	}
}

// addJobs adds the tasks of up to maxReportedJobs waiting jobs from a place on. It returns the place of the next one and that
// job, nil if none is left.
func (c *waitCollector) addJobs(b *backlog, from rank) (last rank, next *job) {
	jobs := 0
	last, _ = walk(b.waiting, from, startOf(classCount), func(j *job) bool {
		if jobs == maxReportedJobs {
			next = j
			return false
		}
		jobs++
		c.examined += j.waiting
		c.addJob(j)
		return true
	})
	return last, next
}

// waitingTask returns a task of the job that needs a run, or nil if there is none.
func (j *job) waitingTask() *task {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			i := slices.IndexFunc(step.tasks, (*task).needsRun)
			if step.waiting > 0 && i >= 0 {
				return step.tasks[i]
			}
		}
	}
	return nil
}

// addHeld adds the task of a run if no run of the task is known to be in progress.
func (c *waitCollector) addHeld(r *run) {
	t := r.task
	if t.runs[0] != r || t.done || !t.step.ready || !t.job().open() {
		return
	}
	held, waits := t.heldByRun()
	if waits && c.now-held.since >= minReportedWait {
		c.addCount(t, held, 1)
	}
}

// addJob adds the job's tasks without runs.
func (c *waitCollector) addJob(j *job) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.ready && step.waiting > 0 {
				c.addStep(j, step)
			}
		}
	}
}

func (c *waitCollector) addStep(j *job, step *stepState) {
	unplaced := &unplacedStep{}
	for _, t := range step.tasks {
		if !t.needsRun() {
			continue
		}
		held := c.explain(j, t)
		switch {
		case c.now-held.since < minReportedWait:
		case held.cause != "":
			c.addCount(t, held, 1)
		default:
			unplaced.tasks = append(unplaced.tasks, t)
		}
	}
	if len(unplaced.tasks) > 0 {
		slices.SortFunc(unplaced.tasks, func(a, b *task) int { return cmp.Compare(a.readySince, b.readySince) })
		c.unplaced = append(c.unplaced, unplaced)
	}
}

// heldByRun reports whether no run of the task is known to be in progress, and what holds the run that started last, if
// there is one.
func (t *task) heldByRun() (held wait, waits bool) {
	for _, r := range t.runs {
		w := r.worker
		switch {
		case w.unresponsiveSince != 0:
			held = wait{cause: waitUnresponsive, since: w.unresponsiveSince, worker: w.ID, until: w.leaseExpiry}
		case r.awaitingEndSince != 0:
			held = wait{cause: waitEnd, since: r.awaitingEndSince, worker: w.ID}
		case r.inDoubt || r.confirmedAt == 0:
			held = wait{cause: waitInDoubt, since: t.readySince, worker: w.ID}
		case r.stopping:
			held = wait{cause: waitStopping, since: r.stoppingSince, worker: w.ID}
		default:
			return wait{}, false
		}
	}
	return held, true
}

// explain returns what holds a task without runs, with an empty cause if that takes a comparison with the workers.
func (c *waitCollector) explain(j *job, t *task) wait {
	held := wait{since: t.readySince}
	switch {
	case !c.s.LeaseValid():
		held.cause = waitLeaderLease
	case j.queue == nil || j.pool == nil:
		held.cause = waitQueue
	case j.entry.capped.job != nil:
		held.cause = waitCap
	case c.now < t.notBefore:
		held.cause, held.until = waitBackoff, t.notBefore
	case t.suspicion() > unsuspected:
		held.cause = t.suspectWait()
	}
	return held
}

// suspectWait returns what holds a suspected task.
func (t *task) suspectWait() waitCause {
	switch h := t.history(); {
	case t.job().storedChange < h.change:
		return waitCrashStored
	case h.hasCrashedWorkers():
		return waitGivenUp
	case h.isHeld():
		return waitCrashKnown
	}
	return waitIsolation
}

// addUnplaced adds the tasks of a pool that wait for a worker. All tasks of a step get the cause of the one that has
// waited longest.
func (c *waitCollector) addUnplaced(p *pool, steps []*unplacedStep) {
	slices.SortFunc(steps, func(a, b *unplacedStep) int { return cmp.Compare(a.tasks[0].readySince, b.tasks[0].readySince) })
	pl := c.s.newPlanner(p, c.now)
	explained := 0
	for _, step := range steps {
		held := wait{cause: waitUnexplained}
		holder := c.s.holderOf(step.tasks[0].job())
		switch {
		case holder != nil && !step.tasks[0].step.spec.Speculative:
			held = wait{cause: waitUnfenced, worker: holder.ID, until: holder.leaseExpiry}
		case explained < maxExplainedSteps:
			held = c.explainUnplaced(pl, step.tasks[0])
			explained++
		}
		for _, t := range step.tasks {
			held.since = t.readySince
			c.addCount(t, held, 1)
		}
	}
}

// explainUnplaced returns what keeps the planner from placing the task.
func (c *waitCollector) explainUnplaced(pl *planner, t *task) wait {
	cause := pl.placementWait(t)
	if cause == waitNone && c.s.starts.held {
		cause = waitOrders
	}
	return wait{cause: cause}
}

// placementWait returns the reason why no usable worker of the pool can run the task now, or waitNone if one can.
func (pl *planner) placementWait(t *task) waitCause {
	if len(pl.candidates.workers) == 0 {
		return waitWorker
	}
	j, size := t.job(), t.step.size()
	cause := waitCapacity
	groups := pl.candidates.groups
	if pl.isLastResortFor(t) {
		groups = slices.Concat(groups, pl.lastResort.groups)
	}
	for _, g := range groups {
		if g.isUnplaceable(size) {
			continue
		}
		room := false
		for _, w := range g.workers {
			if !w.free().Holds(size) {
				continue
			}
			room = true
			if !j.mayRunIn(g.dataCentre) {
				break
			}
			if t.step.permits(w, 1) && pl.allowed(t.step, t, w) {
				if t.step.spec.Gang {
					return waitGang
				}
				return waitNone
			}
			cause = waitConstraint
			if !t.step.tickets.allows(w, pl.now) {
				cause = waitTicket
			}
		}
		switch {
		case !room:
			g.markUnplaceable(size)
		case cause == waitCapacity:
			cause = waitDataCentre
		}
	}
	return cause
}

// addCount adds n tasks with the same cause, of which one is given, or nil if there is none.
func (c *waitCollector) addCount(t *task, held wait, n int) {
	if t == nil || n <= 0 {
		return
	}
	j := t.job()
	key := waitKey{pool: j.Queue, cause: held.cause}
	if j.pool != nil {
		key.pool = j.pool.name
	}
	g := c.groups[key]
	if g == nil {
		g = &waitGroup{waitKey: key}
		c.groups[key] = g
	}
	g.tasks += n
	if t.step.spec.LongRunning {
		g.longRunning += n
	}
	if g.longest == nil || held.since < g.held.since || held.since == g.held.since && t.id().String() < g.longest.id().String() {
		g.longest, g.held = t, held
	}
}
