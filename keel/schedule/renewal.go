package schedule

import (
	"context"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// scheduleRenewal renews the worker's lease after the delay, unless a renewal is in progress or scheduled.
func (s *Scheduler) scheduleRenewal(w *workerState, delay time.Duration) {
	if w.renewing || w.renewalPlanned || w.removed {
		return
	}
	w.renewalPlanned = true
	s.after(delay, func() {
		w.renewalPlanned = false
		s.renew(w)
	})
}

// renew extends the worker's lease and requests the state of its runs. After a renewal without a response the lease isn't
// extended before there is one, so that the worker's runs are over when it has expired; nor does the worker hold the
// request open. Nor is the lease extended while the outcome of a start stays unknown, so that its task waits for the end of
// the lease at most, however often the worker responds.
func (s *Scheduler) renew(w *workerState) {
	if w.renewing || w.removed {
		return
	}
	if !s.LeaseValid() {
		s.scheduleRenewal(w, renewRetry)
		return
	}
	w.renewing = true
	w.renewals++
	renewal := w.renewals
	now := s.Now()
	w.renewedAt = now
	order := worker.RenewOrder{Token: s.Epoch, Acknowledged: w.acknowledgement(now)}
	if s.mayExtendLease(w) {
		if !w.startUnsettled {
			order.LeaseEnd = s.extendLease(w)
		}
		if len(w.ends) == 0 {
			order.Wait = min(w.renewalWait(now), s.tailWait(w))
		}
		order.EndsSuffice = order.Wait > 0 && now-w.listedAt < listingInterval && !w.hasDoubtfulRun()
	}
	s.sendRenewal(w.target(), order, func(status worker.Status, err error) {
		if s.epochEnded() || renewal != w.renewals {
			return
		}
		w.renewing = false
		if w.removed {
			return
		}
		s.Metrics.addRenewal()
		s.recordBrokenCall(w, now, order.Wait+renewTimeoutMargin, err)
		if err == nil && status.Refusal == worker.Accepted {
			w.recordAcknowledged(order.Acknowledged)
		}
		s.handleRenewal(w, now, status, err)
	})
}

// tailWait returns how long a renewal may wait at most so that the tail latencies of the worker's tasks are known in time.
func (s *Scheduler) tailWait(w *workerState) time.Duration {
	if s.Bounds.MaxSlowdownTime > 0 && w.hasServingBesideBestEffort() {
		return servingWait
	}
	return renewWait
}

// mayExtendLease reports whether the worker's next renewal may extend its lease, but for starts with an unknown outcome.
func (s *Scheduler) mayExtendLease(w *workerState) bool {
	responds := w.fenced && w.unresponsiveSince == 0 && !w.renewalFailed
	return responds && w.isBootSettled() && !w.leaseEndStored && len(s.lateStarts[w.ID]) == 0
}

// sendRenewal sends the renewal and calls done on the control loop when it has ended, which may be after the end of the
// epoch.
func (s *Scheduler) sendRenewal(target worker.Target, order worker.RenewOrder, done func(worker.Status, error)) {
	timeout := order.Wait + renewTimeoutMargin
	if s.Workers.SubmitRenew == nil || !s.Workers.SubmitRenew(target, order, timeout, done) {
		call(s, timeout, func(ctx context.Context) (worker.Status, error) { return s.Workers.Renew(ctx, target, order) }, done)
	}
}

func (s *Scheduler) handleRenewal(w *workerState, sent time.Duration, status worker.Status, err error) {
	w.renewalFailed = err != nil
	if err != nil {
		if !fault.IsKind(err, fault.Overloaded) {
			s.markUnresponsive(w, err)
		}
		s.scheduleRenewal(w, s.failedRenewalPause(w, sent))
		return
	}
	s.checkBoot(w, status.Reply)
	s.recordClock(w, status.Reply)
	switch status.Refusal {
	case worker.Accepted:
		s.markResponsive(w)
		s.applyStatus(w, sent, status)
	case worker.OtherBoot:
		s.removeReplaced(w)
		return
	case worker.Fenced:
		s.Log.Write(event.RecoveryStep, event.Fields{"epoch": s.Epoch, "step": "fence " + w.ID, "outcome": "worker has accepted a later epoch; retrying"})
		s.scheduleRenewal(w, renewRetry)
		return
	default:
		s.markUnresponsive(w, fault.New(fault.EndpointRefused, "lease renewal rejected: %s", status.Refusal))
		s.scheduleRenewal(w, renewRetry)
		return
	}
	s.scheduleNextRenewal(w)
}

// failedRenewalPause returns the delay before the next renewal of a worker that left the one without a response that was sent at
// the given time.
func (s *Scheduler) failedRenewalPause(w *workerState, sent time.Duration) time.Duration {
	now := s.Now()
	if now-w.unresponsiveSince < promptRetryTime {
		return max(minRenewInterval, renewRetry-(now-sent))
	}
	return renewRetry
}

// renewalWait returns how long the worker is to hold the next renewal open for a run to end.
func (w *workerState) renewalWait(now time.Duration) time.Duration {
	inDoubt := false
	for _, r := range w.runs {
		if r.stopAcceptedInDoubt() {
			// The run may have no end, so only the next list shows that it is gone.
			return 0
		}
		inDoubt = inDoubt || r.isUnanswered()
	}
	switch {
	case inDoubt && now-w.listedAt < listingInterval, w.isolated > 0:
		return doubtRenewWait
	case inDoubt || !w.hasConfirmedRun():
		return 0
	}
	return renewWait
}

// hasDoubtfulRun reports whether only a list of the worker's runs can show whether some run is there.
func (w *workerState) hasDoubtfulRun() bool {
	if len(w.orphans) > 0 {
		return true
	}
	for _, r := range w.runs {
		if r.isUnanswered() || r.stopping {
			return true
		}
	}
	return false
}

func (s *Scheduler) scheduleNextRenewal(w *workerState) {
	switch {
	case len(w.ends) > 0:
		// The next renewal follows as soon as these ends are stored; this one is the fallback.
		s.scheduleRenewal(w, renewRetry)
	case len(w.runs)+len(w.orphans) > 0 || w.awaitsAcknowledgement() || w.endedBoot != nil:
		s.scheduleRenewal(w, minRenewInterval)
	}
}

// unsettledStartTime is the time after which a start without a response keeps the worker's lease from being extended. Most
// are settled by the orders to stop them within a few times stopRetry.
const unsettledStartTime = 1500 * time.Millisecond

// hasUnsettledStart reports whether it is unknown for longer than unsettledStartTime whether a start was carried out.
func (w *workerState) hasUnsettledStart(now time.Duration) bool {
	for _, r := range w.runs {
		if r.confirmedAt == 0 && now-r.ordered > unsettledStartTime {
			return true
		}
	}
	return false
}

// markUnresponsive records that the worker failed to respond.
func (s *Scheduler) markUnresponsive(w *workerState, err error) {
	if w.unresponsiveSince == 0 {
		w.unresponsiveSince = s.Now()
		s.Log.Write(event.WorkerSilent, event.Fields{"worker": w.ID, "reason": err.Error(), "runs": len(w.runs)})
		s.speculateUnresponsive(w)
	}
}

// markResponsive records that the worker responded under this epoch.
func (s *Scheduler) markResponsive(w *workerState) {
	s.resolveDoubt(w.ID, false)
	if w.unresponsiveSince != 0 {
		s.Log.Write(event.WorkerHeard, event.Fields{"worker": w.ID, "silent_ms": (s.Now() - w.unresponsiveSince).Milliseconds()})
		w.unresponsiveSince = 0
		s.stopLateStarts(w)
	}
	if !w.fenced {
		w.fenced = true
		s.stopLateStarts(w)
	}
	s.clearLeaseEnd(w)
}

// applyStatus applies the worker's list of runs. The list may lack runs that were confirmed after sent, the time of the
// request.
func (s *Scheduler) applyStatus(w *workerState, sent time.Duration, status worker.Status) {
	w.listings++
	w.heardAt = s.Now()
	for _, live := range status.Running {
		s.applyRunning(w, live)
	}
	for _, end := range status.Ended {
		if end.Number > w.lastEnd {
			w.lastEnd = end.Number
			s.applyEnd(w, end)
		}
	}
	s.recordMoreEnds(w, status)
	if w.endedBoot != nil && !status.Partial && !status.MoreEnds {
		s.settleEndedBoot(w, sent)
	}
	if !status.Partial {
		s.removeUnlisted(w, sent, status)
	}
	if w.isolated > 0 {
		for _, r := range w.runs {
			s.checkSurvival(r)
		}
	}
	s.acknowledgeEnds(w)
	s.schedulePlan()
}

// recordMoreEnds records whether the worker may have ends that it hasn't listed.
func (s *Scheduler) recordMoreEnds(w *workerState, status worker.Status) {
	if status.MoreEnds && !w.moreEnds {
		s.Log.Write(event.EndsTruncated, event.Fields{"worker": w.ID, "listed": len(status.Ended), "not_stored": len(w.ends), "runs": len(w.runs)})
	}
	w.moreEnds = status.MoreEnds
	if !w.moreEnds {
		delete(s.unheard, w.ID)
	}
}

// removeUnlisted removes the runs that were confirmed before sent and that the worker's latest list doesn't contain. While
// the worker may have ends that it hasn't listed, theirs may be among them: they keep their tasks from being started again,
// but no capacity.
func (s *Scheduler) removeUnlisted(w *workerState, sent time.Duration, status worker.Status) {
	w.listedAt = s.Now()
	var unlisted map[work.TaskID]*run
	for id, r := range w.runs {
		if r.confirmedAt < sent && r.confirmedAt != 0 && r.listing != w.listings {
			if unlisted == nil {
				unlisted = make(map[work.TaskID]*run)
			}
			unlisted[id] = r
		}
	}
	for _, r := range sortedRuns(unlisted) {
		if status.MoreEnds {
			r.awaitEnd(w.listedAt)
			continue
		}
		s.Log.Write(event.TaskLost, event.Fields{"task": r.task.id().String(), "run": r.number, "worker": w.ID, "reason": "the worker lists neither the run nor its end"})
		s.removeRun(r, "the worker lists neither the run nor its end")
	}
	for id, number := range w.orphans {
		if !slices.ContainsFunc(status.Running, func(live worker.Run) bool { return live.Task == id && live.Run == number }) {
			delete(w.orphans, id)
		}
	}
}

// acknowledgeAll allows the workers to discard the ends whose changes are stored.
func (s *Scheduler) acknowledgeAll() {
	for _, w := range s.workers {
		if len(w.ends) > 0 {
			s.acknowledgeEnds(w)
		}
	}
}

func (s *Scheduler) acknowledgeEnds(w *workerState) {
	pending, stored := len(w.ends), 0
	for stored < pending && (w.ends[stored].job == nil || w.ends[stored].job.storedChange >= w.ends[stored].change) {
		w.acked = w.ends[stored].number
		stored++
	}
	w.ends = slices.Delete(w.ends, 0, stored)
	if pending > 0 && len(w.ends) == 0 && !w.renewing {
		s.renew(w)
	}
}

// checkWorkers removes the runs of workers whose lease has expired, removes idle workers without a
// registration, and renews the leases that are due for renewal.
func (s *Scheduler) checkWorkers(now time.Duration) {
	for _, w := range s.workers {
		w.startUnsettled = w.hasUnsettledStart(now)
		s.recordLeaseEnd(w, now)
		switch {
		case w.leaseExpiry != 0 && now > w.leaseExpiry:
			s.expireWorkerLease(w)
		case !w.registered && !w.inUse() && (w.fenced || w.leaseExpiry == 0):
			s.removeWorker(w, "its registration was removed and nothing runs on it")
		case !w.renewing && !w.renewalPlanned && (len(w.runs) > 0 || now-w.renewedAt > idleRenewInterval || !w.fenced):
			s.renew(w)
		}
	}
}

// expireWorkerLease removes the runs of a worker whose lease has expired, because none of them can still be in progress.
// A start order that had no response may be carried out later, if the worker has got another lease by then.
func (s *Scheduler) expireWorkerLease(w *workerState) {
	for _, j := range s.recordSilentCrash(w) {
		defer s.checkAttempts(j)
	}
	for _, r := range sortedRuns(w.runs) {
		s.recordLateStart(r)
		s.removeRun(r, "worker lease expired")
	}
	clear(w.orphans)
	delete(s.unheard, w.ID)
	w.moreEnds = false
	w.leaseExpiry = 0
	if w.unresponsiveSince == 0 {
		s.stopLateStarts(w)
	}
	if !w.registered && !w.inUse() {
		s.removeWorker(w, "its lease has expired and its registration was removed")
	}
}
