package schedule

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

const (
	// ledgerGather is the time for which progress is gathered before it is written.
	ledgerGather = 25 * time.Millisecond
	// ledgerRows bounds the rows of one transaction; the store takes 100 entries, of which one is the guard.
	ledgerRows = 96
	// ledgerTimeout and as many times the last answer's time bound a write before another part is tried.
	ledgerTimeout   = 350 * time.Millisecond
	ledgerLatencies = 4
	// ledgerRetry is the time after which a write that failed in every part is tried again.
	ledgerRetry = 80 * time.Millisecond
	// stubPause is the time between two rounds of replacing ended submissions by stubs.
	stubPause = 1500 * time.Millisecond
	// staleRows bounds the rows that one transaction removes, each with its condition.
	staleRows = 45
	// stalePause is the time between two such transactions.
	stalePause = 100 * time.Millisecond
	// stubRows bounds the stubs of one round for one part.
	stubRows = 90
)

// ledgerWriter writes changes of jobs, one transaction at a time, in the part that answered last.
type ledgerWriter struct {
	s     *Scheduler
	parts []string
	// at is the part in use, failures counts the failed writes since the last that succeeded.
	at       int
	failures int
	latency  time.Duration
	// urgent and normal hold the changed jobs, in the order of their changes.
	urgent, normal []*job
	// extra holds other rows to write, with what to do once they are stored.
	extra   []extraRow
	writing bool
	timed   bool
	retryAt time.Duration
	stubs   []*job
	stubbed time.Duration
	// stale holds rows to remove, with their versions, by part.
	stale map[string][]table.Condition
	// doubtful holds the parts in which an unanswered write may yet take effect; their guard is raised before they are
	// written again.
	doubtful map[string]bool
}

type extraRow struct {
	write table.Write
	// done is told in which part and under which version the row lies.
	done func(part string, version uint64)
}

func (l *ledgerWriter) begin(s *Scheduler) {
	l.s, l.parts, l.stale, l.doubtful = s, ledger.LeaderPartitions(), make(map[string][]table.Condition), make(map[string]bool)
}

// markDirty has the job's progress stored before long and returns the number of the change.
func (s *Scheduler) markDirty(j *job) uint64 {
	j.change++
	if !j.dirty {
		j.dirty = true
		s.ledger.normal = append(s.ledger.normal, j)
	}
	s.ledger.flushSoon()
	return j.change
}

// markUrgent has the job's outcome stored at once.
func (s *Scheduler) markUrgent(j *job) {
	j.change++
	j.outcomeFrom = j.change
	j.dirty = true
	s.ledger.urgent = append(s.ledger.urgent, j)
	s.ledger.flush()
}

// write stores a row, whose key is without a part, and then calls done.
func (l *ledgerWriter) write(w table.Write, done func(part string, version uint64)) {
	l.extra = append(l.extra, extraRow{write: w, done: done})
	l.flush()
}

// remove removes rows some time, unless they have been written again by then.
func (l *ledgerWriter) remove(rows []table.Condition) {
	for _, row := range rows {
		l.stale[row.Partition] = append(l.stale[row.Partition], row)
	}
}

func (l *ledgerWriter) flushSoon() {
	if l.timed || l.writing {
		return
	}
	l.timed = true
	l.s.after(ledgerGather, func() {
		l.timed = false
		l.flush()
	})
}

// flush writes what waits unless a write is under way.
func (l *ledgerWriter) flush() {
	now := l.s.Now()
	if l.writing || len(l.urgent)+len(l.normal)+len(l.extra) == 0 {
		return
	}
	if now < l.retryAt || !l.s.LeaseValid() {
		l.flushSoon()
		return
	}
	l.writing = true
	if l.doubtful[l.parts[l.at]] {
		l.raise(l.parts[l.at])
		return
	}
	b := l.gather()
	call(l.s, l.timeout(), func(ctx context.Context) (table.Result, error) { return l.s.Store.Commit(ctx, b.txn) },
		func(result table.Result, err error) {
			l.latency = l.s.Now() - now
			l.written(b, result.Version, err)
		})
}

