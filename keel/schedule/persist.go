package schedule

import (
	"context"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

const (
	// flushDelay batches progress changes before they are written.
	flushDelay = 25 * time.Millisecond
	// maxBatchRows and maxBatchBytes limit the rows in a transaction. The store accepts 100 entries, of which one is the
	// guard, and 1 MB in base64.
	maxBatchRows  = 96
	maxBatchBytes = 400_000
	// rejectedRetry is the delay before a row that the store rejects as invalid is written again.
	rejectedRetry = 2 * time.Second
	// A write times out after ledgerBaseTimeout plus ledgerLatencyFactor times the latency of the last write; the next
	// partition is tried then.
	ledgerBaseTimeout   = 350 * time.Millisecond
	ledgerLatencyFactor = 4
	// ledgerRetryDelay is the delay before a retry of a write that failed in every partition.
	ledgerRetryDelay = 80 * time.Millisecond
	// stubInterval is the interval between clean-up rounds, which replace the submissions of ended jobs with their outcomes and
	// remove obsolete rows.
	stubInterval = 1500 * time.Millisecond
	// copyDelay is the delay before a row is searched in a partition in which a write of it had an unknown outcome. Such a
	// write may take effect some seconds late.
	copyDelay = 8 * time.Second
	// maxStaleRows is the maximum number of obsolete rows removed in one transaction, each with its condition.
	maxStaleRows = 45
	// staleInterval is the delay between two transactions that remove obsolete rows of one partition.
	staleInterval = 100 * time.Millisecond
	// maxStaleBacklog is the number of obsolete rows of one partition from which there is no such delay.
	maxStaleBacklog = 10 * maxStaleRows
	// maxStubRows is the maximum number of submissions replaced in one round for one partition, with a condition, a write and a
	// removal each.
	maxStubRows = 33
	// maxCommitsInFlight is the maximum number of transactions in flight. There is more than one only while the others are
	// full.
	maxCommitsInFlight = 4
)

// ledgerWriter writes job changes to the ledger. It stays with a partition until a write there fails. A row is in one
// transaction at a time, since the store may apply transactions in flight in any order.
type ledgerWriter struct {
	s          *Scheduler
	partitions []string
	// encodedProgress and doneTasks are reused for each row.
	encodedProgress work.Progress
	doneTasks       []work.BitSet
	// current is the index of the partition in use; failures counts consecutive failed writes.
	current  int
	failures int
	latency  time.Duration
	// urgent and normal hold the changed jobs in the order of their changes. Urgent ones are written without delay.
	urgent, normal []*job
	// extraRows holds other rows to write.
	extraRows []extraRow
	// maxRows is the number of rows of the next transaction. It is lowered while the store rejects transactions as
	// invalid, to find the row that causes that.
	maxRows int
	// inFlight holds the transactions in flight, and rowsInFlight the keys of their rows, without a partition.
	inFlight     []*ledgerBatch
	rowsInFlight map[table.Key]bool
	// raisingGuard is set while the guard of the partition in use is being raised, which happens without transactions in
	// flight.
	raisingGuard   bool
	flushScheduled bool
	retryAt        time.Duration
	// pendingStubs holds the ended jobs whose submissions aren't replaced yet.
	pendingStubs []*job
	stubbedAt    time.Duration
	// stale holds obsolete rows by partition, with the versions under which they may be removed.
	stale    map[string][]table.Condition
	progress ledgerProgress
	// inDoubt holds the partitions in which a write with unknown outcome may still take effect. Their guard is raised
	// before the next write.
	inDoubt map[string]bool
	// fencing holds the partitions whose guard fenceUnused is raising.
	fencing map[string]bool
}

type extraRow struct {
	write table.Write
	// done is called with the partition and the version of the stored row, and again for each copy that an earlier write
	// of unknown outcome has left in another partition.
	done func(partition string, version uint64)
	// maybeIn lists the partitions in which a write had an unknown outcome.
	maybeIn []string
}

func (l *ledgerWriter) init(s *Scheduler) {
	l.maxRows, l.fencing, l.rowsInFlight = maxBatchRows, make(map[string]bool), make(map[table.Key]bool)
	l.s, l.partitions, l.stale, l.inDoubt = s, ledger.LeaderPartitions(), make(map[string][]table.Condition), make(map[string]bool)
}

// markDirty schedules the job's progress for storage after flushDelay and returns the number of the change.
func (s *Scheduler) markDirty(j *job) uint64 {
	j.lastChange++
	if !j.dirty {
		j.dirty, j.dirtySince = true, s.Now()
		s.ledger.normal = append(s.ledger.normal, j)
	}
	s.ledger.scheduleFlush()
	return j.lastChange
}

// markUrgent schedules the job's outcome for immediate storage.
func (s *Scheduler) markUrgent(j *job) {
	j.lastChange++
	j.outcomeChange = j.lastChange
	if !j.dirty {
		j.dirty, j.dirtySince = true, s.Now()
	}
	s.ledger.urgent = append(s.ledger.urgent, j)
	s.ledger.flush()
}

// writeRow stores a row, whose key must not name a partition, and then calls done, which may be nil.
func (l *ledgerWriter) writeRow(w table.Write, done func(partition string, version uint64)) {
	l.extraRows = append(l.extraRows, extraRow{write: w, done: done})
	l.flush()
}

// removeRows schedules rows for removal, unless they are written again before that.
func (l *ledgerWriter) removeRows(rows []table.Condition) {
	for _, row := range rows {
		l.stale[row.Partition] = append(l.stale[row.Partition], row)
	}
}

func (l *ledgerWriter) scheduleFlush() {
	if l.flushScheduled || l.raisingGuard || len(l.inFlight) > 0 {
		return
	}
	l.flushScheduled = true
	l.s.after(flushDelay, func() {
		l.flushScheduled = false
		l.flush()
	})
}

// pendingRows returns the number of rows that wait to be written. It counts rows in flight that have changed again, and
// jobs that are queued twice.
func (l *ledgerWriter) pendingRows() int { return len(l.urgent) + len(l.normal) + len(l.extraRows) }

// flush writes pending changes: one transaction, and further ones that are full.
func (l *ledgerWriter) flush() {
	if l.raisingGuard || l.pendingRows() == 0 {
		return
	}
	if l.s.Now() < l.retryAt || !l.s.LeaseValid() {
		l.scheduleFlush()
		return
	}
	if l.inDoubt[l.partitions[l.current]] {
		if len(l.inFlight) == 0 {
			l.raiseGuard(l.partitions[l.current])
		}
		return
	}
	for len(l.inFlight) == 0 || l.mayAddCommit() {
		b := l.nextBatch()
		if len(b.txn.Writes) == 0 {
			return
		}
		l.send(b)
	}
}

// mayAddCommit reports whether another transaction may be sent beside those in flight. While the rows of a transaction are
// limited to find one that the store rejects, the result of each is awaited.
func (l *ledgerWriter) mayAddCommit() bool {
	return len(l.inFlight) < maxCommitsInFlight && l.maxRows == maxBatchRows && l.pendingRows() >= maxBatchRows
}

// send starts a transaction.
func (l *ledgerWriter) send(b *ledgerBatch) {
	sent := l.s.Now()
	l.inFlight = append(l.inFlight, b)
	call(l.s, l.timeout(), func(ctx context.Context) (table.Result, error) { return l.s.Store.Commit(ctx, b.txn) },
		func(result table.Result, err error) {
			l.latency = l.s.Now() - sent
			l.s.storeClock.observe(result.Now, sent)
			l.handleCommit(b, result.Version, err)
		})
}

// raiseGuard raises the partition's guard, so that earlier writes with unknown outcome can no longer take effect.
func (l *ledgerWriter) raiseGuard(partition string) {
	l.raisingGuard = true
	call(l.s, l.timeout(), func(ctx context.Context) (ledger.Guard, error) {
		return ledger.RaiseGuard(ctx, l.s.Store, partition, l.s.Epoch)
	}, func(guard ledger.Guard, err error) {
		l.raisingGuard = false
		if err != nil {
			l.switchPartition(partition, 0, err)
			return
		}
		l.recordGuard(partition, guard.Version)
		l.flush()
	})
}

// recordGuard records that the partition's guard was raised. Of two that were raised at the same time, the later holds.
func (l *ledgerWriter) recordGuard(partition string, version uint64) {
	l.s.guards[partition] = max(l.s.guards[partition], version)
	delete(l.inDoubt, partition)
}

// timeout returns the timeout of a write: short enough to switch partitions soon, longer while the whole store is slow.
func (l *ledgerWriter) timeout() time.Duration {
	if l.failures >= len(l.partitions) {
		return callTimeout
	}
	return min(callTimeout, ledgerBaseTimeout+ledgerLatencyFactor*l.latency)
}

// ledgerBatch is a transaction with the changes that it stores.
type ledgerBatch struct {
	partition string
	txn       table.Txn
	jobs      []*job
	changes   []uint64
	// since holds when the changes were made.
	since     []time.Duration
	extraRows []extraRow
	// keys holds the keys of the rows, without a partition, and bytes is the total size of the values.
	keys  []table.Key
	bytes int
}

// nextBatch returns a transaction with the pending rows that aren't in flight, as far as they fit.
func (l *ledgerWriter) nextBatch() *ledgerBatch {
	partition := l.partitions[l.current]
	b := &ledgerBatch{partition: partition, txn: table.Txn{Conditions: []table.Condition{ledger.GuardCondition(partition, l.s.guards[partition])}}}
	size := min(len(l.urgent)+len(l.normal), l.maxRows)
	b.jobs, b.changes, b.since = make([]*job, 0, size), make([]uint64, 0, size), make([]time.Duration, 0, size)
	b.txn.Writes = make([]table.Write, 0, min(size+len(l.extraRows), l.maxRows))
	l.extraRows = l.addExtraRows(b, l.extraRows)
	l.urgent = l.addJobs(b, l.urgent)
	l.normal = l.addJobs(b, l.normal)
	return b
}

// add adds a row, whose key must not name a partition, and returns false if the transaction has no room for it. The
// first row always fits.
func (l *ledgerWriter) add(b *ledgerBatch, w table.Write) bool {
	n := len(b.txn.Writes)
	if n > 0 && (n >= l.maxRows || b.bytes+len(w.Value) > maxBatchBytes) {
		return false
	}
	b.bytes += len(w.Value)
	b.keys = append(b.keys, w.Key)
	l.rowsInFlight[w.Key] = true
	b.txn.Writes = append(b.txn.Writes, table.Write{Key: ledger.InPartition(b.partition, w.Key), Value: w.Value})
	return true
}

// addExtraRows adds rows until the transaction is full and returns the remaining ones.
func (l *ledgerWriter) addExtraRows(b *ledgerBatch, rows []extraRow) []extraRow {
	var kept []extraRow
	for i, row := range rows {
		if l.rowsInFlight[row.write.Key] {
			kept = append(kept, row)
			continue
		}
		if !l.add(b, row.write) {
			return append(kept, rows[i:]...)
		}
		b.extraRows = append(b.extraRows, row)
	}
	return kept
}

// addJobs adds jobs until the transaction is full and returns the remaining ones.
func (l *ledgerWriter) addJobs(b *ledgerBatch, jobs []*job) []*job {
	var kept []*job
	for i, j := range jobs {
		k := ledger.JobRecordKey(j.ID)
		switch {
		case !j.dirty:
			continue
		case l.rowsInFlight[k]:
			kept = append(kept, j)
			continue
		case !l.add(b, table.Write{Key: k, Value: l.encodeRecord(j)}):
			return append(kept, jobs[i:]...)
		}
		j.dirty = false
		b.jobs = append(b.jobs, j)
		b.since = append(b.since, j.dirtySince)
		b.changes = append(b.changes, j.lastChange)
	}
	return kept
}

func (l *ledgerWriter) handleCommit(b *ledgerBatch, version uint64, err error) {
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *ledgerBatch) bool { return other == b })
	for _, k := range b.keys {
		delete(l.rowsInFlight, k)
	}
	l.s.Metrics.addCommit(b.txn.Size(), err)
	if err != nil {
		l.requeue(b, err)
		return
	}
	l.failures = 0
	l.maxRows = min(maxBatchRows, 2*l.maxRows)
	now := l.s.Now()
	for i, j := range b.jobs {
		j.recordRow(table.Condition{Key: ledger.InPartition(b.partition, ledger.JobRecordKey(j.ID)), Version: version})
		j.storedChange = max(j.storedChange, b.changes[i])
		if j.omittedRuns == 0 {
			j.rejections = 0
		}
		l.progress.stored++
		l.progress.longest = max(l.progress.longest, now-b.since[i])
		l.outcomeStored(j, now)
	}
	for _, e := range b.extraRows {
		if e.done == nil {
			continue
		}
		e.done(b.partition, version)
		for _, partition := range e.maybeIn {
			if partition != b.partition {
				l.s.after(copyDelay, func() { l.findCopy(e, partition) })
			}
		}
	}
	l.s.acknowledgeAll()
	l.flush()
}

