package ledger

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

const (
	// maxBatchJobs and maxBatchBytes limit one transaction of submissions: the store accepts 100 conditions and writes,
	// three for each job, and 1 MB in base64.
	maxBatchJobs  = 33
	maxBatchBytes = 400_000
	// commitTimeout is the timeout of one transaction, which takes about 0.8 s at 60 times the store's usual latency.
	commitTimeout = 2 * time.Second
	// maxBacklog is the maximum number of pending submissions per partition; further ones are rejected.
	maxBacklog = 2000
)

// SubmissionWriter stores submissions in batches, with one transaction in flight per partition; its methods may be
// called from any goroutine.
type SubmissionWriter struct {
	Store *table.Store
	// RowBytes is the maximum size of a row's value in the store, 0 for DefaultRowBytes.
	RowBytes int

	// queues holds the submissions by partition, cancels the cancels of unknown jobs, which don't wait for submissions.
	queues, cancels [SubmissionPartitionCount]partitionQueue
	latency         atomic.Int64
}

// partitionQueue queues the pending submissions of one partition.
type partitionQueue struct {
	mu      sync.Mutex
	pending []*pendingSubmission
	// committing reports that a goroutine is storing the pending submissions.
	committing bool
}

// pendingSubmission is a submission that isn't stored yet.
type pendingSubmission struct {
	job  *work.Job
	body []byte
	// cancel reports that no job is to be stored, but that none may be stored any more under the ID.
	cancel bool
	// unsubmitted is the version of the row of an earlier cancel that the submission replaces, 0 for none.
	unsubmitted uint64
	// abandoned is set once the caller no longer waits.
	abandoned bool
	result    chan commitResult
}

type commitResult struct {
	stored Submission
	err    error
}

// Latency returns the duration of the latest transaction.
func (w *SubmissionWriter) Latency() time.Duration { return time.Duration(w.latency.Load()) }

// Submit stores a job and returns the stored submission. If the job was stored before, that is the earlier one, whose home
// data centre may differ, or its stub. It fails with kind KeyReused if the ID was used for another job, with kind TooLarge if
// the job is too large to be stored, and with outcome Unknown if the job may have been stored or may still be.
func (w *SubmissionWriter) Submit(ctx context.Context, job *work.Job) (Submission, error) {
	s := &pendingSubmission{job: job, body: Encode(job), result: make(chan commitResult, 1)}
	if len(s.body) > w.rowBytes() {
		return Submission{}, tooLarge(s)
	}
	return w.enqueue(ctx, s)
}

// enqueue adds the submission to its queue and waits until it is stored.
func (w *SubmissionWriter) enqueue(ctx context.Context, s *pendingSubmission) (Submission, error) {
	job := s.job
	q := &w.queues[partitionNumber(job.ID)]
	if s.cancel {
		q = &w.cancels[partitionNumber(job.ID)]
	}
	q.mu.Lock()
	if len(q.pending) >= maxBacklog {
		q.mu.Unlock()
		return Submission{}, fault.New(fault.Overloaded, "submission backlog is full: %d waiting to be stored", maxBacklog).WithOutcome(fault.NotRun)
	}
	q.pending = append(q.pending, s)
	start := !q.committing
	q.committing = true
	q.mu.Unlock()
	if start {
		go w.commitAll(q)
	}
	select {
	case r := <-s.result:
		return r.stored, r.err
	case <-ctx.Done():
		return w.abandon(q, s)
	}
}

// abandon withdraws a submission that isn't in a transaction yet; the outcome of any other is unknown.
func (w *SubmissionWriter) abandon(q *partitionQueue, s *pendingSubmission) (Submission, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, pending := range q.pending {
		if pending == s {
			failure := fault.New(fault.PlatformUnavailable, "job %s was not sent to the store before the deadline", s.job.ID).WithOutcome(fault.NotRun)
			// The entry of the queue stays until the next transaction; the memory of the request is given back now.
			s.abandoned, s.job, s.body = true, nil, nil
			return Submission{}, failure
		}
	}
	return Submission{}, fault.New(fault.PlatformUnavailable, "job %s: the store did not respond before the deadline", s.job.ID).WithOutcome(fault.Unknown)
}

// commitAll stores the pending submissions of a partition until there are none.
func (w *SubmissionWriter) commitAll(q *partitionQueue) {
	for {
		batch := q.nextBatch()
		if len(batch) == 0 {
			return
		}
		w.commitBatch(batch)
	}
}

// nextBatch removes and returns the submissions of the next transaction, which contains each ID at most once.
func (q *partitionQueue) nextBatch() []*pendingSubmission {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch, remaining []*pendingSubmission
	ids := make(map[string]bool)
	size := 0
	for _, s := range q.pending {
		switch {
		case s.abandoned:
		case len(batch) < maxBatchJobs && size+len(s.body) < maxBatchBytes && !ids[s.job.ID]:
			batch = append(batch, s)
			ids[s.job.ID] = true
			size += len(s.body)
		default:
			remaining = append(remaining, s)
		}
	}
	q.pending = remaining
	q.committing = len(batch) > 0
	return batch
}

