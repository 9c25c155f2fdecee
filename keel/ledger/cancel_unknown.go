package ledger

import (
	"context"
	"time"

	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// CancelUnknown stores that a job that isn't stored has been cancelled by the tenant, empty for none, so that no submission of it that is
// still on its way is stored. It fails with kind Conflict if the job has been submitted meanwhile, and with outcome Unknown if the
// cancel may have been stored or may still be.
func (w *SubmissionWriter) CancelUnknown(ctx context.Context, id, tenant string) error {
	stub := Stub{ID: id, Ended: true, Unsubmitted: true, Outcome: cancelledOutcome(&work.Job{Tenant: tenant})}
	s := &pendingSubmission{job: &work.Job{ID: id, Tenant: tenant}, body: Encode(stub), cancel: true, result: make(chan commitResult, 1)}
	_, err := w.enqueue(ctx, s)
	return err
}

// cancelledOutcome returns the outcome of a job that is cancelled now.
func cancelledOutcome(job *work.Job) *work.Outcome {
	return &work.Outcome{State: work.Cancelled, Queue: job.Queue, Tenant: job.Tenant, Digest: job.Digest, Ended: time.Now().UnixMilli()}
}

// replaceUnsubmitted makes the submission of a job that was cancelled before store the cancelled job in place of the row, and reports
// whether it did. Another tenant's row stays.
func (s *pendingSubmission) replaceUnsubmitted(row table.Row) bool {
	stored, err := DecodeSubmission(row)
	if err != nil || !stored.Unsubmitted || s.cancel || stored.Tenant != "" && s.job.Tenant != "" && stored.Tenant != s.job.Tenant {
		return false
	}
	s.unsubmitted = row.Version
	s.body = Encode(Stub{ID: s.job.ID, Digest: s.job.Digest, Ended: true, Outcome: cancelledOutcome(s.job)})
	return true
}

// restore makes the submission store its job again, since the row of the earlier cancel has expired.
func (s *pendingSubmission) restore() {
	if s.unsubmitted != 0 {
		s.unsubmitted, s.body = 0, Encode(s.job)
	}
}
