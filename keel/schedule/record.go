package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// encodeRecord returns the encoded record of the job that the ledger stores.
func (l *ledgerWriter) encodeRecord(j *job) []byte {
	if j.outcome != nil {
		return ledger.Encode(ledger.JobRecord{Outcome: j.outcome})
	}
	done := l.encodedProgress.Done
	clear(done)
	l.doneTasks = l.doneTasks[:0]
	for k, o := range j.occurrences {
		if o == nil || !o.anyDone() {
			continue
		}
		if done == nil {
			done = make(map[int][]work.BitSet)
		}
		first := len(l.doneTasks)
		for _, step := range o.steps {
			l.doneTasks = append(l.doneTasks, step.doneTasks)
		}
		done[k] = l.doneTasks[first:]
	}
	l.encodedProgress = work.Progress{Started: j.begun, Done: done, Failures: j.failures, Crashes: j.crashes, Checkpoints: j.checkpoints}
	if len(j.remoteDataCentres) > 0 {
		l.encodedProgress.RemoteDataCentres = slices.Sorted(maps.Keys(j.remoteDataCentres))
	}
	row, omitted := ledger.FitProgress(j.Job, &l.encodedProgress, l.rowLimit(j))
	if omitted > 0 && j.omittedRuns == 0 {
		l.s.Log.Write(event.RecordShortened, event.Fields{"job": j.ID, "bytes": len(row), "limit": l.rowLimit(j), "omitted": omitted, "rejections": j.rejections})
	}
	j.omittedRuns = omitted
	return row
}

// maxRowHalvings is how often the limit of a row that the store rejects is halved.
const maxRowHalvings = 5

// rowLimit returns the maximum size of the job's row.
func (l *ledgerWriter) rowLimit(j *job) int {
	return cmp.Or(l.s.RowBytes, ledger.DefaultRowBytes) >> min(j.rejections, maxRowHalvings)
}

// countRejection counts that the store has rejected a transaction with one row, and returns the delay before the next attempt:
// none for the record of a job that can be stored in a smaller row.
func (l *ledgerWriter) countRejection(b *ledgerBatch) time.Duration {
	if len(b.jobs) == 0 {
		return rejectedRetry
	}
	j := b.jobs[0]
	j.rejections++
	if j.rejections <= maxRowHalvings && b.bytes > l.rowLimit(j) {
		return 0
	}
	return rejectedRetry
}

// anyDone reports whether some task is done.
func (o *occurrence) anyDone() bool {
	return slices.ContainsFunc(o.steps, func(step *stepState) bool { return step.done > 0 })
}
