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
	// leaseLength is a worker's lease: it outlasts the change of the leader and a store that is away for a few
	// seconds, and a lost worker's tasks start elsewhere after it.
	leaseLength = 6 * time.Second
	// renewWait is how long a worker that runs tasks waits for an end before it answers.
	renewWait = 1200 * time.Millisecond
	// renewSlack is how much longer than its own wait a worker's answer may take.
	renewSlack = 350 * time.Millisecond
	// renewGap is the least time between two looks at a worker.
	renewGap = 12 * time.Millisecond
	// renewRetry is the time between two looks at a worker that does not answer, or whose ends can't be stored.
	renewRetry = 250 * time.Millisecond
	// idleRenew is the time between looks at a worker that runs nothing.
	idleRenew = 20 * time.Second
)

// host is a worker with what runs on it.
type host struct {
	worker.Registration
	pool *pool
	// seen is when this leader first saw a registration of the worker, 0 for one that it knows from the roster only.
	seen time.Duration
	// registered reports that the store holds the worker's registration.
	registered bool
	// rostered reports that the store says that the worker may run tasks, rostering that this is being written.
	rostered, rostering bool
	// rosterRows holds where the worker's rows lie, with their versions.
	rosterRows []table.Condition
	// fenced reports that the worker knows this epoch, so that earlier leaders can't reach it.
	fenced bool
	gone   bool
	// silent is when the worker stopped answering, 0 while it answers.
	silent time.Duration
	// avoidUntil keeps a worker that fails or stalls its tasks from getting more.
	avoidUntil time.Duration
	blame      blame
	// vacatedUntil keeps tasks off a worker whose instance is wanted in another pool.
	vacatedUntil time.Duration

	// clock is the worker's clock at the time read, by the scheduler's clock.
	clock, read time.Duration
	// lapses is when everything on the worker has surely ended unless the lease is extended again.
	lapses time.Duration

	runs map[work.TaskID]*run
	// strangers holds runs of unknown size that are being stopped; a worker that has some gets no tasks.
	strangers map[work.TaskID]int64
	used      work.Size
	// perStep counts the live runs of each step.
	perStep map[*stepState]int

	renewing bool
	planned  bool
	renewed  time.Duration
	// acked is the last end that the worker may forget; ends holds later ones in order.
	acked int64
	ends  []pendingEnd
	last  int64
	// moving reports that an order to the instance is under way, leaving that one is wanted.
	moving bool
	idleAt time.Duration
}

// pendingEnd is an end that the worker must keep until the job's change is stored.
type pendingEnd struct {
	number int64
	job    *job
	change uint64
}

func (h *host) target() worker.Target { return worker.Target{ID: h.ID, Address: h.Address} }

// free returns the room that is left.
func (h *host) free() work.Size { return h.Capacity.Minus(h.used) }

// leaseEnd returns the end of a lease that begins now, on the worker's clock, 0 if that isn't known.
func (s *Scheduler) leaseEnd(h *host) time.Duration {
	if h.read == 0 {
		return 0
	}
	now := s.Now()
	length := min(leaseLength, s.Bounds.LeaseMax)
	h.lapses = max(h.lapses, now+time.Duration(float64(length)/(1-clockSlack))+leaseSlack+(now-h.read)/20)
	return h.clock + (now - h.read) + length
}

// readClock takes in the worker's clock from an answer.
func (s *Scheduler) readClock(h *host, reply worker.Reply) {
	if reply.Clock > 0 {
		h.clock, h.read = reply.Clock, s.Now()
	}
}

// host returns the worker of a registration, which it adds if it is new.
func (s *Scheduler) host(r worker.Registration) *host {
	h := s.workers[r.ID]
	if h == nil {
		h = &host{
			Registration: r, runs: make(map[work.TaskID]*run), strangers: make(map[work.TaskID]int64),
			perStep: make(map[*stepState]int), idleAt: s.Now(),
		}
		s.workers[r.ID] = h
	}
	return h
}

