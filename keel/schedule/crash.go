package schedule

import (
	"slices"
	"strconv"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// recentStart is the survival below which a run is the likeliest cause of a crash.
	recentStart = 100 * time.Millisecond
	// startCrashTime is the survival from which a run isn't the likely cause of a crash.
	startCrashTime = time.Second
	// provenTime is the survival from which no crash counts against a task, neither this nor earlier ones.
	provenTime = 5 * time.Second
	// rackCauseTime is the time between the crashes of two workers of a rack that may have a common cause, commonCauseTime the same
	// for a worker and commonCauseWorkers others of any racks.
	rackCauseTime      = time.Second
	commonCauseTime    = 300 * time.Millisecond
	commonCauseWorkers = 3
)

// survived returns for how long the run is known to have lasted: until the worker's last response, or until its last list that has
// the run if a later one doesn't.
func (r *run) survived() time.Duration {
	if r.confirmedAt == 0 {
		return 0
	}
	last := r.worker.aliveAt
	if r.awaitingEndSince != 0 {
		last = r.listedAt
	}
	return max(0, last-r.confirmedAt)
}

const (
	// minBrokenCall is the shortest duration of a call whose connection was open until the call broke off. A call on a connection
	// that had been closed before fails sooner.
	minBrokenCall = 20 * time.Millisecond
	// maxBrokenCall is the longest duration of such a call. On a connection to a worker that was gone before it, one may break off
	// later, when data has stayed unacknowledged for too long.
	maxBrokenCall = 1400 * time.Millisecond
	// brokenCallDelay is the longest usual time after which a call that broke off is noticed.
	brokenCallDelay = 50 * time.Millisecond
)

// recordBrokenCall records that a worker was alive until a call to it broke off. One that only timed out doesn't show that.
func (s *Scheduler) recordBrokenCall(w *workerState, sent, timeout time.Duration, err error) {
	now := s.Now()
	took := now - sent
	if err == nil || fault.As(err).Outcome() == fault.NotRun || took < minBrokenCall || took >= min(timeout, maxBrokenCall) {
		return
	}
	w.aliveAt = max(w.aliveAt, now-brokenCallDelay)
}

// mayHaveLeft reports whether the worker may have ended by an order to its instance or because it was draining.
func (s *Scheduler) mayHaveLeft(w *workerState) bool {
	ordered, known := s.fleet.lastOrder[w.Instance]
	_, inherited := s.InstanceOrdersFrom[w.Instance]
	switch {
	case w.Draining || w.orderPending:
		return true
	case known && ordered > w.firstRegistered && s.Now()-ordered < lateOrderTime:
		return true
	}
	return inherited && s.Now()-s.began < lateOrderTime
}

// lateOrderTime is the time within which an order to an instance, of which the outcome isn't known, may be carried out.
const lateOrderTime = 15 * time.Second

// isReplaced reports whether the worker's registration has expired and another worker is registered on its instance.
func (s *Scheduler) isReplaced(w *workerState) bool {
	if w.registered || w.Instance == "" {
		return false
	}
	for id, other := range s.registrations {
		if id != w.ID && other.Instance == w.Instance {
			return true
		}
	}
	return false
}

// removeReplaced removes a worker at whose address another one responds. It has crashed, unless it left.
func (s *Scheduler) removeReplaced(w *workerState) {
	const reason = "another worker responds at its address"
	if s.mayHaveLeft(w) {
		s.removeWorker(w, reason)
		return
	}
	s.removeCrashed(w, reason)
}

// hasCrashed reports whether a worker has crashed that the list no longer shows on its instance.
func (s *Scheduler) hasCrashed(w *workerState, i provider.Instance) bool {
	switch i.State {
	case provider.Down:
		return !w.Draining
	case provider.Up:
		return (i.Pool == w.Pool || w.Pool == "") && !s.mayHaveLeft(w)
	}
	return false
}

