package schedule

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

const (
	// workerLease is the duration of a worker's lease. It exceeds the time of a leader change and of a store outage of
	// a few seconds. Tasks of a lost worker start elsewhere only after it has expired.
	workerLease = 6 * time.Second
	// renewWait is how long a worker with runs holds a renewal request open for a run to end.
	renewWait = 1200 * time.Millisecond
	// renewTimeoutMargin is added to that wait for the timeout of the request.
	renewTimeoutMargin = 350 * time.Millisecond
	// minRenewInterval is the minimum interval between renewals of a worker's lease.
	minRenewInterval = 12 * time.Millisecond
	// renewRetry is the interval between renewals of a worker that is unresponsive, or whose ends can't be stored yet.
	renewRetry = 250 * time.Millisecond
	// idleRenewInterval is the interval between renewals of an idle worker.
	idleRenewInterval = 20 * time.Second
)

// host is a worker as the scheduler sees it: its registration, its lease and the runs on it.
type host struct {
	worker.Registration
	pool *pool
	// firstRegistered is when this leader first read the worker's registration, 0 for one that is only known from the
	// roster.
	firstRegistered time.Duration
	// registered is set while the store holds the worker's registration.
	registered bool
	// rostered is set once the ledger's roster lists the worker as one that may run tasks, rostering while that is
	// being written.
	rostered, rostering bool
	// rosterRows holds the keys and versions of the worker's roster rows.
	rosterRows []table.Condition
	// fenced is set once the worker has accepted this epoch, after which it refuses orders of earlier leaders.
	fenced  bool
	removed bool
	// unresponsiveSince is when the worker stopped responding, 0 while it responds.
	unresponsiveSince time.Duration
	// avoidUntil is the time until which the worker gets no tasks, because its tasks fail or stall or its maintenance
	// is due.
	avoidUntil time.Duration
	failures   failureHistory
	// reclaimedUntil is the time until which the worker gets no tasks, because its instance is wanted in another pool.
	reclaimedUntil time.Duration

	// clockValue is the worker's clock at the time clockReadAt by the scheduler's clock.
	clockValue, clockReadAt time.Duration
	// leaseExpiry is when everything on the worker is certain to have ended, unless the lease is extended.
	leaseExpiry time.Duration

	runs map[work.TaskID]*run
	// orphans holds runs, by task, that no open job needs and that are being stopped. Their size is unknown, so a
	// worker with orphans gets no tasks.
	orphans map[work.TaskID]int64
	used    work.Size
	// perStep counts the worker's runs of each step.
	perStep map[*stepState]int

	renewing       bool
	renewalPlanned bool
	renewedAt      time.Duration
	// acked is the number of the last end that the worker may discard; ends holds the later ones in order.
	acked   int64
	ends    []pendingEnd
	lastEnd int64
	// orderPending is set while an order that ends the worker may be in flight to its instance.
	orderPending bool
	idleSince    time.Duration
}

// pendingEnd is an end that the worker must keep until the change that follows from it is stored.
type pendingEnd struct {
	number int64
	job    *job
	change uint64
}

func (h *host) target() worker.Target { return worker.Target{ID: h.ID, Address: h.Address} }

// free returns the worker's unreserved capacity.
func (h *host) free() work.Size { return h.Room.Minus(h.used) }

// extendLease returns the end, on the worker's clock, of a lease that begins now, or 0 if its clock is unknown. It
// advances leaseExpiry, which allows for a slow clock, for orderLatency and for 5 % of the age of the clock reading.
func (s *Scheduler) extendLease(h *host) time.Duration {
	if h.clockReadAt == 0 {
		return 0
	}
	now := s.Now()
	duration := min(workerLease, s.Bounds.LeaseMax)
	h.leaseExpiry = max(h.leaseExpiry, now+time.Duration(float64(duration)/(1-maxClockDrift))+orderLatency+(now-h.clockReadAt)/20)
	return h.clockValue + (now - h.clockReadAt) + duration
}

// recordClock records the worker's clock from a response.
func (s *Scheduler) recordClock(h *host, reply worker.Reply) {
	if reply.Clock > 0 {
		h.clockValue, h.clockReadAt = reply.Clock, s.Now()
	}
}

// host returns the state of the registered worker, which it creates if necessary.
func (s *Scheduler) host(r worker.Registration) *host {
	h := s.workers[r.ID]
	if h == nil {
		h = &host{
			Registration: r, runs: make(map[work.TaskID]*run), orphans: make(map[work.TaskID]int64),
			perStep: make(map[*stepState]int), idleSince: s.Now(),
		}
		s.workers[r.ID] = h
	}
	return h
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
		r, err := s.Wire.Registration(row)
		if err != nil {
			s.Log.Write(event.RowUnreadable, event.Fields{"table": row.Table, "key": row.Name, "version": row.Version, "reason": err.Error()})
			s.unregister(row.Name)
			continue
		}
		s.register(r)
	}
	if complete {
		for id, h := range s.workers {
			if h.registered && !listed[id] {
				s.unregister(id)
			}
		}
	}
	s.schedulePlan()
}

