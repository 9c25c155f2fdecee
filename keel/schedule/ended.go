package schedule

import (
	"cmp"
	"context"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

const (
	// defaultJobRetention is used if the settings have none.
	defaultJobRetention = 2 * time.Minute
	// rowRetentionFactor is how many times longer than callers may ask for a job's state its row is kept, so that a late repeat of
	// its submission isn't taken for another job.
	rowRetentionFactor = 2
	// sweepInterval is the minimum interval between two sweeps of one partition, sweepPause the pause between two pages, and
	// sweepRetry the delay before a page that can't be read is read again.
	sweepInterval = 30 * time.Second
	sweepPause    = 20 * time.Millisecond
	sweepRetry    = 2 * time.Second
	// maxLoadedOutcomes is the maximum number of outcomes of earlier leaders that a leader keeps in memory. Callers who ask for
	// others get them from the store.
	maxLoadedOutcomes = 20_000
	// unknownCancelTime is how long a cancel of a job that isn't known is kept. Its submission is known within seconds.
	unknownCancelTime = time.Minute
)

// retiredJob is an ended job whose outcome has replaced its submission.
type retiredJob struct {
	job   *job
	until time.Duration
}

// cancelRows are the rows of the stored cancels of one job.
type cancelRows struct {
	rows  []table.Condition
	since time.Duration
}

// jobRetention returns for how long callers may ask for the state of an ended job.
func (s *Scheduler) jobRetention() time.Duration {
	return cmp.Or(s.Bounds.JobRetention, defaultJobRetention)
}

// retire removes the rows of an ended job that its outcome has replaced, and forgets the job after jobRetention.
func (s *Scheduler) retire(j *job) {
	s.ledger.removeRows(j.rows)
	copied := extraRow{write: table.Write{Key: ledger.JobRecordKey(j.ID)}, done: func(partition string, version uint64) {
		s.ledger.removeRows([]table.Condition{{Key: ledger.InPartition(partition, ledger.JobRecordKey(j.ID)), Version: version}})
	}}
	for _, partition := range j.maybeIn {
		s.after(copyDelay, func() { s.ledger.findCopy(copied, partition) })
	}
	j.rows, j.maybeIn, j.version = nil, nil, 0
	cancels := s.cancelRows[j.ID]
	if cancels != nil {
		s.ledger.removeRows(cancels.rows)
		delete(s.cancelRows, j.ID)
	}
	s.forgetLater(j)
}

// forgetLater forgets the ended job jobRetention after its end, well before its row goes and its ID may name another job.
func (s *Scheduler) forgetLater(j *job) {
	age := s.Wall() - time.Duration(j.outcome.Ended)*time.Millisecond
	s.retired = append(s.retired, retiredJob{job: j, until: s.Now() + s.jobRetention() - max(0, age)})
}

// dropRetired forgets the jobs whose time has passed; callers who ask for them get their state from the store.
func (s *Scheduler) dropRetired(now time.Duration) {
	s.retired = slices.DeleteFunc(s.retired, func(r retiredJob) bool {
		if r.until >= now {
			return false
		}
		if s.jobs[r.job.ID] == r.job {
			delete(s.jobs, r.job.ID)
		}
		return true
	})
}

// addCancelRows records rows of stored cancels of a job.
func (s *Scheduler) addCancelRows(id string, rows []table.Condition) {
	c := s.cancelRows[id]
	if c == nil {
		c = &cancelRows{since: s.Now()}
		s.cancelRows[id] = c
	}
	for _, row := range rows {
		c.rows = slices.DeleteFunc(c.rows, func(old table.Condition) bool { return old.Key == row.Key })
		c.rows = append(c.rows, row)
	}
}

// dropUnknownCancels removes the rows of cancels of jobs that have ended or that aren't known after unknownCancelTime, unless the
// submissions can't be read.
func (s *Scheduler) dropUnknownCancels(now time.Duration) {
	if s.outages.byTable[ledger.Submissions] != nil {
		return
	}
	for id, c := range s.cancelRows {
		j := s.jobs[id]
		if now-c.since < unknownCancelTime || j != nil && !j.stored {
			continue
		}
		s.ledger.removeRows(c.rows)
		delete(s.cancelRows, id)
		delete(s.pendingCancels, id)
	}
}

// endedPage is a page of the rows of ended jobs: those to be removed, the outcomes that callers may still ask for, and the cursor of
// the next page, empty on the last one.
type endedPage struct {
	expired []table.Condition
	recent  map[string]*work.Outcome
	rows    int
	// earliest is the earliest end of a row that stays, in milliseconds since 1970, 0 for none.
	earliest int64
	next     string
}

// endedSweep is one pass over the rows of ended jobs of a partition.
type endedSweep struct {
	partition     int
	from          string
	rows, removed int
	earliest      int64
}

// sweepEnded reads the rows of ended jobs of the partition and, the first time, of those after it, and removes the expired ones.
func (s *Scheduler) sweepEnded(partition int) {
	s.sweepPage(&endedSweep{partition: partition}, partition+1 < ledger.SubmissionPartitionCount)
}

// sweepPage reads the sweep's next page. With others, the sweep of the next partition follows.
func (s *Scheduler) sweepPage(sweep *endedSweep, others bool) {
	wall, retention := s.Wall(), s.jobRetention()
	r := table.Range{Table: ledger.Ended, Partition: ledger.SubmissionPartitions()[sweep.partition], From: sweep.from}
	call(s, callTimeout, func(ctx context.Context) (endedPage, error) { return readEnded(ctx, s.Store, r, wall, retention) },
		func(page endedPage, err error) {
			if err != nil {
				s.after(sweepRetry, func() { s.sweepPage(sweep, others) })
				return
			}
			s.applyEndedPage(page)
			sweep.rows, sweep.removed, sweep.from = sweep.rows+page.rows, sweep.removed+len(page.expired), page.next
			if sweep.earliest == 0 || page.earliest != 0 && page.earliest < sweep.earliest {
				sweep.earliest = page.earliest
			}
			if page.next != "" {
				s.after(sweepPause, func() { s.sweepPage(sweep, others) })
				return
			}
			s.finishSweep(sweep)
			if others {
				s.sweepEnded(sweep.partition + 1)
			}
		})
}

// finishSweep schedules the next sweep of the partition for when a row has expired.
func (s *Scheduler) finishSweep(sweep *endedSweep) {
	if sweep.removed > 0 {
		s.Log.Write(event.EndedRowsRemoved, event.Fields{"part": ledger.SubmissionPartitions()[sweep.partition], "removed": sweep.removed, "rows": sweep.rows})
	}
	delay := rowRetentionFactor * s.jobRetention()
	if sweep.earliest != 0 {
		delay -= s.Wall() - time.Duration(sweep.earliest)*time.Millisecond
	}
	s.after(max(sweepInterval, delay), func() { s.sweepPage(&endedSweep{partition: sweep.partition}, false) })
}

// applyEndedPage removes the expired rows and keeps the outcomes that callers may still ask for.
func (s *Scheduler) applyEndedPage(page endedPage) {
	s.ledger.removeRows(page.expired)
	for id, outcome := range page.recent {
		if s.jobs[id] == nil && len(s.retired) < maxLoadedOutcomes {
			s.addOutcome(id, outcome)
			s.forgetLater(s.jobs[id])
		}
	}
}

// readEnded reads a page of the rows of ended jobs.
func readEnded(ctx context.Context, store *table.Store, r table.Range, wall, retention time.Duration) (endedPage, error) {
	read, err := store.Read(ctx, r)
	if err != nil {
		return endedPage{}, err
	}
	page := endedPage{rows: len(read.Rows), recent: make(map[string]*work.Outcome)}
	if read.More && len(read.Rows) > 0 {
		page.next = read.Rows[len(read.Rows)-1].Name + "\x00"
	}
	for _, row := range read.Rows {
		ended, err := ledger.DecodeSubmission(row)
		if err != nil || ended.Outcome == nil {
			// A later version of the program may have written it.
			continue
		}
		age := wall - time.Duration(ended.Outcome.Ended)*time.Millisecond
		if age > rowRetentionFactor*retention {
			page.expired = append(page.expired, table.Condition{Key: row.Key, Version: row.Version})
			continue
		}
		if page.earliest == 0 || ended.Outcome.Ended < page.earliest {
			page.earliest = ended.Outcome.Ended
		}
		if age <= retention && !ended.Unsubmitted {
			page.recent[row.Name] = ended.Outcome
		}
	}
	return page, nil
}
