package schedule

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// workerLease is the duration of a worker's lease. It exceeds the time of a leader change and of a store outage of
	// a few seconds. Tasks of a lost worker start elsewhere only after it has expired.
	workerLease = 6 * time.Second
	// startLease is the duration of the lease of a worker without confirmed runs. The first renewal after a start is
	// confirmed extends it. An idle worker may have become unreachable unnoticed, and tasks that were to start there
	// start elsewhere only after this lease has expired.
	startLease = 2 * time.Second
	// renewWait is how long a worker with runs holds a renewal request open for a run to end.
	renewWait = 1200 * time.Millisecond
	// doubtRenewWait is the same for a worker with starts in doubt, whose list is needed soon after it has accepted the
	// orders to stop them.
	doubtRenewWait = 100 * time.Millisecond
	// renewTimeoutMargin is added to the wait of a renewal request for its timeout.
	renewTimeoutMargin = 350 * time.Millisecond
	// minRenewInterval is the minimum interval between renewals of a worker's lease.
	minRenewInterval = 12 * time.Millisecond
	// renewRetry is the interval between renewals of a worker that is unresponsive, or whose ends can't be stored yet.
	renewRetry = 250 * time.Millisecond
	// promptRetryTime is how long a worker has been silent when renewRetry begins to count from the end of a renewal. It counts from
	// the sending before, so that lost renewals, which take longer, are repeated at once.
	promptRetryTime = time.Second
	// listingInterval is the minimum interval between complete lists of a worker's runs. A list shows progress and lost
	// runs, and costs more than the end of a run.
	listingInterval = 300 * time.Millisecond
	// idleRenewInterval is the interval between renewals of an idle worker.
	idleRenewInterval = 20 * time.Second
)

// workerState is a worker as the scheduler sees it: its registration, its lease and the runs on it.
type workerState struct {
	worker.Registration
	pool *pool
	// firstRegistered is when this leader first read the worker's registration, 0 for one that is only known from the
	// roster.
	firstRegistered time.Duration
	// registered is set while the store holds the worker's registration.
	registered bool
	// listedUpAt is when the latest instance list was requested that shows the worker.
	listedUpAt time.Duration
	// unlisted is set while the latest instance list lacks the worker's instance.
	unlisted bool
	// rostered is set once the ledger's roster lists the worker as one that may run tasks, rostering while that is
	// being written.
	rostered, rostering bool
	// rosterRows holds the keys and versions of the worker's roster rows.
	rosterRows []table.Condition
	// leaseEndStored is set while the roster may say when the worker's lease ends; until that is cleared the worker gets
	// neither a lease nor tasks. rosterWriting is set while the row is being written.
	leaseEndStored, rosterWriting bool
	// fenced is set once the worker has accepted this epoch, after which it rejects orders of earlier leaders.
	fenced  bool
	removed bool
	// unresponsiveSince is when the worker stopped responding, 0 while it responds.
	unresponsiveSince time.Duration
	// avoidUntil is the time until which the worker gets no tasks, because it rejected one.
	avoidUntil time.Duration
	// cordonedUntil is the time until which the worker gets no tasks, so that it becomes idle for its maintenance.
	cordonedUntil time.Duration
	// failingUntil is the time until which the worker gets no tasks, because they fail or stall on it, failingSince the
	// beginning of that.
	failingSince, failingUntil time.Duration
	failures                   failureHistory
	// reclaimedUntil is the time until which the worker gets no tasks, because its instance is wanted in another pool.
	reclaimedUntil time.Duration

	// boot is the boot of the worker that sent its last list of runs, or wrote its first registration before that; endedBoot is an
	// earlier one whose runs aren't settled, nil if there is none.
	boot      worker.Boot
	endedBoot *endedBoot
	// bootDoubted is set from a hint at another boot until the next list of runs.
	bootDoubted bool
	// heardAt is when the worker last listed runs or ends.
	heardAt time.Duration

	// clockValue is the worker's clock at the time clockReadAt by the scheduler's clock.
	clockValue, clockReadAt time.Duration
	// aliveAt is the latest time at which the worker is known to have been alive.
	aliveAt time.Duration
	// leaseExpiry is when everything on the worker is certain to have ended, unless the lease is extended.
	leaseExpiry time.Duration
	// renewalFailed is set while the latest renewal got no response. Whether it was carried out isn't certain, even if it
	// could not be sent in the end: it may have been sent through a relay before.
	renewalFailed bool
	// startUnsettled is set while the lease isn't extended because the outcome of a start is unknown; nor does the worker get
	// tasks, which would extend it.
	startUnsettled bool

	runs map[work.TaskID]*run
	// orphans holds runs, by task, that no open job needs and that are being stopped. Their size is unknown, so a
	// worker with orphans gets no tasks.
	orphans map[work.TaskID]int64
	used    work.Size
	// isolated is the number of runs beside which only other suspected tasks may run, or none.
	isolated int
	// reservedUntil is the time until which only suspected tasks may start on the worker.
	reservedUntil time.Duration
	// perStep counts the worker's runs of each step.
	perStep map[*stepState]int
	// images counts the worker's runs of each image, bestEffort those of best-effort steps.
	images     map[string]int
	bestEffort int
	pace       pace

	// renewals counts the renewals and those that were given up before their response.
	renewals       int64
	renewing       bool
	renewalPlanned bool
	renewedAt      time.Duration
	// listedAt is when the worker last listed all of its runs.
	listedAt time.Duration
	// listings counts the worker's responses that list runs.
	listings int64
	// acked is the number of the last end that the worker may discard; ends holds the later ones in order.
	acked int64
	// ackedThere is the same as far as the worker is known to have got it.
	ackedThere int64
	ends       []pendingEnd
	lastEnd    int64
	// moreEnds is set while the worker may have ends after lastEnd that it lists once the earlier ones are acknowledged.
	moreEnds bool
	// orderPending is set while an order that ends the worker may be in flight to its instance.
	orderPending bool
	idleSince    time.Duration
}

