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
	// maxChangesPerTxn bounds the callers' changes in one transaction.
	maxChangesPerTxn = 128
	// maxPendingChanges bounds the callers' changes that wait; those beyond are refused as not run.
	maxPendingChanges = 4096
	// minCommitInterval is the least time between two transactions of callers' changes that aren't urgent.
	minCommitInterval = 100 * time.Millisecond
)

// change is one caller's change of one job's row.
type change struct {
	condition platform.Condition
	write     platform.Write
	urgent    bool
	done      chan changeResult
}

// changeResult tells a caller what became of its change; present is the row that it lost to.
type changeResult struct {
	currentRow platform.Row
	err        error
}

// commitQueue commits the changes of many callers in shared transactions, one in flight at a time.
type commitQueue struct {
	client      *platform.Client
	mu          sync.Mutex
	pending     []*change
	running     bool
	lastRegular time.Time
}

// submit queues the change and waits for its result or the end of ctx.
func (x *commitQueue) submit(ctx context.Context, c *change) changeResult {
	c.done = make(chan changeResult, 1)
	x.mu.Lock()
	if len(x.pending) >= maxPendingChanges {
		x.mu.Unlock()
		return changeResult{err: fault.New(fault.Overloaded, "too many changes of jobs are waiting").After(time.Second)}
	}
	x.pending = append(x.pending, c)
	start := !x.running
	x.running = true
	x.mu.Unlock()
	if start {
		go x.run()
	}
	select {
	case result := <-c.done:
		return result
	case <-ctx.Done():
		return x.withdraw(c)
	}
}

// withdraw takes back a change that isn't in a transaction yet.
func (x *commitQueue) withdraw(c *change) changeResult {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := slices.Index(x.pending, c)
	if at < 0 {
		return changeResult{err: fault.New(fault.PlatformUnavailable, "the change of the job is not answered yet").WithOutcome(fault.Unknown)}
	}
	x.pending = slices.Delete(x.pending, at, at+1)
	return changeResult{err: fault.New(fault.DeadlineExceeded, "the change of the job waited too long").After(time.Second)}
}

func (x *commitQueue) run() {
	time.Sleep(batchDelay)
	for {
		batch := x.nextBatch()
		if len(batch) == 0 {
			return
		}
		x.commit(batch)
	}
}

// nextBatch takes the urgent changes, or after the pause the others, and ends the run when there are none.
func (x *commitQueue) nextBatch() []*change {
	for {
		x.mu.Lock()
		urgent := slices.ContainsFunc(x.pending, func(c *change) bool { return c.urgent })
		pause := minCommitInterval - time.Since(x.lastRegular)
		if len(x.pending) == 0 {
			x.running = false
			x.mu.Unlock()
			return nil
		}
		if urgent || pause <= 0 {
			batch := x.dequeueLocked(urgent)
			x.mu.Unlock()
			return batch
		}
		x.mu.Unlock()
		time.Sleep(min(pause, minCommitInterval/8))
	}
}

func (x *commitQueue) dequeueLocked(urgent bool) []*change {
	var batch, rest []*change
	for _, c := range x.pending {
		if len(batch) < maxChangesPerTxn && c.urgent == urgent && !containsKey(batch, c.write.Key) {
			batch = append(batch, c)
		} else {
			rest = append(rest, c)
		}
	}
	x.pending = rest
	slices.SortFunc(batch, func(a, b *change) int { return cmp.Compare(a.write.Key, b.write.Key) })
	if !urgent {
		x.lastRegular = time.Now()
	}
	return batch
}

func containsKey(batch []*change, key string) bool {
	return slices.ContainsFunc(batch, func(c *change) bool { return c.write.Key == key })
}

// commit commits the batch without the changes that lost to another row, which it answers with that row.
func (x *commitQueue) commit(batch []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for len(batch) > 0 {
		txn := platform.Txn{Token: platform.NewToken()}
		for _, c := range batch {
			txn.Conditions = append(txn.Conditions, c.condition)
			txn.Writes = append(txn.Writes, c.write)
		}
		result, err := x.client.Commit(ctx, txn)
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

// completeConflicting answers the changes whose rows are other than they expected and returns the rest.
func completeConflicting(batch []*change, conflicts []platform.Row, err error) []*change {
	present := make(map[string]platform.Row)
	for _, row := range conflicts {
		present[row.Key] = row
	}
	var rest []*change
	for _, c := range batch {
		row, lost := present[c.write.Key]
		if !lost {
			rest = append(rest, c)
			continue
		}
		c.done <- changeResult{currentRow: row, err: err}
	}
	return rest
}
