package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/provider"
)

const (
	// workersPerTrial is the number of a pool's workers for each on which suspected tasks, and for each on which an accused one,
	// may run apart from others at a time, those that are down after a crash included; freeWorkersPerTrial is the same while most
	// of the pool is free. If a task has waited for isolationPatience besides, only those that aren't down count, and there may be
	// one more for each waitingPerTrial suspected tasks that wait, at most one for each waitWorkersPerTrial workers that are up. If
	// fewer tasks wait, and none of them for three times as long, at most one of downWorkersPerTrial workers, or two, may be down.
	workersPerTrial     = 16
	freeWorkersPerTrial = 4
	waitWorkersPerTrial = 2
	waitingPerTrial     = 8
	downWorkersPerTrial = 3
	// maxMissingTrials is the maximum number of additional workers for suspected tasks of a step, if there aren't waitingPerTrial
	// times as many of them.
	maxMissingTrials = 4
	// maxTrialDowntime limits how long a worker that has crashed under a suspected task counts as one of these.
	maxTrialDowntime = 5 * time.Second
	// trialPatience is the wait of a suspected task, which may well be innocent, from which one more may run apart from others.
	trialPatience = time.Second
	// minWorkersForSecondTrial is the number of workers that the pool must have for that.
	minWorkersForSecondTrial = 4
	// isolationPatience is the wait of a suspected task from which it runs beside others if most of the pool is free, and
	// busyIsolationPatience that from which it does in any case.
	isolationPatience     = 2 * time.Second
	busyIsolationPatience = 8 * time.Second
	// maxReservedRun is the longest expected time until a worker is empty that is reserved.
	maxReservedRun = 3 * time.Second
	// reservationTime is how long a worker stays reserved after the last pass that lacked one for a suspected task.
	reservationTime = 500 * time.Millisecond
)

// isolation returns how far the worker's runs are kept apart from others.
func (w *workerState) isolation() suspicion {
	level := unsuspected
	for _, r := range w.runs {
		level = max(level, r.isolation)
	}
	return level
}

// mayJoin reports whether another suspected task may start beside those of the worker. They start one after the other, so that
// a crash shows which it was.
func (w *workerState) mayJoin() bool {
	if w.isolated == 0 || w.isolated < len(w.runs) || w.isolation() != suspected {
		return false
	}
	for _, r := range w.runs {
		if r.survived() < recentStart || !r.task.crashesSoon() {
			return false
		}
	}
	return true
}

// crashesSoon reports whether the task's runs that ended in crashes had begun just before, so that another run that begins later
// isn't taken for the cause of the next one.
func (t *task) crashesSoon() bool {
	h := t.history()
	return h == nil || h.longest < recentStart
}

// isEmpty reports whether nothing runs on the worker.
func (w *workerState) isEmpty() bool { return len(w.runs)+len(w.orphans) == 0 }

// trials returns the number of the pool's workers with runs that are kept apart from others as far as given and began within
// startCrashTime.
func (p *pool) trials(level suspicion, now time.Duration) int {
	n := 0
	for w := range p.workers {
		if w.isolated > 0 && w.isolation() == level && w.startedWithin(startCrashTime, now) {
			n++
		}
	}
	return n
}

// startedWithin reports whether the start of a run that is kept apart from others was ordered within the time.
func (w *workerState) startedWithin(limit, now time.Duration) bool {
	for _, r := range w.runs {
		if r.isolation != unsuspected && now-r.ordered < limit {
			return true
		}
	}
	return false
}

// downAfterTrials returns the number of the pool's instances that are down since a crash under suspected tasks.
func (pl *planner) downAfterTrials(p *pool) int {
	for id, at := range p.trialCrashes {
		if pl.now-at > maxTrialDowntime || pl.now-at > listLag && pl.s.fleet.instances[id].State != provider.Down {
			delete(p.trialCrashes, id)
		}
	}
	return len(p.trialCrashes)
}

