package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// ackFreshness is the age of a worker's last list of runs up to which ends are acknowledged, so that a boot that began since then
// can't have ended a run: its ends have low numbers too, and it would discard them.
const ackFreshness = 500 * time.Millisecond

// minClockSetback is the difference by which a worker's clock must lag behind what it showed before to hint at another boot.
const minClockSetback = time.Second

// bootCauseTime is the time between the restarts of workers that may have a common cause: a series of them takes longer than a loss
// of power.
const bootCauseTime = 2 * time.Second

// recentBoot is a restart of a worker that became known at a time, with the tasks of the runs that it ended.
type recentBoot struct {
	worker string
	at     time.Duration
	tasks  map[*task]bool
}

// endedBoot is a boot of a worker whose runs have not been settled.
type endedBoot struct {
	worker.Boot
	// aliveAt is the latest time at which the boot is known to have been alive.
	aliveAt time.Duration
	// left is set if the boot may have ended by an order to its instance or because it was draining.
	left bool
}

// unansweredStart is a start order without a response, which may be carried out later.
type unansweredStart struct {
	run int64
	// until is the time from which it isn't carried out any more.
	until time.Duration
}

// checkBoot notes which boot of the worker has sent a list of its runs. Lists are requested one after the other, so that another
// boot in a later list is the later one, whatever the time of day on the worker was at its start. Only lists end a boot: they show
// at the same time what runs there now.
func (s *Scheduler) checkBoot(w *workerState, reply worker.Reply) {
	if reply.Refusal == worker.OtherBoot {
		return
	}
	heard := worker.Boot{ID: w.ID, Started: reply.Started}
	d := s.doubts[w.ID]
	if d != nil && d.boot.IsOther(heard) {
		s.resolveDoubt(w.ID, true)
	}
	w.bootDoubted = false
	switch {
	case heard.Started == 0:
	case w.boot.IsOther(heard):
		s.beginBoot(w, heard)
	default:
		w.boot = heard
	}
}

// beginBoot records that the worker has booted again. What ran before is settled with the next complete list; what is known of the
// instance, such as failures there, is kept.
func (s *Scheduler) beginBoot(w *workerState, boot worker.Boot) {
	now := s.Now()
	left := s.mayHaveLeft(w)
	s.Log.Write(event.WorkerRestarted, event.Fields{
		"worker": w.ID, "instance": w.Instance, "pool": w.Pool, "started": boot.Started, "previous_started": w.boot.Started, "runs": len(w.runs),
		"ends_not_stored": len(w.ends), "alive_ms": (now - w.aliveAt).Milliseconds(), "left": left,
	})
	if w.endedBoot == nil {
		w.endedBoot = &endedBoot{Boot: w.boot, aliveAt: w.aliveAt, left: left}
	}
	w.boot = boot
	w.acked, w.ackedThere, w.lastEnd, w.moreEnds, w.ends = 0, 0, 0, false, nil
	clear(w.orphans)
	w.clockValue, w.clockReadAt = 0, 0
	if w.leaseExpiry > now {
		// An order with a time of the earlier boot's clock may have given this one the longest lease.
		w.leaseExpiry = max(w.leaseExpiry, now+time.Duration(float64(s.Bounds.LeaseMax)/(1-maxClockDrift))+orderLatency)
	}
	w.firstRegistered = now
	s.fleet.registeredAt[w.Instance] = now
}

// settleEndedBoot ends the runs of the worker's earlier boot that a complete list, requested at the time sent, lacks. It handles
// them as after a crash. A start without a response may still be carried out by the present boot, so its run stays until that has
// accepted its stop; one that was confirmed after the request is shown by the next list.
func (s *Scheduler) settleEndedBoot(w *workerState, sent time.Duration) {
	ended := w.endedBoot
	w.endedBoot = nil
	gone := make(map[work.TaskID]*run)
	for id, r := range w.runs {
		if r.listing != w.listings && r.confirmedAt < sent {
			gone[id] = r
		}
	}
	runs := sortedRuns(gone)
	var jobs []*job
	if !ended.left {
		jobs = s.recordBootCrash(w, ended, runs)
	}
	for _, r := range runs {
		s.Log.WriteFunc(event.RestartLostTask, func() event.Fields {
			return event.Fields{"task": r.task.id().String(), "run": r.number, "worker": w.ID, "started": ended.Started, "in_doubt": r.confirmedAt == 0}
		})
		if r.confirmedAt == 0 {
			s.stop(r, "its worker has booted again")
			s.stopGang(r.task)
			continue
		}
		s.removeRun(r, "its worker has booted again")
	}
	s.expectLateStarts(w)
	s.stopLateStarts(w)
	for _, j := range jobs {
		s.checkAttempts(j)
	}
	s.ledger.flush()
}

// recordBootCrash records a crash of the worker's earlier boot under the runs and returns their jobs.
func (s *Scheduler) recordBootCrash(w *workerState, ended *endedBoot, runs []*run) []*job {
	aliveAt := w.aliveAt
	w.aliveAt = ended.aliveAt
	defer func() { w.aliveAt = aliveAt }()
	now := s.Now()
	s.recentBoots = slices.DeleteFunc(s.recentBoots, func(b recentBoot) bool { return now-b.at > bootCauseTime })
	jobs := s.recordCrashUnder(w, ended.Boot, runs, "the worker has booted again", false)
	boot := recentBoot{worker: w.ID, at: now, tasks: make(map[*task]bool)}
	for _, r := range runs {
		boot.tasks[r.task] = true
		r.task.noteCrashOn(w.Instance)
	}
	s.recentBoots = append(s.recentBoots, boot)
	return jobs
}