// removeUnlistedWorker removes a worker that the list no longer shows on its instance.
func (s *Scheduler) removeUnlistedWorker(w *workerState, i provider.Instance) {
	reason := "instance list reports state " + string(i.State) + " with worker " + strconv.Quote(i.Worker)
	if s.hasCrashed(w, i) {
		s.removeCrashed(w, reason)
		return
	}
	s.removeWorker(w, reason)
}

// removeCrashed removes a worker that has crashed, and ends the jobs with tasks that are certain to have caused it.
func (s *Scheduler) removeCrashed(w *workerState, reason string) {
	if w.removed {
		return
	}
	jobs := s.recordCrash(w, reason, false)
	s.removeWorker(w, reason)
	for _, j := range jobs {
		s.checkAttempts(j)
	}
	// Suspected tasks start again once their crashes are stored.
	s.ledger.flush()
}

// recordCrash records a crash under each run of the worker and returns the jobs of these runs. If it isn't known whether the worker
// has crashed, only the runs count that would be its likeliest cause.
func (s *Scheduler) recordCrash(w *workerState, reason string, unconfirmed bool) []*job {
	return s.recordCrashUnder(w, w.boot, sortedRuns(w.runs), reason, unconfirmed)
}

// recordCrashUnder is recordCrash for a boot of the worker and the runs that it had.
func (s *Scheduler) recordCrashUnder(w *workerState, boot worker.Boot, all []*run, reason string, unconfirmed bool) []*job {
	runs := slices.DeleteFunc(slices.Clone(all), func(r *run) bool { return r.awaitingEndSince != 0 })
	limit := suspectLimit(runs)
	suspects := 0
	var jobs []*job
	for _, r := range runs {
		c := s.crashedRun(r, limit)
		c.Unconfirmed, c.Started = unconfirmed, boot.Started
		if r.survived() >= provenTime || unconfirmed && !c.Likely || r.task.done || !r.task.job().open() {
			continue
		}
		if r.isUnverified() {
			c.Likely, c.Sole = false, false
		}
		if c.Likely {
			suspects++
		}
		s.addCrash(r.task, c)
		if !slices.Contains(jobs, r.task.job()) {
			jobs = append(jobs, r.task.job())
		}
	}
	if len(runs) == 0 && !w.fenced {
		// It ended under an earlier leader.
		return nil
	}
	if !unconfirmed {
		s.countWorkerCrash(w)
	}
	s.Log.Write(event.WorkerCrashed, event.Fields{
		"worker": w.ID, "instance": w.Instance, "pool": w.Pool, "reason": reason, "runs": len(runs), "suspects": suspects,
		"alive_ms": (s.Now() - w.aliveAt).Milliseconds(), "unconfirmed": unconfirmed,
	})
	return jobs
}

// recordSilentCrash records a crash of a worker that was silent until its lease expired, and returns the jobs of its runs. Unless
// another worker is registered on its instance it isn't known whether it has crashed; and if others of its data centre are silent
// too, the path to them is the likelier cause.
func (s *Scheduler) recordSilentCrash(w *workerState) []*job {
	if len(w.runs) == 0 || !w.mayHaveCrashed() || s.mayHaveLeft(w) {
		return nil
	}
	const reason = "its lease has expired while it was silent"
	if s.isReplaced(w) {
		return s.recordCrash(w, reason, false)
	}
	last, known := s.silentExpiries[w.DataCentre]
	s.silentExpiries[w.DataCentre] = s.Now()
	if known && s.Now()-last < silentCauseTime || s.othersSilent(w) {
		return nil
	}
	return s.recordCrash(w, reason, true)
}

// silentCauseTime is the time between the ends of the leases of two silent workers of a data centre that may have a common cause.
const silentCauseTime = 2 * time.Second

// othersSilent reports whether another worker of the data centre is silent.
func (s *Scheduler) othersSilent(w *workerState) bool {
	for _, other := range s.workers {
		if other != w && other.DataCentre == w.DataCentre && other.unresponsiveSince != 0 {
			return true
		}
	}
	return false
}