// applyRegistrations takes in changed registrations, or all of them.
func (s *Scheduler) applyRegistrations(rows []table.Row, whole bool) {
	listed := make(map[string]bool)
	if whole {
		// Of two boots of an instance the later one is taken in last.
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
	if whole {
		for id, h := range s.workers {
			if h.registered && !listed[id] {
				s.unregister(id)
			}
		}
	}
	s.soon()
}

// unregister notes that a worker's registration has gone; it gets no tasks, but those that it has may run on.
func (s *Scheduler) unregister(id string) {
	h := s.workers[id]
	if h == nil || !h.registered {
		return
	}
	h.registered = false
	if len(h.runs)+len(h.strangers) == 0 && h.fenced {
		s.lost(h, "its registration was removed and nothing runs on it")
	}
}

func (s *Scheduler) register(r worker.Registration) {
	h := s.workers[r.ID]
	known := h != nil && h.registered
	h = s.host(r)
	if h.Address != r.Address && h.Address != "" {
		s.Workers.Forget(h.Address)
	}
	drained := r.Draining && (!known || !h.Draining)
	h.Registration = r
	h.registered = true
	if h.seen == 0 {
		h.seen = s.Now()
	}
	if h.read == 0 && r.Clock > 0 {
		h.clock = r.Clock
	}
	s.setHostPool(h)
	if !known {
		s.Log.Write(event.WorkerSeen, event.Fields{"worker": h.ID, "address": h.Address, "pool": h.Pool, "data_centre": h.DataCentre, "rack": h.Rack, "instance": h.Instance})
	}
	s.bootSeen(h)
	if drained {
		s.Log.Write(event.WorkerDraining, event.Fields{"worker": h.ID, "remaining_ms": h.RemainingTime.Milliseconds()})
		s.evacuate(h)
	}
	s.roster(h)
	if !h.fenced && !h.renewing {
		s.renewNow(h)
	}
}

// bootSeen notes which of an instance's workers registered last. That alone doesn't tell that another one has ended:
// a registration may reach the store late, so that only the list of instances does.
func (s *Scheduler) bootSeen(h *host) {
	if h.Instance == "" {
		return
	}
	old := s.byInstance[h.Instance]
	if old == h || old != nil && s.fleet.instances[h.Instance].Worker == old.ID {
		return
	}
	s.byInstance[h.Instance] = h
	delete(s.fleet.coming, h.Instance)
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

// roster has the store say that the worker may run tasks, before the first one starts there.
func (s *Scheduler) roster(h *host) {
	if h.rostered || h.rostering {
		return
	}
	h.rostering = true
	s.ledger.write(table.Write{
		Key:   ledger.RosterKey(h.ID),
		Value: ledger.Encode(ledger.RosterRecord{Instance: h.Instance, Address: h.Address, DataCentre: h.DataCentre}),
	}, func(part string, version uint64) {
		h.rostered, h.rostering = true, false
		h.rosterRows = append(h.rosterRows, table.Condition{Key: ledger.InPartition(part, ledger.RosterKey(h.ID)), Version: version})
		s.soon()
	})
}

// lost notes that a worker has ended, and with it everything that ran on it.
func (s *Scheduler) lost(h *host, reason string) {
	if h.gone {
		return
	}
	h.gone = true
	s.Log.Write(event.WorkerGone, event.Fields{"worker": h.ID, "reason": reason, "runs": len(h.runs)})
	for _, r := range sortedRuns(h.runs) {
		s.removeRun(r, "worker has ended")
	}
	clear(h.strangers)
	h.ends = nil
	if h.pool != nil {
		delete(h.pool.hosts, h)
	}
	if s.byInstance[h.Instance] == h {
		delete(s.byInstance, h.Instance)
	}
	delete(s.unheard, h.ID)
	s.ledger.remove(h.rosterRows)
	s.Workers.Forget(h.Address)
	delete(s.workers, h.ID)
	s.soon()
}

// usable reports whether the worker may get tasks.
func (s *Scheduler) usable(h *host, now time.Duration) bool {
	return now >= h.vacatedUntil && s.sound(h, now)
}

// sound reports whether nothing speaks against the worker itself.
func (s *Scheduler) sound(h *host, now time.Duration) bool {
	return h.registered && h.fenced && h.rostered && !h.gone && !h.Draining && !h.moving && h.silent == 0 &&
		len(h.strangers) == 0 && now >= h.avoidUntil
}
