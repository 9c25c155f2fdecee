package schedule

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/worker"
)

const (
	// takeoverRetry is the delay before a failed takeover step is retried.
	takeoverRetry = 60 * time.Millisecond
	// guardTimeout is the first timeout for raising a guard, which is doubled at each failure up to callTimeout: the response
	// may be lost, and the takeover waits for it.
	guardTimeout = 400 * time.Millisecond
	// maxClockDrift is the maximum relative rate by which a worker's clock may be slow.
	maxClockDrift = 0.02
	// orderLatency is an upper bound on the time for an order to reach a worker.
	orderLatency = 150 * time.Millisecond
)

// takeoverStep runs one step of the takeover outside the control loop, retries it until it succeeds, with twice the timeout
// each time up to callTimeout, and then calls done on the loop.
func takeoverStep[T any](s *Scheduler, name string, timeout time.Duration, work func(context.Context) (T, error), done func(T)) {
	call(s, timeout, work, func(result T, err error) {
		if err == nil {
			done(result)
			return
		}
		s.Log.Write(event.RecoveryStep, event.Fields{"epoch": s.Epoch, "step": name, "outcome": err.Error()})
		s.after(takeoverRetry, func() { takeoverStep(s, name, min(callTimeout, 2*timeout), work, done) })
	})
}

// raiseGuards fences the ledger against writes of earlier leaders, and then loads it. Each partition is fenced by itself,
// so that a failed call is repeated only for its partition.
func (s *Scheduler) raiseGuards() {
	s.guards = make(map[string]uint64)
	s.lastReadyEpoch = s.Epoch - 1
	partitions := ledger.LeaderPartitions()
	for _, partition := range partitions {
		takeoverStep(s, "guard_"+partition, guardTimeout, func(ctx context.Context) (ledger.Guard, error) {
			return ledger.RaiseGuard(ctx, s.Store, partition, s.Epoch)
		}, func(guard ledger.Guard) {
			s.guards[partition] = guard.Version
			if s.minGuard == 0 || guard.Version < s.minGuard {
				s.minGuard = guard.Version
			}
			s.lastReadyEpoch = min(s.lastReadyEpoch, guard.PreviousEpoch)
			if len(s.guards) == len(partitions) {
				s.loadStore()
			}
		})
	}
}

// snapshot is the store's contents at the time of the takeover.
type snapshot struct {
	ledger        ledger.Contents
	registrations table.Page
}

// loadStore reads the store. An attempt continues where the previous one failed, because one timeout may not suffice for
// all rows.
func (s *Scheduler) loadStore() {
	registrations := s.Store.Scan(table.Range{Table: s.Rows.RegistrationTable})
	loader := ledger.NewLoader(s.Store)
	takeoverStep(s, "load", callTimeout, func(ctx context.Context) (snapshot, error) {
		for {
			done, err := registrations.Next(ctx)
			if err != nil {
				return snapshot{}, err
			}
			if done {
				break
			}
		}
		contents, err := loader.Load(ctx)
		return snapshot{ledger: contents, registrations: registrations.Page()}, err
	}, s.takeOver)
}

// takeOver builds the scheduler's state from the snapshot and starts following the store.
func (s *Scheduler) takeOver(contents snapshot) {
	for _, bad := range contents.ledger.Unreadable {
		s.Log.Write(event.RowUnreadable, event.Fields{"table": bad.Table, "key": bad.Name, "version": bad.Version, "reason": bad.Reason})
		if bad.Table == ledger.JobRecords || bad.Table == ledger.Submissions {
			s.unreadable[bad.Name] = true
		}
	}
	s.storeClock.observe(contents.registrations.Now, s.began)
	s.loadRoster(contents)
	s.ready = true
	s.ledger.init(s)
	s.loadJobs(contents.ledger)
	for id, rows := range contents.ledger.Cancels {
		s.addCancelRows(id, rows)
		s.cancelStored(id)
	}
	s.waves.loadProgress(contents.ledger.Waves)
	s.addWaves()
	s.applyRegistrations(contents.registrations.Rows, true)
	s.followStore(contents.registrations.Version)
	s.Log.Write(event.LeaderReady, event.Fields{
		"epoch": s.Epoch, "jobs": len(s.jobs), "workers": len(s.workers), "unheard": len(s.unheard),
		"config": s.Config.VersionOrZero(), "unrouted": len(s.unrouted),
		"took_ms": (s.Now() - s.began).Milliseconds(),
	})
	s.fetchInstances()
	s.sweepEnded(0)
	s.tick()
}