// storedRegistration is a registration in the store.
type storedRegistration struct {
	worker.Registration
	// removedAt is when the worker was last removed although it was registered.
	removedAt time.Duration
}

// pendingEnd is an end that the worker must keep until the change that follows from it is stored; job is nil if nothing
// needs to be stored.
type pendingEnd struct {
	number int64
	job    *job
	change uint64
}

func (w *workerState) target() worker.Target {
	return worker.Target{ID: w.ID, Address: w.Address, DataCentre: w.DataCentre}
}

// free returns the worker's unreserved capacity.
func (w *workerState) free() work.Size { return w.Capacity.Minus(w.used) }

// extendLease returns the end, on the worker's clock, of a lease that begins now, or 0 if its clock is unknown. It
// advances leaseExpiry, which allows for a slow clock, for orderLatency and for 5 % of the age of the clock reading.
func (s *Scheduler) extendLease(w *workerState) time.Duration {
	if w.clockReadAt == 0 {
		return 0
	}
	now := s.Now()
	duration := min(workerLease, s.Bounds.LeaseMax)
	if !w.hasConfirmedRun() {
		duration = min(startLease+s.starts.timeout()-orderTimeout, duration)
	}
	w.leaseExpiry = max(w.leaseExpiry, now+time.Duration(float64(duration)/(1-maxClockDrift))+orderLatency+(now-w.clockReadAt)/20)
	// A slow clock must not make the lease longer than maxLeaseTime.
	elapsed := time.Duration(float64(now-w.clockReadAt) * (1 - maxClockDrift))
	return w.clockValue + elapsed + duration
}

// inUse reports whether the worker may have runs or has ends that aren't stored. It must stay in the roster until then, so
// that the next leader waits for it.
func (w *workerState) inUse() bool { return len(w.runs)+len(w.orphans) > 0 || w.hasEnds() }

// hasEnds reports whether the worker has ends that aren't stored, or may have some that it hasn't listed.
func (w *workerState) hasEnds() bool { return len(w.ends) > 0 || w.moreEnds }

// hasConfirmedRun reports whether the worker has responded to the start order of one of its runs or has listed one.
func (w *workerState) hasConfirmedRun() bool {
	for _, r := range w.runs {
		if r.confirmedAt != 0 {
			return true
		}
	}
	return false
}

// maxLeaseTime returns the longest time for which a lease that was granted now can be valid.
func (s *Scheduler) maxLeaseTime() time.Duration {
	return time.Duration(float64(min(workerLease, s.Bounds.LeaseMax))/(1-maxClockDrift)) + orderLatency
}

// recordClock records the worker's clock from a response.
func (s *Scheduler) recordClock(w *workerState, reply worker.Reply) {
	if w.hintsAtBoot(reply, s.Now()) {
		s.doubtBoot(w)
	}
	if reply.Refusal != worker.OtherBoot {
		w.aliveAt = s.Now()
	}
	if reply.Clock > 0 {
		w.clockValue, w.clockReadAt = reply.Clock, s.Now()
	}
}

// ensureWorker returns the state of the registered worker, which it creates if necessary.
func (s *Scheduler) ensureWorker(r worker.Registration) *workerState {
	w := s.workers[r.ID]
	if w == nil {
		w = &workerState{
			Registration: r, runs: make(map[work.TaskID]*run), orphans: make(map[work.TaskID]int64),
			perStep: make(map[*stepState]int), idleSince: s.Now(),
		}
		s.workers[r.ID] = w
		w.boot = r.Boot()
		s.expectLateStarts(w)
	}
	if w.boot.Started == 0 {
		w.boot = r.Boot()
	}
	return w
}