// crashedRun returns the record of a crash under the run. Runs that are known to have lasted for less than the limit are its
// likeliest cause.
func (s *Scheduler) crashedRun(r *run, limit time.Duration) work.CrashedRun {
	w, id, survived := r.worker, r.task.id(), r.survived()
	alone, common := w.runsOnly(r.task), s.hasCommonCause(r) || s.mayBeOneOfSeries(r)
	likely := survived < limit || alone && survived < startCrashTime
	suspect := alone || survived < startCrashTime
	return work.CrashedRun{
		Step: id.Step, Occurrence: id.Occurrence, Index: id.Index, Run: r.number, Worker: w.ID, Instance: w.Instance,
		SurvivedMillis: survived.Milliseconds(), Suspect: suspect, Likely: likely, Sole: suspect && !common && w.isSoleSuspect(r.task), Common: common,
		Unanswered: !r.begun,
	}
}

// countWorkerCrash counts a crash of the worker.
func (s *Scheduler) countWorkerCrash(w *workerState) {
	s.Metrics.addCrash(w.Pool)
	if w.isolated > 0 && w.pool != nil {
		w.pool.trialCrashes[w.Instance] = s.Now()
	}
	s.noteCrash(w)
}

// recentCrash is a crash of a worker without suspected tasks that became known at a time.
type recentCrash struct {
	worker, rack string
	at           time.Duration
}

// noteCrash records that a worker has crashed, for hasCommonCause.
func (s *Scheduler) noteCrash(w *workerState) {
	known := slices.ContainsFunc(s.recentCrashes, func(c recentCrash) bool { return c.worker == w.ID })
	if w.isolated == 0 && !known {
		s.recentCrashes = append(s.recentCrashes, recentCrash{worker: w.ID, rack: w.Rack, at: s.Now()})
	}
}

// noteListedCrashes records the crashes that the latest instance list shows, before the first of them is examined.
func (s *Scheduler) noteListedCrashes(sent time.Duration) {
	for _, w := range s.workers {
		i, listed := s.fleet.instances[w.Instance]
		if listed && w.mayBeListed(sent) && i.Worker != w.ID && s.hasCrashed(w, i) {
			s.noteCrash(w)
		}
	}
}

// hasCommonCause reports whether the run's worker may have crashed for the same reason as others, such as the power of its rack.
// Those that had crashed before the run was ordered don't count.
func (s *Scheduler) hasCommonCause(r *run) bool {
	now, w := s.Now(), r.worker
	s.recentCrashes = slices.DeleteFunc(s.recentCrashes, func(c recentCrash) bool { return now-c.at > rackCauseTime })
	near := 0
	for _, c := range s.recentCrashes {
		switch {
		case c.worker == w.ID || c.at < r.ordered:
		case c.rack == w.Rack && w.Rack != "":
			return true
		case now-c.at <= commonCauseTime:
			near++
		}
	}
	return near >= commonCauseWorkers
}

// suspectLimit returns the survival below which the runs of a worker may have caused its crash. The runs that began last are
// the likeliest cause.
func suspectLimit(runs []*run) time.Duration {
	if slices.ContainsFunc(runs, func(r *run) bool { return r.survived() < recentStart }) {
		return recentStart
	}
	return startCrashTime
}

// runsOnly reports whether nothing but the task, or members of its gang, runs on the worker.
func (w *workerState) runsOnly(t *task) bool { return w.othersSurvived(t, provenTime) }

// isSoleSuspect reports whether nothing but the task, or members of its gang, has begun on the worker recently.
func (w *workerState) isSoleSuspect(t *task) bool { return w.othersSurvived(t, startCrashTime) }

// othersSurvived reports whether all other runs on the worker, but those of members of the task's gang, have lasted for the time.
func (w *workerState) othersSurvived(t *task, limit time.Duration) bool {
	for _, r := range w.runs {
		sameGang := t.step.spec.Gang && r.task.step == t.step
		if r.task != t && !sameGang && r.survived() < limit {
			return false
		}
	}
	return len(w.orphans) == 0
}