// loadJobs adds the jobs of the ledger. Ended ones whose outcomes have replaced their submissions are read later.
func (s *Scheduler) loadJobs(contents ledger.Contents) {
	if slices.ContainsFunc(contents.Jobs, func(submission ledger.Submission) bool { return submission.Job.Tenant != "" }) {
		// What a tenant is owed depends on the order in which its jobs were accepted.
		slices.SortStableFunc(contents.Jobs, func(a, b ledger.Submission) int { return cmp.Compare(a.Job.Accepted, b.Job.Accepted) })
	}
	for _, submission := range contents.Jobs {
		id := submission.Job.ID
		record, rows := contents.JobRecords[id], contents.JobRecordRows[id]
		delete(contents.JobRecords, id)
		if len(rows) > 0 && !s.unreadable[id] && latestVersion(rows) < submission.Version {
			// The rows are those of an earlier job that is forgotten.
			s.ledger.removeRows(rows)
			record, rows = ledger.JobRecord{}, nil
		}
		s.addSubmission(submission, record, sourceLedger)
		if s.jobs[id] != nil {
			s.jobs[id].rows = rows
		}
	}
	for id, record := range contents.JobRecords {
		rows := contents.JobRecordRows[id]
		switch {
		case record.Outcome != nil:
			s.addOutcome(id, record.Outcome)
			j := s.jobs[id]
			j.rows, j.version = rows, contents.Stubs[id]
			s.ledger.pendingStubs = append(s.ledger.pendingStubs, j)
		case !s.unreadable[id]:
			// The submission is replaced, and this row was left by a write of unknown outcome.
			s.ledger.removeRows(rows)
		}
	}
}

func latestVersion(rows []table.Condition) uint64 {
	latest := uint64(0)
	for _, row := range rows {
		latest = max(latest, row.Version)
	}
	return latest
}

// loadRoster adds the workers that earlier leaders may have started tasks on.
func (s *Scheduler) loadRoster(contents snapshot) {
	for id, record := range contents.ledger.Roster {
		w := s.ensureWorker(worker.Registration{ID: id, Address: record.Address, Instance: record.Instance, DataCentre: record.DataCentre})
		w.rostered, w.rosterRows = true, contents.ledger.RosterRows[id]
		w.leaseExpiry = s.inheritedLeaseEnd(record, contents.registrations.Now)
		s.unheard[id] = w
		if s.workerOf[w.Instance] == nil {
			s.workerOf[w.Instance] = w
		}
		s.renew(w)
	}
}

// followStore polls the tables that workers and other entries write.
func (s *Scheduler) followStore(_ uint64) {
	follow := func(name string, partitions []string, interval time.Duration, deliver func([]table.Row, bool)) {
		f := &table.Follower{
			Store: s.Store, Table: name, Partitions: partitions, PollInterval: interval,
			OnRows:    func(rows []table.Row, complete bool) { s.post(func() { deliver(rows, complete) }) },
			OnError:   func(err error) { s.post(func() { s.recordStoreFailure(name, err) }) },
			OnSuccess: func() { s.post(func() { s.recordStoreResponse(name) }) },
		}
		go f.Run(s.ctx)
	}
	follow(s.Rows.RegistrationTable, []string{""}, registrationPollInterval, s.applyRegistrations)
	follow(ledger.Submissions, ledger.SubmissionPartitions(), jobPollInterval, s.applyJobs)
	follow(ledger.Cancels, ledger.LeaderPartitions(), jobPollInterval, s.applyCancels)
}

const (
	// registrationPollInterval is the minimum interval between polls for changed registrations. A draining worker must
	// be known well within the 2 s after which it accepts no starts.
	registrationPollInterval = 150 * time.Millisecond
	// jobPollInterval is the minimum interval between polls for submissions that no entry has announced. Every accepted
	// job must be known within 3 s, which leaves room for a second poll.
	jobPollInterval = 700 * time.Millisecond
)

// outage is a period in which calls to the store for a table, or to the instance service, fail.
type outage struct{ since time.Duration }

func (s *Scheduler) recordStoreFailure(name string, err error) {
	if fault.IsKind(err, fault.HistoryGone) {
		return
	}
	if s.outages.byTable[name] == nil {
		s.outages.byTable[name] = &outage{since: s.Now()}
		s.Log.Write(event.StoreLost, event.Fields{"table": name, "reason": err.Error()})
	}
}

func (s *Scheduler) recordStoreResponse(name string) {
	o := s.outages.byTable[name]
	if o == nil {
		return
	}
	delete(s.outages.byTable, name)
	s.Log.Write(event.StoreBack, event.Fields{"table": name, "after_ms": (s.Now() - o.since).Milliseconds()})
}

// applyJobs adds submissions that no entry has announced.
func (s *Scheduler) applyJobs(rows []table.Row, _ bool) {
	for _, row := range rows {
		if row.Deleted || s.jobs[row.Name] != nil {
			continue
		}
		submission, err := ledger.DecodeSubmission(row)
		if err != nil {
			s.Log.Write(event.RowUnreadable, event.Fields{"table": row.Table, "key": row.Name, "version": row.Version, "reason": err.Error()})
			continue
		}
		if !submission.Ended {
			s.addSubmission(submission, ledger.JobRecord{}, "store")
		}
	}
	s.schedulePlan()
}

// applyCancels applies cancels that other entries stored.
func (s *Scheduler) applyCancels(rows []table.Row, _ bool) {
	for _, row := range rows {
		if !row.Deleted {
			s.addCancelRows(row.Name, []table.Condition{{Key: row.Key, Version: row.Version}})
			s.cancelStored(row.Name)
		}
	}
}