func (l *ledgerWriter) outcomeStored(j *job, now time.Duration) {
	if j.outcome == nil || j.stored || j.storedChange < j.outcomeChange {
		return
	}
	j.stored = true
	l.pendingStubs = append(l.pendingStubs, j)
	l.s.countOutcome(j, now)
	l.s.Log.WriteFunc(event.JobFinished, func() event.Fields {
		return event.Fields{
			"job": j.ID, "state": string(j.outcome.State), "reason": j.outcome.Reason, "age_ms": (now - j.arrived).Milliseconds(),
			"late_ms": j.lateness(now).Milliseconds(),
		}
	})
	callbacks := j.onStored
	j.release()
	for _, done := range callbacks {
		done()
	}
}

// requeue queues the rows of a failed batch again, its jobs as urgent ones, and switches to the next partition.
func (l *ledgerWriter) requeue(b *ledgerBatch, err error) {
	if fault.As(err).Outcome() != fault.NotRun {
		for i := range b.extraRows {
			e := &b.extraRows[i]
			if !slices.Contains(e.maybeIn, b.partition) {
				e.maybeIn = append(e.maybeIn, b.partition)
			}
		}
		for _, j := range b.jobs {
			if !slices.Contains(j.maybeIn, b.partition) {
				j.maybeIn = append(j.maybeIn, b.partition)
			}
		}
	}
	rows := len(b.txn.Writes)
	// The store rejects a transaction as invalid in each partition and at each retry, for example for a row that is too
	// large, so the other rows must be written without that row.
	invalid := fault.IsKind(err, fault.Internal)
	if invalid {
		l.maxRows = max(1, rows/2)
	}
	if invalid && rows == 1 {
		l.s.after(l.countRejection(b), func() {
			l.queueAgain(b)
			l.flush()
		})
	} else {
		l.queueAgain(b)
	}
	l.switchPartition(b.partition, b.txn.Size(), err)
}