// applyRegistrations applies changed registrations, or the full list if complete is set.
func (s *Scheduler) applyRegistrations(rows []table.Row, complete bool) {
	listed := make(map[string]bool)
	if complete {
		// Of two workers of an instance, the later one must be applied last.
		slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Version, b.Version) })
	}
	for _, row := range rows {
		listed[row.Name] = true
		if row.Deleted {
			s.unregister(row.Name)
			continue
		}
		r, err := s.Rows.Registration(row)
		if err != nil {
			s.Log.Write(event.RowUnreadable, event.Fields{"table": row.Table, "key": row.Name, "version": row.Version, "reason": err.Error()})
			s.unregister(row.Name)
			continue
		}
		s.register(r)
	}
	if complete {
		for id := range s.registrations {
			if !listed[id] {
				s.unregister(id)
			}
		}
	}
	s.schedulePlan()
}

// unregister records that the worker's registration is gone. It gets no new tasks; its runs may finish.
func (s *Scheduler) unregister(id string) {
	delete(s.registrations, id)
	w := s.workers[id]
	if w == nil || !w.registered {
		return
	}
	w.registered = false
	if !w.inUse() && w.fenced {
		s.removeWorker(w, "its registration was removed and nothing runs on it")
	}
}

func (s *Scheduler) register(r worker.Registration) {
	if s.isOutdated(r) {
		return
	}
	s.registrations[r.ID] = storedRegistration{Registration: r, removedAt: s.registrations[r.ID].removedAt}
	w := s.workers[r.ID]
	known := w != nil && w.registered
	w = s.ensureWorker(r)
	if w.Address != r.Address && w.Address != "" {
		s.Workers.Forget(w.Address)
	}
	startedDraining := r.Draining && (!known || !w.Draining)
	w.Registration = r
	w.registered = true
	if w.firstRegistered == 0 {
		w.firstRegistered = s.Now()
		s.fleet.registeredAt[w.Instance] = w.firstRegistered
	}
	if w.clockReadAt == 0 && r.Clock > 0 {
		w.clockValue = r.Clock
	}
	s.setWorkerPool(w)
	s.resolveReplacedDoubt(r)
	if !known {
		s.Log.Write(event.WorkerSeen, event.Fields{"worker": w.ID, "address": w.Address, "pool": w.Pool, "data_centre": w.DataCentre, "rack": w.Rack, "instance": w.Instance})
	}
	s.updateWorkerOf(w)
	if startedDraining {
		s.Log.Write(event.WorkerDraining, event.Fields{"worker": w.ID, "remaining_ms": w.RemainingTime.Milliseconds()})
		s.evictAllLongRunning(w)
	}
	s.addToRoster(w)
	if !w.fenced && !w.renewing {
		s.renew(w)
	}
	if r.Boot().IsOther(w.boot) {
		s.doubtBoot(w)
	}
}

// updateWorkerOf sets the latest worker of an instance. A new registration does not prove that the previous worker has
// ended, since it may reach the store late; only the instance list does.
func (s *Scheduler) updateWorkerOf(w *workerState) {
	if w.Instance == "" {
		return
	}
	previous := s.workerOf[w.Instance]
	if previous == w || previous != nil && s.fleet.instances[w.Instance].Worker == previous.ID {
		return
	}
	s.workerOf[w.Instance] = w
	delete(s.fleet.incoming, w.Instance)
}

func (s *Scheduler) setWorkerPool(w *workerState) {
	p := s.pool(w.Pool)
	if w.pool == p {
		return
	}
	if w.pool != nil {
		delete(w.pool.workers, w)
	}
	w.pool = p
	p.workers[w] = true
}

// addToRoster adds the worker to the ledger's roster, which must be stored before the first task starts there.
func (s *Scheduler) addToRoster(w *workerState) {
	if w.rostered || w.rostering {
		return
	}
	w.rostering = true
	s.writeRoster(w, 0, func() { w.rostered, w.rostering = true, false })
}

// removeWorker removes a worker that has ended, with all of its runs.
func (s *Scheduler) removeWorker(w *workerState, reason string) {
	if w.removed {
		return
	}
	w.removed = true
	s.Log.Write(event.WorkerGone, event.Fields{"worker": w.ID, "reason": reason, "runs": len(w.runs)})
	for _, r := range sortedRuns(w.runs) {
		s.recordLateStart(r)
		s.removeRun(r, "worker has ended")
	}
	clear(w.orphans)
	w.ends = nil
	if w.pool != nil {
		delete(w.pool.workers, w)
	}
	if s.workerOf[w.Instance] == w {
		delete(s.workerOf, w.Instance)
	}
	delete(s.unheard, w.ID)
	s.ledger.removeRows(w.rosterRows)
	s.Workers.Forget(w.Address)
	delete(s.workers, w.ID)
	stored, ok := s.registrations[w.ID]
	if ok {
		stored.removedAt = s.Now()
		s.registrations[w.ID] = stored
	}
	s.schedulePlan()
}
