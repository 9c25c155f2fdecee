package schedule

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/table"
)

const (
	// returnGrace is the time beyond Bounds.MaintenanceTime after which an instance no longer counts as down.
	returnGrace = 4 * time.Second
	// waveTimeFactor is the safety factor on the estimated duration of the rest of a wave.
	waveTimeFactor = 1.8
	// waveDeadlineMargin is subtracted from a wave's deadline.
	waveDeadlineMargin = 2 * time.Second
)

// waveState is the state of all maintenance waves: the known waves and the progress that leaders have stored in the
// ledger, both by number, and the waves that the operator has requested.
type waveState struct {
	waves     map[int64]*wave
	progress  map[int64]ledger.WaveProgress
	requested []provider.Wave
}

func (w *waveState) init() {
	w.waves = make(map[int64]*wave)
	w.progress = make(map[int64]ledger.WaveProgress)
}

func (w *waveState) loadProgress(progress map[int64]ledger.WaveProgress) { w.progress = progress }

// wave is a maintenance wave in progress.
type wave struct {
	provider.Wave
	progress ledger.WaveProgress
	// seenAt is when a leader first saw the wave, by the scheduler's clock.
	seenAt time.Duration
	// down holds, by instance, until when an instance that is down for the wave counts as down.
	down map[string]time.Duration
	// ordering holds the instances with a maintenance order in flight.
	ordering map[string]bool
	// cordoned holds the instances that get no new tasks until their maintenance starts.
	cordoned map[string]bool
	// blocked holds the pending instances that can't become idle for their maintenance, with the reason.
	blocked map[string]*blockage
	// late is the instance that is to become idle, from lateFrom on, although its tasks end after the wave's deadline.
	late      string
	lateFrom  time.Duration
	reported  bool
	completed bool
}

// SetWaves sets the waves that the operator has requested. They start once their stored progress has been loaded.
func (s *Scheduler) SetWaves(all []provider.Wave) {
	s.waves.requested = all
	if s.ready {
		s.addWaves()
	}
}

func (s *Scheduler) addWaves() {
	for _, requested := range s.waves.requested {
		if s.waves.waves[requested.Number] != nil {
			continue
		}
		w := &wave{
			Wave: requested, progress: s.waves.progress[requested.Number], seenAt: s.Now(), down: make(map[string]time.Duration),
			ordering: make(map[string]bool), cordoned: make(map[string]bool), blocked: make(map[string]*blockage),
		}
		if w.progress.FirstSeenMillis == 0 {
			w.progress.FirstSeenMillis = s.Wall().Milliseconds()
		}
		w.seenAt -= max(0, s.Wall()-time.Duration(w.progress.FirstSeenMillis)*time.Millisecond)
		s.waves.waves[requested.Number] = w
		s.Log.Write(event.WaveSeen, event.Fields{"wave": w.Number, "instances": len(w.Instances), "seconds": w.DeadlineSeconds, "at_once": w.MaxConcurrent})
	}
}

// maintenanceDue reports whether the instance is part of a wave and its maintenance has not started.
func (s *Scheduler) maintenanceDue(instance string) bool {
	for _, w := range s.waves.waves {
		if !w.completed && slices.Contains(w.Instances, instance) && !slices.Contains(w.progress.Started, instance) {
			return true
		}
	}
	return false
}

// advanceWaves continues all waves that are not completed.
func (s *Scheduler) advanceWaves(now time.Duration) {
	if s.Provider == nil || s.Config == nil || s.fleet.listedAt == 0 {
		return
	}
	for _, w := range s.sortedWaves() {
		if !w.completed {
			s.advanceWave(w, now)
		}
	}
	s.Metrics.setBlocked(s.waves.blockedInstances())
}

func (s *Scheduler) sortedWaves() []*wave {
	all := make([]*wave, 0, len(s.waves.waves))
	for _, w := range s.waves.waves {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *wave) int { return int(a.Number - b.Number) })
	return all
}

func (s *Scheduler) advanceWave(w *wave, now time.Duration) {
	if w.progress.Completed {
		w.completed = true
		return
	}
	if !w.reported {
		w.reported = true
		s.reportWave(w, false)
		s.storeWaveProgress(w)
	}
	s.updateDown(w, now)
	if s.Epoch > 1 && now < s.began+listLag {
		// Orders of the previous leader may not show in the instance list yet.
		return
	}
	pending := w.pending(s)
	if len(pending) == 0 && len(w.ordering) == 0 {
		s.completeWave(w, now)
		return
	}
	if s.listFails() {
		// Workers get tasks until the list shows whether their maintenance can start.
		return
	}
	s.updateBlocked(w, pending, now)
	behind := s.behindSchedule(w, len(pending), now)
	concurrency := s.evictionConcurrency(w, pending, now)
	if s.fleet.scarce && !behind && concurrency <= minEvictionConcurrency {
		// Pools are short of instances and the wave has time to wait.
		return
	}
	for _, id := range pending {
		if len(w.down)+len(w.ordering) >= w.MaxConcurrent {
			break
		}
		if s.readyForMaintenance(id, behind, now) {
			s.startMaintenance(w, id, now)
		}
	}
	if s.acceptsOrders(now) {
		s.cordon(w, pending, concurrency, behind)
	}
}