// mayOpenTrial reports whether the task may start on a worker of its own, or the first task on one that others may join.
func (pl *planner) mayOpenTrial(t *task) bool {
	p := t.job().pool
	limit := 1 + len(p.workers)/workersPerTrial
	waited := pl.now - t.readySince
	running, down := p.trials(t.suspicion(), pl.now), pl.downAfterTrials(p)
	if p.isMostlyFree() {
		if waited > isolationPatience {
			mayCrash := p.waitingSuspects >= waitingPerTrial || waited > 3*isolationPatience || down < max(2, (len(p.workers)+down)/downWorkersPerTrial)
			return mayCrash && running < max(1, min(len(p.workers)/waitWorkersPerTrial, 1+p.waitingSuspects/waitingPerTrial))
		}
		limit = max(limit, len(p.workers)/freeWorkersPerTrial)
	}
	if t.suspicion() == suspected && waited > trialPatience && len(p.workers) >= minWorkersForSecondTrial {
		limit++
	}
	return running+down < limit
}

// mayStartSuspect reports whether the task's crashes are known and stored, and it isn't to be given up.
func (t *task) mayStartSuspect() bool {
	h := t.history()
	return t.job().storedChange >= h.change && !h.isHeld() && !h.hasCrashedWorkers()
}

// trialWorkers returns the pool's workers that may get suspected tasks and pass the filter.
func (pl *planner) trialWorkers(p *pool, filter func(*workerState) bool) candidates {
	var c candidates
	c.addAll(p, func(w *workerState) bool {
		return pl.s.unavailableForAll(w, pl.now) == "" && pl.now >= w.failingUntil && pl.now >= w.reclaimedUntil && filter(w)
	})
	return c
}

// placeSuspects starts the step's suspected tasks apart from others.
func (pl *planner) placeSuspects(step *stepState) {
	if len(step.occurrence.job.crashes) == 0 || !pl.fenced {
		return
	}
	unplaced := 0
	for _, t := range step.tasks {
		if t.suspicion() == unsuspected || !t.needsRun() || pl.now < t.notBefore || !t.mayStartSuspect() {
			continue
		}
		if !pl.s.starts.open() || !pl.s.caps.allows(step) {
			return
		}
		pl.s.countLostTrial(t)
		if !t.mayStartSuspect() {
			continue
		}
		w := pl.selectForSuspect(t)
		if w == nil {
			unplaced++
			pl.suspects++
			pl.allowDataCentres(step, 1)
			pl.reserveFor(t, min(unplaced, max(maxMissingTrials, t.job().pool.waitingSuspects/waitingPerTrial)))
			continue
		}
		if pl.s.verify(w) && pl.s.mayStartTrial(t, t.nextRun) {
			pl.s.start(t, w, t.nextRun, step.tickets.forWorker(w))
			continue
		}
		w.reservedUntil = pl.now + reservationTime
	}
}

// selectForSuspect returns a worker for a suspected task: an empty one, one with other suspected tasks if many of them wait, or,
// if the task has waited for long, the one with the fewest runs.
func (pl *planner) selectForSuspect(t *task) *workerState {
	p := t.job().pool
	var w *workerState
	if pl.mayOpenTrial(t) {
		c := pl.trialWorkers(p, (*workerState).isEmpty)
		w = pl.selectFrom(&c, t.step, t, nil)
	}
	if w == nil && t.suspicion() == suspected && t.crashesSoon() && p.waitingSuspects >= waitingPerTrial {
		c := pl.trialWorkers(p, (*workerState).mayJoin)
		w = pl.selectFrom(&c, t.step, t, nil)
	}
	if w == nil && pl.mayRunBesideOthers(t) {
		w = pl.selectLeastUsed(t)
	}
	return w
}

