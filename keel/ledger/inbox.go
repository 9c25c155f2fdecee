package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

const (
	// inboxJobs and inboxBytes bound one transaction of submissions: the store takes 100 entries, two for each job,
	// and 1 MB in base 64.
	inboxJobs  = 48
	inboxBytes = 400_000
	// inboxTimeout bounds one transaction; the store at 60 times its usual time needs about 0.8 s.
	inboxTimeout = 2 * time.Second
	// inboxLimit bounds the submissions that wait in one part; those beyond are refused.
	inboxLimit = 2000
)

// SubmissionWriter stores submissions, those of one part in shared transactions of which one is under way at a time.
type SubmissionWriter struct {
	Table *table.Store

	parts   [SubmissionPartitions]inboxPart
	latency atomic.Int64
}

// inboxPart is the queue of one part.
type inboxPart struct {
	mu    sync.Mutex
	queue []*submission
	busy  bool
}

// submission is a job that waits to be stored.
type submission struct {
	job  *work.Job
	body []byte
	// gone is set once the caller no longer waits.
	gone bool
	done chan inboxResult
}

type inboxResult struct {
	version uint64
	err     error
}

// Latency returns how long the latest transaction took.
func (x *SubmissionWriter) Latency() time.Duration { return time.Duration(x.latency.Load()) }

// Submit takes a job in. It fails with kind KeyReused if the ID was used for another job, and with outcome Unknown if
// the job may have been or may yet be taken in.
func (x *SubmissionWriter) Submit(ctx context.Context, job *work.Job) (uint64, error) {
	s := &submission{job: job, body: Encode(job), done: make(chan inboxResult, 1)}
	p := &x.parts[partNumber(job.ID)]
	p.mu.Lock()
	if len(p.queue) >= inboxLimit {
		p.mu.Unlock()
		return 0, fault.New(fault.Overloaded, "%d submissions are waiting to be stored", inboxLimit).WithOutcome(fault.NotRun)
	}
	p.queue = append(p.queue, s)
	start := !p.busy
	p.busy = true
	p.mu.Unlock()
	if start {
		go x.run(p)
	}
	select {
	case r := <-s.done:
		return r.version, r.err
	case <-ctx.Done():
		return x.abandon(p, s)
	}
}

// abandon takes back a submission that isn't in a transaction yet.
func (x *SubmissionWriter) abandon(p *inboxPart, s *submission) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, waiting := range p.queue {
		if waiting == s {
			s.gone = true
			return 0, fault.New(fault.PlatformUnavailable, "job %s was not sent to the store in time", s.job.ID).WithOutcome(fault.NotRun)
		}
	}
	return 0, fault.New(fault.PlatformUnavailable, "the store did not answer about job %s in time", s.job.ID).WithOutcome(fault.Unknown)
}

// run stores what waits in a part until nothing does.
func (x *SubmissionWriter) run(p *inboxPart) {
	for {
		batch := p.next()
		if len(batch) == 0 {
			return
		}
		x.commit(batch)
	}
}

// next takes the submissions of the next transaction; the same ID is never in it twice.
func (p *inboxPart) next() []*submission {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch, rest []*submission
	ids := make(map[string]bool)
	size := 0
	for _, s := range p.queue {
		switch {
		case s.gone:
		case len(batch) < inboxJobs && size+len(s.body) < inboxBytes && !ids[s.job.ID]:
			batch = append(batch, s)
			ids[s.job.ID] = true
			size += len(s.body)
		default:
			rest = append(rest, s)
		}
	}
	p.queue = rest
	p.busy = len(batch) > 0
	return batch
}

// commit stores the batch without the jobs that are known already, which it answers.
func (x *SubmissionWriter) commit(batch []*submission) {
	for len(batch) > 0 {
		var txn table.Txn
		for _, s := range batch {
			k := SubmissionKey(s.job.ID)
			txn.Conditions = append(txn.Conditions, table.Condition{Key: k})
			txn.Writes = append(txn.Writes, table.Write{Key: k, Value: s.body})
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), inboxTimeout)
		result, err := x.Table.Commit(ctx, txn)
		cancel()
		x.latency.Store(int64(time.Since(began)))
		if !fault.IsKind(err, fault.Conflict) || len(result.Current) == 0 {
			answerAll(batch, inboxResult{version: result.Version, err: doubted(err)})
			return
		}
		batch = answerKnown(batch, result.Current)
	}
}

// doubted turns a conflict that names no row, which can't be told from a success whose answer was lost, into a doubt.
func doubted(err error) error {
	if !fault.IsKind(err, fault.Conflict) {
		return err
	}
	return fault.Wrap(fault.PlatformUnavailable, err, "the row of an earlier submission is missing").WithOutcome(fault.Unknown)
}

func answerAll(batch []*submission, r inboxResult) {
	for _, s := range batch {
		s.done <- r
	}
}

// answerKnown answers the submissions whose rows exist and returns the others.
func answerKnown(batch []*submission, present []table.Row) []*submission {
	known := make(map[string]table.Row)
	for _, row := range present {
		known[row.Name] = row
	}
	var rest []*submission
	for _, s := range batch {
		row, ok := known[s.job.ID]
		if !ok {
			rest = append(rest, s)
			continue
		}
		s.done <- repeated(s.job, row)
	}
	return rest
}

// repeated compares a submission with the row that stands under its ID.
func repeated(job *work.Job, row table.Row) inboxResult {
	found, err := DecodeSubmission(row)
	if err != nil {
		return inboxResult{err: err}
	}
	if found.Digest != job.Digest {
		return inboxResult{err: fault.New(fault.KeyReused, "job %s was submitted with another body", job.ID)}
	}
	return inboxResult{version: found.Version}
}