// mayBeOneOfSeries reports whether the run's worker may have crashed for the same reason as others that booted again lately without
// its task, or as an earlier worker of its instance.
func (s *Scheduler) mayBeOneOfSeries(r *run) bool {
	now := s.Now()
	return r.task.crashedOn[r.worker.Instance] || slices.ContainsFunc(s.recentBoots, func(b recentBoot) bool {
		return b.worker != r.worker.ID && !b.tasks[r.task] && now-b.at <= bootCauseTime
	})
}

// noteCrashOn records that the instance's worker has booted again under the task. If it does so a second time the instance may be
// the cause, which is up again at once.
func (t *task) noteCrashOn(instance string) {
	if t.crashedOn == nil {
		t.crashedOn = make(map[string]bool)
	}
	t.crashedOn[instance] = true
}

// noteUnanswered records that a start order of the run has had no response, as far as its worker may boot again under its ID. The
// next boot may carry it out, also if this one has accepted a repeat or a stop of it.
func (s *Scheduler) noteUnanswered(r *run) {
	id, task := r.worker.ID, r.task.id()
	if r.worker.boot.Started == 0 {
		return
	}
	starts := s.unanswered[id]
	if starts == nil {
		starts = make(map[work.TaskID]unansweredStart)
		s.unanswered[id] = starts
	}
	starts[task] = unansweredStart{run: max(r.number, starts[task].run), until: s.Now() + lateOrderTime}
	s.after(lateOrderTime, func() {
		if s.Now() >= starts[task].until {
			delete(starts, task)
		}
		if len(starts) == 0 && len(s.unanswered[id]) == 0 {
			delete(s.unanswered, id)
		}
	})
}

// expectLateStarts records that the worker's present boot may carry out the start orders that an earlier one didn't answer, but for
// those whose run is still recorded.
func (s *Scheduler) expectLateStarts(w *workerState) {
	expected := 0
	for id, start := range s.unanswered[w.ID] {
		r := w.runs[id]
		if r == nil || r.number < start.run {
			s.addLateStart(w.ID, id, start.run)
			expected++
		}
	}
	if expected > 0 {
		s.Log.Write(event.LateStartsPossible, event.Fields{"worker": w.ID, "started": w.boot.Started, "starts": expected})
	}
}

// hintsAtBoot reports whether a response hints that it is of another boot than the worker's last list: by its start, or by a clock
// that is behind.
func (w *workerState) hintsAtBoot(reply worker.Reply, now time.Duration) bool {
	switch {
	case w.boot.Started == 0 || reply.Refusal == worker.OtherBoot:
		return false
	case w.boot.IsOther(worker.Boot{ID: w.ID, Started: reply.Started}):
		return true
	}
	return reply.Clock > 0 && w.clockReadAt != 0 && reply.Clock+minClockSetback < w.clockValue+time.Duration(float64(now-w.clockReadAt)*(1-maxClockDrift))
}

// doubtBoot makes the worker's next renewal show which boot it is of before anything else is ordered there. One that an earlier
// boot may be holding open is given up.
func (s *Scheduler) doubtBoot(w *workerState) {
	if w.renewing && !w.bootDoubted {
		w.renewing = false
		w.renewals++
	}
	w.bootDoubted = true
	s.scheduleRenewal(w, 0)
}

// acknowledgement returns the number of the last end that the worker may discard by a renewal that is sent now. Where a worker may
// boot again under its ID it is only sent if the worker doesn't know it yet, and just after a list that shows the same boot.
func (w *workerState) acknowledgement(now time.Duration) int64 {
	if w.boot.Started == 0 {
		return w.acked
	}
	if w.acked == w.ackedThere || w.renewalFailed || w.bootDoubted || now-w.heardAt > ackFreshness {
		return 0
	}
	return w.acked
}

// recordAcknowledged records that the worker has got an acknowledgement, if it is still of the same boot.
func (w *workerState) recordAcknowledged(number int64) {
	if number <= w.acked {
		w.ackedThere = max(w.ackedThere, number)
	}
}

// awaitsAcknowledgement reports whether the worker keeps ends that it may discard.
func (w *workerState) awaitsAcknowledgement() bool {
	return w.boot.Started != 0 && w.acked > w.ackedThere
}

// isBootSettled reports whether no run of an earlier boot of the worker is left and nothing hints at a later one.
func (w *workerState) isBootSettled() bool { return w.endedBoot == nil && !w.bootDoubted }

// isOutdated reports whether the registration is of an earlier boot than the one that responds. The row may have been written late.
// If no boot responds the registration holds, whatever its start: the time of day on the worker may have been set back.
func (s *Scheduler) isOutdated(r worker.Registration) bool {
	w := s.workers[r.ID]
	if w == nil || !w.fenced || w.unresponsiveSince != 0 || !r.Boot().IsBefore(w.boot) {
		return false
	}
	s.Log.Write(event.RegistrationOutdated, event.Fields{"worker": r.ID, "started": r.Started, "present_started": w.boot.Started, "sequence": r.Sequence})
	s.doubtBoot(w)
	return true
}