// mayRunBesideOthers reports whether the task has waited so long for an empty worker that it runs beside others. After several
// crashes it waits longer, since another crash beside others would show as little as those before.
func (pl *planner) mayRunBesideOthers(t *task) bool {
	patience := busyIsolationPatience
	if t.job().pool.isMostlyFree() && len(t.history().runs) < crashesToAccuse {
		patience = isolationPatience
	}
	return pl.now-t.readySince > patience && pl.mayOpenTrial(t)
}

// selectLeastUsed returns the worker with the fewest runs that has room for the task, or nil.
func (pl *planner) selectLeastUsed(t *task) *workerState {
	fewest := -1
	for _, w := range pl.candidates.workers {
		if pl.fits(t, w) && (fewest < 0 || len(w.runs) < fewest) {
			fewest = len(w.runs)
		}
	}
	c := pl.trialWorkers(t.job().pool, func(w *workerState) bool { return w.isolated == 0 && len(w.runs) == fewest })
	return pl.selectFrom(&c, t.step, t, nil)
}

// fits reports whether the worker has room for the task and may run it.
func (pl *planner) fits(t *task, w *workerState) bool {
	return w.free().Holds(t.step.size()) && t.step.permits(w, 1) && pl.allowed(t.step, t, w)
}

// reserveFor keeps other tasks off a worker on which the task could run once it is empty. If there is no empty one, it counts
// the number of workers as missing.
func (pl *planner) reserveFor(t *task, missing int) {
	w := pl.selectReserved(t)
	if (w == nil || !w.isEmpty()) && !pl.missing.full() && pl.s.fleet.mayRun(t.step) {
		pl.missing.add(t.step, missing)
	}
	if w == nil {
		return
	}
	if pl.now >= w.reservedUntil {
		pl.s.Log.Write(event.WorkerReserved, event.Fields{"worker": w.ID, "task": t.id().String(), "runs": len(w.runs)})
	}
	w.reservedUntil = pl.now + reservationTime
	pl.s.after(reservationTime, pl.s.schedulePlan)
}

// selectReserved returns the worker to reserve for the task: one that is reserved already, or else the one that is expected to
// be empty first; nil if there is none.
func (pl *planner) selectReserved(t *task) *workerState {
	var best *workerState
	var bestTime time.Duration
	for _, g := range pl.trialWorkers(t.job().pool, func(w *workerState) bool { return w.isolated == 0 }).groups {
		for _, w := range g.workers {
			if !w.Capacity.Holds(t.step.size()) || !t.step.permits(w, 1) || !pl.allowed(t.step, t, w) {
				continue
			}
			remaining := pl.timeUntilEmpty(w)
			if pl.now < w.reservedUntil {
				remaining = -1
			}
			if remaining < maxReservedRun && (best == nil || remaining < bestTime || remaining == bestTime && w.ID < best.ID) {
				best, bestTime = w, remaining
			}
		}
	}
	return best
}

// timeUntilEmpty estimates the time until all of the worker's runs have ended.
func (pl *planner) timeUntilEmpty(w *workerState) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.runs {
		longest = max(longest, pl.s.remainingTime(r, pl.now))
	}
	return longest
}

// placeSuspectedGang starts all members of a suspected gang in one pass on workers with nothing else, or none.
func (pl *planner) placeSuspectedGang(step *stepState) {
	first := step.tasks[0]
	if slices.ContainsFunc(step.tasks, func(t *task) bool { return !t.needsRun() || pl.now < t.notBefore }) {
		return
	}
	pl.s.countLostTrial(first)
	if !first.mayStartSuspect() || !pl.s.mayStartTrial(first, step.nextRun()) {
		return
	}
	c := pl.trialWorkers(first.job().pool, (*workerState).isEmpty)
	if !pl.mayOpenTrial(first) {
		c = candidates{}
	}
	if pl.mayRunBesideOthers(first) {
		c = pl.candidates
	}
	if !pl.startGang(step, &c) {
		pl.reserveFor(first, len(step.tasks))
	}
}