// timeToDeadline returns the time until the wave's deadline, less waveDeadlineMargin.
func (w *wave) timeToDeadline(now time.Duration) time.Duration {
	return time.Duration(w.DeadlineSeconds*float64(time.Second)) - (now - w.seenAt) - waveDeadlineMargin
}

// evictionConcurrency returns the number of workers from which long-running tasks are evicted in parallel, so that the
// rest of the wave meets its deadline.
func (s *Scheduler) evictionConcurrency(w *wave, pending []string, now time.Duration) int {
	longRunning := 0
	for _, id := range pending {
		worker := s.workerOf[id]
		if worker != nil && worker.hasLongRunningTask() {
			longRunning++
		}
	}
	remaining := max(time.Second, w.timeToDeadline(now))
	return max(minEvictionConcurrency, int(math.Ceil(float64(longRunning)*waveTimeFactor*evictionTime.Seconds()/remaining.Seconds())))
}

// behindSchedule reports whether the rest of the wave may need all of the time until its deadline.
func (s *Scheduler) behindSchedule(w *wave, pending int, now time.Duration) bool {
	perInstance := s.Bounds.MaintenanceTime.Seconds() + 1
	needed := math.Ceil(float64(pending)/float64(max(1, w.MaxConcurrent))) * perInstance * waveTimeFactor
	return needed >= w.timeToDeadline(now).Seconds()
}

// updateDown updates the set of instances that are down for the wave, including those ordered down by earlier leaders.
func (s *Scheduler) updateDown(w *wave, now time.Duration) {
	for id, until := range w.down {
		i := s.fleet.instances[id]
		if now > until || i.State == provider.Up && now > until-returnGrace && s.workerOf[id] != nil {
			delete(w.down, id)
		}
	}
	for _, id := range w.Instances {
		_, known := w.down[id]
		if !known && s.fleet.instances[id].State == provider.Maintenance {
			w.down[id] = now + s.Bounds.MaintenanceTime + returnGrace
		}
	}
}

// pending returns the listed instances whose maintenance has not started, in ascending order of evictionWeight.
func (w *wave) pending(s *Scheduler) []string {
	var ids []string
	for _, id := range w.Instances {
		_, listed := s.fleet.instances[id]
		if listed && !slices.Contains(w.progress.Started, id) && !w.ordering[id] {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		weightA, weightB := s.evictionWeight(a), s.evictionWeight(b)
		if weightA != weightB {
			return weightA - weightB
		}
		return strings.Compare(a, b)
	})
	return ids
}

// allStarted reports whether the maintenance of all instances has started that aren't gone.
func (w *wave) allStarted(s *Scheduler) bool {
	return !slices.ContainsFunc(w.Instances, func(id string) bool {
		return !slices.Contains(w.progress.Started, id) && !s.fleet.isGone(id)
	})
}

// evictionWeight returns the number of runs on the instance; runs of long-running tasks count more because evicting
// them takes longer.
func (s *Scheduler) evictionWeight(instance string) int {
	worker := s.workerOf[instance]
	if worker == nil {
		return 0
	}
	n := 0
	for _, r := range worker.runs {
		n++
		if r.task.step.spec.LongRunning {
			n += longRunningWeight
		}
	}
	return n
}

// longRunningWeight is added in evictionWeight for each run of a long-running task.
const longRunningWeight = 20

func (s *Scheduler) readyForMaintenance(id string, behind bool, now time.Duration) bool {
	rateShare := maintenanceRateShare
	if behind {
		rateShare = 1
	}
	i := s.fleet.instances[id]
	worker := s.workerOf[id]
	_, incoming := s.fleet.incoming[id]
	if i.State != provider.Up || incoming || !s.mayOrder(id, rateShare, now) {
		return false
	}
	return s.knownIdle(i, worker, now) && (worker == nil || !worker.orderPending)
}