// raise keeps unanswered writes from taking effect in the part any more.
func (l *ledgerWriter) raise(part string) {
	call(l.s, l.timeout(), func(ctx context.Context) (uint64, error) {
		return ledger.RaiseGuard(ctx, l.s.Store, part, l.s.Epoch)
	}, func(version uint64, err error) {
		l.writing = false
		if err != nil {
			l.turn(part, 0, err)
			return
		}
		l.s.guards[part] = version
		delete(l.doubtful, part)
		l.flush()
	})
}

// timeout bounds a write: short enough to turn to another part soon, longer while the store as a whole is slow.
func (l *ledgerWriter) timeout() time.Duration {
	if l.failures >= len(l.parts) {
		return callTimeout
	}
	return min(callTimeout, ledgerTimeout+ledgerLatencies*l.latency)
}

// ledgerBatch is one transaction and what it stores.
type ledgerBatch struct {
	part    string
	txn     table.Txn
	jobs    []*job
	changes []uint64
	extra   []extraRow
}

func (l *ledgerWriter) gather() *ledgerBatch {
	part := l.parts[l.at]
	b := &ledgerBatch{part: part, txn: table.Txn{Conditions: []table.Condition{ledger.GuardCondition(part, l.s.guards[part])}}}
	for len(l.extra) > 0 && b.txn.Size() < ledgerRows {
		e := l.extra[0]
		l.extra = l.extra[1:]
		b.extra = append(b.extra, e)
		b.txn.Writes = append(b.txn.Writes, table.Write{Key: ledger.InPartition(part, e.write.Key), Value: e.write.Value})
	}
	l.urgent = b.take(l.urgent)
	l.normal = b.take(l.normal)
	return b
}

// take adds jobs until the transaction is full and returns the rest.
func (b *ledgerBatch) take(jobs []*job) []*job {
	for len(jobs) > 0 && b.txn.Size() < ledgerRows {
		j := jobs[0]
		jobs = jobs[1:]
		if !j.dirty {
			continue
		}
		j.dirty = false
		b.jobs = append(b.jobs, j)
		b.changes = append(b.changes, j.change)
		b.txn.Writes = append(b.txn.Writes, table.Write{Key: ledger.InPartition(b.part, ledger.JobRecordKey(j.ID)), Value: ledger.Encode(entryOf(j))})
	}
	return jobs
}

// entryOf returns what is kept of a job.
func entryOf(j *job) ledger.JobRecord {
	if j.outcome != nil {
		return ledger.JobRecord{Outcome: j.outcome}
	}
	p := &work.Progress{Started: j.started, RemoteDataCentres: slices.Sorted(maps.Keys(j.away)), Failures: j.failures, Checkpoints: j.saved}
	for k, o := range j.occs {
		if o == nil {
			continue
		}
		bits := make([]work.BitSet, len(o.steps))
		some := false
		for i, step := range o.steps {
			for _, t := range step.tasks {
				if t.done {
					bits[i] = bits[i].With(t.index)
					some = true
				}
			}
		}
		if some {
			if p.Done == nil {
				p.Done = make(map[int][]work.BitSet)
			}
			p.Done[k] = bits
		}
	}
	return ledger.JobRecord{Progress: p}
}

func (l *ledgerWriter) written(b *ledgerBatch, version uint64, err error) {
	l.writing = false
	l.s.Metrics.addCommit(b.txn.Size(), err)
	if err != nil {
		l.failed(b, err)
		return
	}
	l.failures = 0
	now := l.s.Now()
	for i, j := range b.jobs {
		j.kept = max(j.kept, b.changes[i])
		l.outcomeStored(j, now)
	}
	for _, e := range b.extra {
		if e.done != nil {
			e.done(b.part, version)
		}
	}
	l.s.acknowledge()
	l.flush()
}

func (l *ledgerWriter) outcomeStored(j *job, now time.Duration) {
	if j.outcome == nil || j.stored || j.kept < j.outcomeFrom {
		return
	}
	j.stored, j.ended = true, now
	l.stubs = append(l.stubs, j)
	l.s.countOutcome(j, now)
	l.s.Log.Write(event.JobFinished, event.Fields{
		"job": j.ID, "state": string(j.outcome.State), "reason": j.outcome.Reason, "age_ms": (now - j.arrived).Milliseconds(),
		"late_ms": j.lateness(now).Milliseconds(),
	})
	for _, done := range j.onStored {
		done()
	}
	j.onStored = nil
}