// unregister records that the worker's registration is gone. It gets no new tasks; its runs may finish.
func (s *Scheduler) unregister(id string) {
	h := s.workers[id]
	if h == nil || !h.registered {
		return
	}
	h.registered = false
	if len(h.runs)+len(h.orphans) == 0 && h.fenced {
		s.removeWorker(h, "its registration was removed and nothing runs on it")
	}
}

func (s *Scheduler) register(r worker.Registration) {
	h := s.workers[r.ID]
	known := h != nil && h.registered
	h = s.host(r)
	if h.Address != r.Address && h.Address != "" {
		s.Workers.Forget(h.Address)
	}
	startedDraining := r.Draining && (!known || !h.Draining)
	h.Registration = r
	h.registered = true
	if h.firstRegistered == 0 {
		h.firstRegistered = s.Now()
	}
	if h.clockReadAt == 0 && r.Clock > 0 {
		h.clockValue = r.Clock
	}
	s.setHostPool(h)
	if !known {
		s.Log.Write(event.WorkerSeen, event.Fields{"worker": h.ID, "address": h.Address, "pool": h.Pool, "data_centre": h.DataCentre, "rack": h.Rack, "instance": h.Instance})
	}
	s.updateWorkerOf(h)
	if startedDraining {
		s.Log.Write(event.WorkerDraining, event.Fields{"worker": h.ID, "remaining_ms": h.Remaining.Milliseconds()})
		s.evictAllLasting(h)
	}
	s.roster(h)
	if !h.fenced && !h.renewing {
		s.renew(h)
	}
}

// updateWorkerOf sets the latest worker of an instance. A new registration does not prove that the previous worker has
// ended, since it may reach the store late; only the instance list does.
func (s *Scheduler) updateWorkerOf(h *host) {
	if h.Instance == "" {
		return
	}
	previous := s.workerOf[h.Instance]
	if previous == h || previous != nil && s.fleet.instances[h.Instance].Worker == previous.ID {
		return
	}
	s.workerOf[h.Instance] = h
	delete(s.fleet.incoming, h.Instance)
}

func (s *Scheduler) setHostPool(h *host) {
	p := s.pool(h.Pool)
	if h.pool == p {
		return
	}
	if h.pool != nil {
		delete(h.pool.hosts, h)
	}
	h.pool = p
	p.hosts[h] = true
}

// roster adds the worker to the ledger's roster, which must be stored before the first task starts there.
func (s *Scheduler) roster(h *host) {
	if h.rostered || h.rostering {
		return
	}
	h.rostering = true
	s.ledger.writeRow(table.Write{
		Key:   ledger.RosterKey(h.ID),
		Value: ledger.Encode(ledger.RosterEntry{Instance: h.Instance, Address: h.Address, DataCentre: h.DataCentre}),
	}, func(partition string, version uint64) {
		h.rostered, h.rostering = true, false
		h.rosterRows = append(h.rosterRows, table.Condition{Key: ledger.In(partition, ledger.RosterKey(h.ID)), Version: version})
		s.schedulePlan()
	})
}

// removeWorker removes a worker that has ended, with all of its runs.
func (s *Scheduler) removeWorker(h *host, reason string) {
	if h.removed {
		return
	}
	h.removed = true
	s.Log.Write(event.WorkerGone, event.Fields{"worker": h.ID, "reason": reason, "runs": len(h.runs)})
	for _, r := range sortedRuns(h.runs) {
		s.removeRun(r, "worker has ended")
	}
	clear(h.orphans)
	h.ends = nil
	if h.pool != nil {
		delete(h.pool.hosts, h)
	}
	if s.workerOf[h.Instance] == h {
		delete(s.workerOf, h.Instance)
	}
	delete(s.unfenced, h.ID)
	s.ledger.removeRows(h.rosterRows)
	s.Workers.Forget(h.Address)
	delete(s.workers, h.ID)
	s.schedulePlan()
}

// usable reports whether the worker may get tasks.
func (s *Scheduler) usable(h *host, now time.Duration) bool {
	return now >= h.reclaimedUntil && s.healthy(h, now)
}

// healthy reports whether the worker may get tasks, apart from being reclaimed.
func (s *Scheduler) healthy(h *host, now time.Duration) bool {
	return h.registered && h.fenced && h.rostered && !h.removed && !h.Draining && !h.orderPending && h.unresponsiveSince == 0 &&
		len(h.orphans) == 0 && now >= h.avoidUntil
}