// knownIdle reports whether the instance is certain to run nothing and to have no ends to store. That is unknown for a
// worker that is unresponsive or has not accepted this epoch, and for a listed one that isn't known, until its lease has
// certainly expired.
func (s *Scheduler) knownIdle(i provider.Instance, worker *workerState, now time.Duration) bool {
	switch {
	case worker == nil && (s.Config.Pools[i.Pool].Spare || i.Worker == ""):
		return true
	case worker != nil && worker.inUse():
		return false
	case worker != nil && worker.fenced && worker.unresponsiveSince == 0:
		return true
	}
	return s.leaseExpired(i, worker, now)
}

// leaseExpired reports whether all leases on the instance have expired: its listed worker has been unresponsive or
// unknown for longer than any lease, and no other worker has registered there since.
func (s *Scheduler) leaseExpired(i provider.Instance, worker *workerState, now time.Duration) bool {
	since, unknown := s.fleet.unknownSince[i.ID]
	if worker != nil {
		since, unknown = worker.unresponsiveSince, worker.ID == i.Worker && worker.unresponsiveSince != 0 && now > worker.leaseExpiry
	}
	return unknown && now-max(since, s.fleet.registeredAt[i.ID]) > s.maxLeaseTime()
}

// startMaintenance orders an instance to start its maintenance.
func (s *Scheduler) startMaintenance(w *wave, id string, now time.Duration) {
	s.recordOrder(id, now)
	w.ordering[id] = true
	worker := s.workerOf[id]
	if worker != nil {
		worker.orderPending = true
	}
	fence := s.fence()
	call(s, providerTimeout, func(ctx context.Context) (provider.Refusal, error) {
		if !s.LeaseValid() {
			return provider.Accepted, fault.New(fault.NotReady, "order not sent: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		return s.Provider.Maintain(ctx, id, w.Number, fence)
	}, func(refusal provider.Refusal, err error) {
		delete(w.ordering, id)
		s.handleOrderFailure(id, worker, "maintenance", refusal, err)
		if err != nil && fault.As(err).Outcome() != fault.NotRun || err == nil && refusal == provider.Accepted {
			// If the outcome is unknown, the instance may have gone down, so it counts towards the wave's limit.
			w.down[id] = s.Now() + s.Bounds.MaintenanceTime + returnGrace
		}
		if err != nil || refusal != provider.Accepted {
			if refusal == provider.OtherWave || refusal == provider.Unsuitable {
				s.recordMaintenanceStarted(w, id)
			}
			return
		}
		s.Log.Write(event.InstanceMaintained, event.Fields{"instance": id, "wave": w.Number, "outcome": "accepted"})
		s.recordMaintenanceStarted(w, id)
		s.endWorkerOf(id, worker, "instance is down for maintenance")
	})
}

// recordMaintenanceStarted records that the wave is done with the instance: its maintenance has started in this or
// another wave, or the instance is unsuitable for it.
func (s *Scheduler) recordMaintenanceStarted(w *wave, id string) {
	w.progress.Started = append(w.progress.Started, id)
	s.storeWaveProgress(w)
}

// storeWaveProgress stores the wave's progress in the ledger.
func (s *Scheduler) storeWaveProgress(w *wave) {
	progress := w.progress
	progress.Started = slices.Clone(w.progress.Started)
	s.waves.progress[w.Number] = progress
	s.ledger.writeRow(waveProgressWrite(w.Number, progress), nil)
}

// completeWave completes the wave, unless an instance that isn't listed may come back.
func (s *Scheduler) completeWave(w *wave, now time.Duration) {
	if !w.allStarted(s) {
		return
	}
	w.completed = true
	w.progress.Completed = true
	s.storeWaveProgress(w)
	s.reportWave(w, true)
	s.Log.Write(event.WaveCompleted, event.Fields{"wave": w.Number, "took_ms": (now - w.seenAt).Milliseconds()})
}

// reportWave writes the wave's status for the operator, and retries until it is stored.
func (s *Scheduler) reportWave(w *wave, completed bool) {
	write := s.Rows.WaveStatus(w.Number, completed)
	txn := table.Txn{Writes: []table.Write{write}}
	if !completed {
		// A first report that takes effect late must not replace the final one.
		txn.Conditions = []table.Condition{{Key: write.Key}}
	}
	call(s, callTimeout, func(ctx context.Context) (table.Result, error) {
		if !s.LeaseValid() {
			return table.Result{}, fault.New(fault.NotReady, "wave status not written: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		return s.Store.Commit(ctx, txn)
	}, func(_ table.Result, err error) {
		if err != nil && !fault.IsKind(err, fault.Conflict) && (completed || !w.completed) {
			s.after(statusRetry, func() { s.reportWave(w, completed) })
		}
	})
}

// statusRetry is the delay before a failed status report is retried.
const statusRetry = 300 * time.Millisecond