// queueAgain queues the rows of a failed batch.
func (l *ledgerWriter) queueAgain(b *ledgerBatch) {
	for i, j := range b.jobs {
		if !j.dirty {
			j.dirty = true
			l.urgent = append(l.urgent, j)
		}
		j.dirtySince = b.since[i]
	}
	l.extraRows = append(b.extraRows, l.extraRows...)
}

// switchPartition selects the next partition after a failed write, unless another one has failed before.
func (l *ledgerWriter) switchPartition(partition string, rows int, err error) {
	failure := fault.As(err)
	l.s.Log.Write(event.LedgerFailed, event.Fields{
		"part": partition, "rows": rows, "kind": failure.Kind().String(), "outcome": string(failure.Outcome()), "reason": err.Error(),
	})
	// After a conflict, the guard is read again: a raise by this leader may have taken effect late.
	if failure.Outcome() != fault.NotRun || failure.Kind() == fault.Conflict {
		l.inDoubt[partition] = true
	}
	if partition == l.partitions[l.current] {
		l.failures++
		l.current = (l.current + 1) % len(l.partitions)
		if l.failures%len(l.partitions) == 0 {
			l.retryAt = l.s.Now() + ledgerRetryDelay
		}
	}
	l.scheduleFlush()
}

// waveProgressWrite returns the write of a wave's progress.
func waveProgressWrite(number int64, progress ledger.WaveProgress) table.Write {
	return table.Write{Key: ledger.WaveKey(number), Value: ledger.Encode(progress)}
}