func (w *SubmissionWriter) rowBytes() int { return cmp.Or(w.RowBytes, DefaultRowBytes) }

func tooLarge(s *pendingSubmission) error {
	return fault.New(fault.TooLarge, "job %s is too large to be stored: %d bytes with %d steps", s.job.ID, len(s.body), len(s.job.Steps))
}

// commitBatch stores the batch; if rows of some jobs already exist, it resolves those and retries with the others. A batch that
// the store rejects as invalid is divided, so that one job that can't be stored holds back no others.
func (w *SubmissionWriter) commitBatch(batch []*pendingSubmission) {
	for len(batch) > 0 {
		var txn table.Txn
		for _, s := range batch {
			k, ended := SubmissionKey(s.job.ID), EndedKey(s.job.ID)
			txn.Conditions = append(txn.Conditions, table.Condition{Key: k}, table.Condition{Key: ended, Version: s.unsubmitted})
			if s.cancel || s.unsubmitted != 0 {
				k = ended
			}
			txn.Writes = append(txn.Writes, table.Write{Key: k, Value: s.body})
		}
		result, err := w.commit(txn, batch[0].cancel)
		if fault.IsKind(err, fault.Internal) && len(batch) > 1 {
			w.commitBatch(batch[:len(batch)/2])
			w.commitBatch(batch[len(batch)/2:])
			return
		}
		if fault.IsKind(err, fault.Internal) && len(batch[0].body) > w.rowBytes()/2 {
			err = tooLarge(batch[0])
		}
		if !fault.IsKind(err, fault.Conflict) || len(result.Current) == 0 {
			resolveAll(batch, result.Version, unknownIfConflict(err))
			return
		}
		batch = resolveExisting(batch, result.Current)
	}
}

// commit sends a transaction of submissions, or of cancels.
func (w *SubmissionWriter) commit(txn table.Txn, cancels bool) (table.Result, error) {
	timeout := commitTimeout
	if cancels {
		timeout = cancelAttemptTimeout
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result, err := w.Store.Commit(ctx, txn)
	if !cancels {
		w.latency.Store(int64(time.Since(start)))
	}
	return result, err
}

// unknownIfConflict turns a conflict into an error of unknown outcome. It is called for conflicts without existing
// rows, which can't be distinguished from a success whose response was lost.
func unknownIfConflict(err error) error {
	if !fault.IsKind(err, fault.Conflict) {
		return err
	}
	return fault.Wrap(fault.PlatformUnavailable, err, "submission conflict without an existing row").WithOutcome(fault.Unknown)
}

func resolveAll(batch []*pendingSubmission, version uint64, err error) {
	for _, s := range batch {
		stored := Submission{Job: s.job, Version: version, Digest: s.job.Digest, Tenant: s.job.Tenant}
		if s.unsubmitted != 0 {
			stored.Job, stored.Ended = nil, true
		}
		s.result <- commitResult{stored: stored, err: err}
	}
}

// resolveExisting sends the results of the submissions whose rows exist and returns the others.
func resolveExisting(batch []*pendingSubmission, current []table.Row) []*pendingSubmission {
	existing := make(map[string]table.Row)
	for _, row := range current {
		if row.Version != 0 {
			existing[row.Name] = row
		}
	}
	var remaining []*pendingSubmission
	for _, s := range batch {
		row, ok := existing[s.job.ID]
		if !ok {
			s.restore()
		}
		if !ok || s.replaceUnsubmitted(row) {
			remaining = append(remaining, s)
			continue
		}
		s.result <- s.compareStored(row)
	}
	return remaining
}

// compareStored returns the result of a submission whose ID already has a row.
func (s *pendingSubmission) compareStored(row table.Row) commitResult {
	job := s.job
	stored, err := DecodeSubmission(row)
	switch {
	case err != nil:
		return commitResult{err: err}
	case s.cancel && stored.Unsubmitted:
		return commitResult{stored: stored}
	case s.cancel:
		return commitResult{err: fault.New(fault.Conflict, "job %s was submitted meanwhile", job.ID)}
	case stored.Unsubmitted:
		return commitResult{err: fault.New(fault.KeyReused, "job %s was cancelled by another tenant", job.ID)}
	}
	if stored.Digest != job.Digest {
		return commitResult{err: fault.New(fault.KeyReused, "job %s was submitted with another body", job.ID)}
	}
	if stored.Tenant != "" && job.Tenant != "" && stored.Tenant != job.Tenant {
		return commitResult{err: fault.New(fault.KeyReused, "job %s was submitted by another tenant", job.ID)}
	}
	return commitResult{stored: stored}
}
