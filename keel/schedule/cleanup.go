package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
)

// findCopy reads whether a write of unknown outcome has stored the row in the partition, and then calls done.
func (l *ledgerWriter) findCopy(e extraRow, partition string) {
	k := ledger.InPartition(partition, e.write.Key)
	r := table.Range{Table: k.Table, Partition: partition, From: k.Name, Limit: 1}
	call(l.s, callTimeout, func(ctx context.Context) (table.Page, error) { return l.s.Store.Read(ctx, r) },
		func(page table.Page, err error) {
			switch {
			case err != nil:
				l.s.after(stubInterval, func() { l.findCopy(e, partition) })
			case len(page.Rows) > 0 && page.Rows[0].Name == k.Name:
				e.done(partition, page.Rows[0].Version)
			}
		})
}

// removeStale removes obsolete rows of one partition.
func (s *Scheduler) removeStale(partition string) {
	l := &s.ledger
	rows := l.stale[partition]
	rows = rows[:min(len(rows), maxStaleRows)]
	if len(rows) == 0 {
		return
	}
	if l.inDoubt[partition] {
		// A write of unknown outcome could store a row again after its removal.
		s.fenceUnused(partition)
		return
	}
	l.stale[partition] = l.stale[partition][len(rows):]
	var txn table.Txn
	guard, guarded := s.guards[partition]
	if guarded {
		txn.Conditions = append(txn.Conditions, ledger.GuardCondition(partition, guard))
	}
	for _, row := range rows {
		txn.Conditions = append(txn.Conditions, row)
		txn.Removals = append(txn.Removals, row.Key)
	}
	call(s, callTimeout, func(ctx context.Context) (table.Result, error) { return s.Store.Commit(ctx, txn) },
		func(result table.Result, err error) {
			if err == nil {
				delay := staleInterval
				if len(l.stale[partition]) > maxStaleBacklog {
					delay = 0
				}
				s.after(delay, func() { s.removeStale(partition) })
				return
			}
			// Rows that were written again meanwhile are kept. A removal with unknown outcome is harmless if it takes
			// effect late, because of its conditions.
			present := make(map[table.Key]uint64)
			for _, row := range result.Current {
				present[row.Key] = row.Version
			}
			kept := 0
			for _, row := range rows {
				if !fault.IsKind(err, fault.Conflict) || present[row.Key] == row.Version {
					l.stale[partition] = append(l.stale[partition], row)
					kept++
				}
			}
			if kept < len(rows) {
				s.after(staleInterval, func() { s.removeStale(partition) })
			}
		})
}

// fenceUnused raises the guard of a partition that isn't in use, so that obsolete rows can be removed from it.
func (s *Scheduler) fenceUnused(partition string) {
	l := &s.ledger
	if l.fencing[partition] || partition == l.partitions[l.current] {
		return
	}
	l.fencing[partition] = true
	call(s, callTimeout, func(ctx context.Context) (ledger.Guard, error) {
		return ledger.RaiseGuard(ctx, s.Store, partition, s.Epoch)
	}, func(guard ledger.Guard, err error) {
		delete(l.fencing, partition)
		if err != nil {
			l.inDoubt[partition] = true
			return
		}
		l.recordGuard(partition, guard.Version)
		s.removeStale(partition)
	})
}

// cleanUp removes obsolete rows and replaces the submissions of ended jobs with their outcomes. It does so at most once per
// stubInterval.
func (s *Scheduler) cleanUp(now time.Duration) {
	l := &s.ledger
	if now-l.stubbedAt < stubInterval || !s.LeaseValid() {
		return
	}
	l.stubbedAt = now
	s.dropRetired(now)
	s.dropUnknownCancels(now)
	for partition := range l.stale {
		s.removeStale(partition)
	}
	byPartition := make(map[string][]*job)
	var remaining []*job
	for _, j := range l.pendingStubs {
		partition := ledger.PartitionOf(j.ID)
		if len(byPartition[partition]) < maxStubRows {
			byPartition[partition] = append(byPartition[partition], j)
		} else {
			remaining = append(remaining, j)
		}
	}
	l.pendingStubs = remaining
	for _, jobs := range byPartition {
		s.replaceSubmissions(jobs)
	}
}

// replaceSubmissions stores the outcomes of ended jobs of one partition in place of their submissions.
func (s *Scheduler) replaceSubmissions(jobs []*job) {
	var txn table.Txn
	for _, j := range jobs {
		stub := ledger.Stub{ID: j.ID, Digest: j.Digest, Ended: true, Outcome: j.outcome}
		txn.Writes = append(txn.Writes, table.Write{Key: ledger.EndedKey(j.ID), Value: ledger.Encode(stub)})
		if j.version != 0 {
			// A later submission under the same ID must not be removed by a transaction that takes effect late.
			txn.Conditions = append(txn.Conditions, table.Condition{Key: ledger.SubmissionKey(j.ID), Version: j.version})
			txn.Removals = append(txn.Removals, ledger.SubmissionKey(j.ID))
		}
	}
	call(s, callTimeout, func(ctx context.Context) (table.Result, error) { return s.Store.Commit(ctx, txn) },
		func(result table.Result, err error) {
			if err == nil {
				for _, j := range jobs {
					s.retire(j)
				}
				return
			}
			if fault.IsKind(err, fault.Conflict) {
				updateVersions(jobs, result.Current)
			}
			s.ledger.pendingStubs = append(s.ledger.pendingStubs, jobs...)
		})
}

// updateVersions sets the versions of the jobs' submissions to those of the present rows, 0 for one that an earlier transaction of
// unknown outcome has removed, or that is another job's.
func updateVersions(jobs []*job, current []table.Row) {
	present := make(map[string]ledger.Submission)
	for _, row := range current {
		submission, err := ledger.DecodeSubmission(row)
		if err == nil && row.Version != 0 {
			present[row.Name] = submission
		}
	}
	for _, j := range jobs {
		j.version = 0
		if present[j.ID].Digest == j.Digest {
			j.version = present[j.ID].Version
		}
	}
}
