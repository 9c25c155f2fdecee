package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/worker"
)

const (
	// retryPause is the time between two tries of a step of taking over.
	retryPause = 60 * time.Millisecond
	// clockSlack is the part by which a worker's clock may be slow.
	clockSlack = 0.02
	// leaseSlack covers the way of an order to the worker.
	leaseSlack = 150 * time.Millisecond
)

// step tries a step of taking over until it succeeds.
func step[T any](s *Scheduler, name string, work func(context.Context) (T, error), done func(T)) {
	call(s, callTimeout, work, func(result T, err error) {
		if err == nil {
			done(result)
			return
		}
		s.Log.Write(event.RecoveryStep, event.Fields{"epoch": s.Epoch, "step": name, "outcome": err.Error()})
		s.after(retryPause, func() { step(s, name, work, done) })
	})
}

// raiseGuard keeps earlier leaders from writing the ledger.
func (s *Scheduler) raiseGuard() {
	step(s, "guard", func(ctx context.Context) (map[string]uint64, error) {
		return ledger.RaiseGuards(ctx, s.Store, s.Epoch)
	}, func(guards map[string]uint64) {
		s.guards = guards
		for _, version := range guards {
			if s.guard == 0 || version < s.guard {
				s.guard = version
			}
		}
		s.load()
	})
}

// loaded is what the store holds at the time of taking over.
type loaded struct {
	ledger        ledger.Contents
	registrations table.Page
}

func (s *Scheduler) load() {
	step(s, "load", func(ctx context.Context) (loaded, error) {
		var l loaded
		var err error
		l.registrations, err = s.Store.ReadAll(ctx, table.Range{Table: s.Rows.RegistrationTable})
		if err != nil {
			return l, err
		}
		l.ledger, err = ledger.Load(ctx, s.Store)
		return l, err
	}, s.takeOver)
}

// takeOver builds the state from what was loaded, and begins to follow the store.
func (s *Scheduler) takeOver(l loaded) {
	for _, bad := range l.ledger.Unreadable {
		s.Log.Write(event.RowUnreadable, event.Fields{"table": bad.Table, "key": bad.Name, "version": bad.Version, "reason": bad.Reason})
	}
	s.takeRoster(l.ledger.Roster, l.ledger.RosterRows)
	s.ready = true
	s.ledger.begin(s)
	for _, submission := range l.ledger.Jobs {
		s.takeSubmission(submission, l.ledger.JobRecords[submission.Job.ID], "ledger")
	}
	for id, entry := range l.ledger.JobRecords {
		if entry.Outcome != nil {
			s.takeOutcome(id, entry.Outcome)
		}
	}
	for _, id := range l.ledger.Cancels {
		s.cancelStored(id)
	}
	s.waves.takeNotes(l.ledger.Waves)
	s.takeWaves()
	s.applyRegistrations(l.registrations.Rows, true)
	s.followStore(l.registrations.Version)
	s.Log.Write(event.LeaderReady, event.Fields{
		"epoch": s.Epoch, "jobs": len(s.jobs), "workers": len(s.workers), "unheard": len(s.unheard),
		"took_ms": (s.Now() - s.began).Milliseconds(),
	})
	s.fetchInstances()
	s.tick()
}

// takeRoster takes in the workers that earlier leaders may have started tasks on.
func (s *Scheduler) takeRoster(roster map[string]ledger.RosterRecord, rows map[string][]table.Condition) {
	for id, entry := range roster {
		h := s.host(worker.Registration{ID: id, Address: entry.Address, Instance: entry.Instance, DataCentre: entry.DataCentre})
		h.rostered, h.rosterRows = true, rows[id]
		// An earlier leader may have given a whole lease until its own ran out.
		h.lapses = s.began + time.Duration(float64(min(leaseLength, s.Bounds.LeaseMax))/(1-clockSlack)) + leaseSlack
		s.unheard[id] = h
		if s.byInstance[h.Instance] == nil {
			s.byInstance[h.Instance] = h
		}
		s.renewNow(h)
	}
}

// followStore follows the tables that others write.
func (s *Scheduler) followStore(_ uint64) {
	follow := func(name string, parts []string, pace time.Duration, deliver func([]table.Row, bool)) {
		f := &table.Follower{
			Store: s.Store, Table: name, Partitions: parts, PollInterval: pace,
			OnRows:    func(rows []table.Row, whole bool) { s.post(func() { deliver(rows, whole) }) },
			OnError:   func(err error) { s.post(func() { s.storeFailed(name, err) }) },
			OnSuccess: func() { s.post(func() { s.storeAnswered(name) }) },
		}
		go f.Run(s.ctx)
	}
	follow(s.Rows.RegistrationTable, []string{""}, registrationPace, s.applyRegistrations)
	follow(ledger.Submissions, ledger.ListSubmissionPartitions(), jobPace, s.applyJobs)
	follow(ledger.Cancels, ledger.LeaderPartitions(), jobPace, s.applyCancels)
}

const (
	// registrationPace is the least time between two questions for changed registrations; a draining worker must be
	// known well within the 2 s after which it gets no starts.
	registrationPace = 150 * time.Millisecond
	// jobPace is the least time between two questions for submissions that nobody told of: a second of it is within
	// the 3 s in which every accepted job must be known.
	jobPace = 700 * time.Millisecond
)

// outage is a table that doesn't answer.
type outage struct{ since time.Duration }

func (s *Scheduler) storeFailed(name string, err error) {
	if fault.IsKind(err, fault.HistoryGone) {
		return
	}
	if s.stats.outages[name] == nil {
		s.stats.outages[name] = &outage{since: s.Now()}
		s.Log.Write(event.StoreLost, event.Fields{"table": name, "reason": err.Error()})
	}
}

func (s *Scheduler) storeAnswered(name string) {
	o := s.stats.outages[name]
	if o == nil {
		return
	}
	delete(s.stats.outages, name)
	s.Log.Write(event.StoreBack, event.Fields{"table": name, "after_ms": (s.Now() - o.since).Milliseconds()})
}

// applyJobs takes in submissions that no entry told of.
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
			s.takeSubmission(submission, ledger.JobRecord{}, "store")
		}
	}
	s.soon()
}

// applyCancels takes in cancels that other entries wrote.
func (s *Scheduler) applyCancels(rows []table.Row, _ bool) {
	for _, row := range rows {
		if !row.Deleted {
			s.cancelStored(row.Name)
		}
	}
}
