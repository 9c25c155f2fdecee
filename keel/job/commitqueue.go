package job

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	maxChangesPerTxn = 128
	// maxPendingChanges limits the backlog; changes beyond it are rejected with outcome not_run.
	maxPendingChanges = 4096
	// minCommitInterval is the minimum time between transactions of changes that aren't urgent.
	minCommitInterval = 100 * time.Millisecond
)

// change is a caller's conditional write of one job row.
type change struct {
	condition platform.Condition
	write     platform.Write
	urgent    bool
	done      chan changeResult
}

// changeResult is the outcome of a change.
type changeResult struct {
	// currentRow is the stored row if the change's condition didn't hold.
	currentRow platform.Row
	err        error
}

// commitQueue batches the changes of concurrent callers into transactions, one in flight at a time; it is safe for
// concurrent use.
type commitQueue struct {
	client  *platform.Client
	mu      sync.Mutex
	pending []*change
	// running reports that a goroutine is committing batches; it exits when pending is empty.
	running bool
	// lastNonUrgent is when the last batch of changes that aren't urgent left the queue.
	lastNonUrgent time.Time
}

// submit queues the change and waits for its result or until ctx ends.
func (q *commitQueue) submit(ctx context.Context, c *change) changeResult {
	c.done = make(chan changeResult, 1)
	q.mu.Lock()
	if len(q.pending) >= maxPendingChanges {
		q.mu.Unlock()
		return changeResult{err: fault.New(fault.Overloaded, "too many job changes are pending").WithRetryAfter(time.Second)}
	}
	q.pending = append(q.pending, c)
	start := !q.running
	q.running = true
	q.mu.Unlock()
	if start {
		go q.run()
	}
	select {
	case result := <-c.done:
		return result
	case <-ctx.Done():
		return q.withdraw(c)
	}
}

// withdraw removes a change that isn't in a transaction yet; for one that is, it returns an error with outcome unknown.
func (q *commitQueue) withdraw(c *change) changeResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := slices.Index(q.pending, c)
	if at < 0 {
		return changeResult{err: fault.New(fault.PlatformUnavailable, "the commit of the job change is still in flight").WithOutcome(fault.Unknown)}
	}
	q.pending = slices.Delete(q.pending, at, at+1)
	return changeResult{err: fault.New(fault.DeadlineExceeded, "the job change was not committed before its deadline").WithRetryAfter(time.Second)}
}

func (q *commitQueue) run() {
	time.Sleep(batchDelay)
	for {
		batch := q.nextBatch()
		if len(batch) == 0 {
			return
		}
		q.commit(batch)
	}
}

// nextBatch dequeues the urgent changes at once or, minCommitInterval after the last such batch, the others. It returns
// nil and clears running if none are pending.
func (q *commitQueue) nextBatch() []*change {
	for {
		q.mu.Lock()
		urgent := slices.ContainsFunc(q.pending, func(c *change) bool { return c.urgent })
		pause := minCommitInterval - time.Since(q.lastNonUrgent)
		if len(q.pending) == 0 {
			q.running = false
			q.mu.Unlock()
			return nil
		}
		if urgent || pause <= 0 {
			batch := q.dequeueLocked(urgent)
			q.mu.Unlock()
			return batch
		}
		q.mu.Unlock()
		time.Sleep(min(pause, minCommitInterval/8))
	}
}

func (q *commitQueue) dequeueLocked(urgent bool) []*change {
	var batch, rest []*change
	for _, c := range q.pending {
		if len(batch) < maxChangesPerTxn && c.urgent == urgent && !containsKey(batch, c.write.Key) {
			batch = append(batch, c)
		} else {
			rest = append(rest, c)
		}
	}
	q.pending = rest
	slices.SortFunc(batch, func(a, b *change) int { return cmp.Compare(a.write.Key, b.write.Key) })
	if !urgent {
		q.lastNonUrgent = time.Now()
	}
	return batch
}

func containsKey(batch []*change, key string) bool {
	return slices.ContainsFunc(batch, func(c *change) bool { return c.write.Key == key })
}

// commit commits the batch; changes whose condition doesn't hold get the conflict as their result, and the rest is
// retried.
func (q *commitQueue) commit(batch []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for len(batch) > 0 {
		txn := platform.Txn{Token: platform.NewToken()}
		for _, c := range batch {
			txn.Conditions = append(txn.Conditions, c.condition)
			txn.Writes = append(txn.Writes, c.write)
		}
		result, err := q.client.Commit(ctx, txn)
		if !fault.IsKind(err, fault.Conflict) || len(result.Conflicts) == 0 {
			completeAll(batch, changeResult{err: err})
			return
		}
		batch = completeConflicting(batch, result.Conflicts, err)
	}
}

func completeAll(batch []*change, result changeResult) {
	for _, c := range batch {
		c.done <- result
	}
}

// completeConflicting ends the changes of conflicting rows with err and returns the others.
func completeConflicting(batch []*change, conflicts []platform.Row, err error) []*change {
	current := make(map[string]platform.Row)
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var rest []*change
	for _, c := range batch {
		row, conflicting := current[c.write.Key]
		if !conflicting {
			rest = append(rest, c)
			continue
		}
		c.done <- changeResult{currentRow: row, err: err}
	}
	return rest
}