// addCrash adds a crash to the history of the task and to the job's record.
func (s *Scheduler) addCrash(t *task, c work.CrashedRun) {
	j := t.job()
	if slices.ContainsFunc(j.crashes, func(known work.CrashedRun) bool { return known.IsSameRun(c) && !known.Trial }) {
		return
	}
	j.removeTrial(t)
	j.crashes = append(j.crashes, c)
	t.countCrash(c)
	h := t.history()
	h.change = s.markDirty(j)
	if c.Unconfirmed {
		s.addDoubt(c, j)
	}
	if t.suspicion() > unsuspected {
		s.Log.WriteFunc(event.TaskSuspected, func() event.Fields {
			return event.Fields{
				"task": t.id().String(), "run": c.Run, "worker": c.Worker, "survived_ms": c.SurvivedMillis, "sole": c.Sole, "common": c.Common,
				"crashes": len(h.runs), "crashes_sole": h.sole, "unconfirmed": h.unconfirmed, "begun": !c.Unanswered, "likely": c.Likely,
			}
		})
	}
}

// restoreCrashes applies the crashes that earlier leaders stored.
func (s *Scheduler) restoreCrashes(j *job, crashes []work.CrashedRun) {
	for _, c := range crashes {
		t := s.crashedTask(j, c)
		if t == nil {
			continue
		}
		j.crashes = append(j.crashes, c)
		t.nextRun = max(t.nextRun, c.Run+1)
		if c.Trial {
			continue
		}
		t.countCrash(c)
		if c.Unconfirmed {
			s.addDoubt(c, j)
		}
	}
}

func (s *Scheduler) crashedTask(j *job, c work.CrashedRun) *task {
	return s.task(j, work.TaskID{Job: j.ID, Occurrence: c.Occurrence, Step: c.Step, Index: c.Index})
}

// keepCrashes keeps the job's crashes for which keep returns true, and counts them anew.
func (s *Scheduler) keepCrashes(j *job, keep func(*work.CrashedRun) bool) {
	var kept []work.CrashedRun
	before := make(map[*task]crashHistory)
	for _, c := range j.crashes {
		t := s.crashedTask(j, c)
		if t.history() != nil {
			before[t] = *t.history()
		}
		if c.Trial || keep(&c) {
			kept = append(kept, c)
		}
	}
	for t := range before {
		t.crashes, t.step.crashes = nil, nil
	}
	j.crashes = kept
	change := s.markDirty(j)
	for _, c := range kept {
		if c.Trial {
			continue
		}
		t := s.crashedTask(j, c)
		t.countCrash(c)
		h := t.history()
		h.change, h.givenUp = change, before[t].givenUp
	}
}

// deadlyTask returns a task of the job that is certain to crash its workers, or nil.
func (s *Scheduler) deadlyTask(j *job) *task {
	for _, c := range j.crashes {
		t := s.crashedTask(j, c)
		if !t.done && !c.Trial && t.history().hasCrashedWorkers() {
			return t
		}
	}
	return nil
}

// checkSurvival forgets the crashes of the task of a run that has lasted longer than those that ended in crashes: a task that
// crashes its workers does so each time.
func (s *Scheduler) checkSurvival(r *run) {
	t := r.task
	h := t.history()
	survived := r.survived()
	if h == nil || !t.job().open() || survived < h.isolationTime() || t.step.spec.Gang && survived < startCrashTime {
		return
	}
	r.setIsolation(unsuspected)
	s.Log.WriteFunc(event.TaskCleared, func() event.Fields {
		return event.Fields{"task": t.id().String(), "run": r.number, "worker": r.worker.ID, "survived_ms": survived.Milliseconds(), "crashes": len(h.runs)}
	})
	t.job().removeTrial(t)
	s.keepCrashes(t.job(), func(c *work.CrashedRun) bool { return s.crashedTask(t.job(), *c).history() != h })
	s.schedulePlan()
}