// failed puts a batch back; its rows are written again in the part that comes next.
func (l *ledgerWriter) failed(b *ledgerBatch, err error) {
	for _, j := range b.jobs {
		if !j.dirty {
			j.dirty = true
			l.urgent = append(l.urgent, j)
		}
	}
	l.extra = append(b.extra, l.extra...)
	l.turn(b.part, b.txn.Size(), err)
}

// turn leaves a part that can't be written for the next one.
func (l *ledgerWriter) turn(part string, rows int, err error) {
	failure := fault.As(err)
	l.s.Log.Write(event.LedgerFailed, event.Fields{
		"part": part, "rows": rows, "kind": failure.Kind().String(), "outcome": string(failure.Outcome()), "reason": err.Error(),
	})
	if failure.Outcome() != fault.NotRun {
		l.doubtful[part] = true
	}
	l.failures++
	l.at = (l.at + 1) % len(l.parts)
	if l.failures%len(l.parts) == 0 {
		l.retryAt = l.s.Now() + ledgerRetry
	}
	l.flushSoon()
}

// removeStale removes the rows of one part that are of no use any more.
func (s *Scheduler) removeStale(part string) {
	l := &s.ledger
	rows := l.stale[part]
	rows = rows[:min(len(rows), staleRows)]
	if len(rows) == 0 || l.doubtful[part] {
		return
	}
	l.stale[part] = l.stale[part][len(rows):]
	txn := table.Txn{Conditions: []table.Condition{ledger.GuardCondition(part, s.guards[part])}}
	for _, row := range rows {
		txn.Conditions = append(txn.Conditions, row)
		txn.Removals = append(txn.Removals, row.Key)
	}
	call(s, callTimeout, func(ctx context.Context) (table.Result, error) { return s.Store.Commit(ctx, txn) },
		func(result table.Result, err error) {
			if err == nil {
				s.after(stalePause, func() { s.removeStale(part) })
				return
			}
			// What was written again meanwhile stays; an unanswered removal of the rest does no harm when it comes late.
			present := make(map[table.Key]uint64)
			for _, row := range result.Current {
				present[row.Key] = row.Version
			}
			for _, row := range rows {
				if !fault.IsKind(err, fault.Conflict) || present[row.Key] == row.Version {
					l.stale[part] = append(l.stale[part], row)
				}
			}
		})
}

// tidy replaces the submissions of ended jobs by stubs, and forgets jobs that are no longer kept.
func (s *Scheduler) tidy(now time.Duration) {
	l := &s.ledger
	if now-l.stubbed < stubPause || !s.LeaseValid() {
		return
	}
	l.stubbed = now
	for _, part := range l.parts {
		s.removeStale(part)
	}
	byPart := make(map[string][]*job)
	var rest []*job
	for _, j := range l.stubs {
		part := ledger.PartitionOf(j.ID)
		if len(byPart[part]) < stubRows {
			byPart[part] = append(byPart[part], j)
		} else {
			rest = append(rest, j)
		}
	}
	l.stubs = rest
	for _, jobs := range byPart {
		s.writeStubs(jobs)
	}
}

func (s *Scheduler) writeStubs(jobs []*job) {
	var txn table.Txn
	for _, j := range jobs {
		stub := ledger.Stub{ID: j.ID, Digest: j.Digest, Ended: true}
		txn.Writes = append(txn.Writes, table.Write{Key: ledger.SubmissionKey(j.ID), Value: ledger.Encode(stub)})
	}
	call(s, callTimeout, func(ctx context.Context) (table.Result, error) { return s.Store.Commit(ctx, txn) },
		func(_ table.Result, err error) {
			if err != nil {
				s.ledger.stubs = append(s.ledger.stubs, jobs...)
				return
			}
			for _, j := range jobs {
				j.stubbed = true
				// Only the state is asked for from now on.
				j.occs, j.Steps, j.Spec = nil, nil, ""
			}
		})
}

// noteWrite returns the write of the leader's notes on a wave.
func noteWrite(number int64, note ledger.WaveProgress) table.Write {
	return table.Write{Key: ledger.WaveKey(number), Value: ledger.Encode(note)}
}
