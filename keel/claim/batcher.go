package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
)

const (
	maxChangesPerTxn = 256
	// maxPendingChanges limits the backlog; claims beyond it are rejected.
	maxPendingChanges = 4096
	// maxTxnBurst is the number of transactions that may start without a delay after an idle time.
	maxTxnBurst = 4
	// commitTimeout is the timeout of one transaction with its retries.
	commitTimeout = time.Second
	// probeInterval is the time between transactions while the platform is unavailable.
	probeInterval = 500 * time.Millisecond
)

// Batcher commits the changes of many requests in shared transactions, one in flight at a time; it is safe for
// concurrent use.
type Batcher struct {
	Client *platform.Client
	// CommitInterval returns the mean time between transactions, with which all entries together stay within the
	// table's rate.
	CommitInterval func() time.Duration
	Metrics        *Metrics

	mu      sync.Mutex
	pending []*change
	// running reports that a goroutine is in run.
	running bool
	closed  bool
	// unavailable reports that the last transaction failed; new claims are then rejected, except for one that probes
	// the platform after probeAt.
	unavailable bool
	probeAt     time.Time
	// credit is the number of transactions that could start without delay at refilledAt; a negative one is a debt.
	credit     float64
	refilledAt time.Time
}

// change is an atomic conditional write of a few rows.
type change struct {
	conditions []platform.Condition
	writes     []platform.Write
	// retry keeps the change queued through an outage of any length, until it is committed or its conditions fail.
	retry bool
	// done is called once with the result.
	done     func(changeResult)
	queuedAt time.Time
	// tokens holds the tokens of earlier transactions with the change whose outcome is unknown.
	tokens []string
}

// changeResult is the outcome of a change.
type changeResult struct {
	version uint64
	// conflicts holds the stored rows of the conditions that failed.
	conflicts []platform.Row
	err       error
}

// submit queues a change, or rejects a claim at once while the platform is unavailable.
func (b *Batcher) submit(c *change) {
	b.mu.Lock()
	err := b.admit(c)
	if err != nil {
		b.mu.Unlock()
		c.done(changeResult{err: err})
		return
	}
	c.queuedAt = time.Now()
	b.pending = append(b.pending, c)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		go b.run()
	}
}

func (b *Batcher) admit(c *change) error {
	if c.retry {
		return nil
	}
	if b.closed {
		return fault.New(fault.Stopping, "this entry is stopping").WithRetryAfter(time.Second)
	}
	if b.unavailable && (b.running || time.Now().Before(b.probeAt)) {
		return fault.New(fault.PlatformUnavailable, "the platform's table is not responding; key not claimed").WithRetryAfter(probeInterval)
	}
	if len(b.pending) >= maxPendingChanges {
		return fault.New(fault.Overloaded, "claim backlog full: %d changes pending", len(b.pending)).WithRetryAfter(time.Second)
	}
	return nil
}

// cancel removes a change from the queue unless it is in a transaction already.
func (b *Batcher) cancel(c *change) {
	b.mu.Lock()
	i := slices.Index(b.pending, c)
	if i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
	b.mu.Unlock()
	if i >= 0 {
		c.done(changeResult{err: fault.New(fault.DeadlineExceeded, "the key was not claimed before the deadline")})
	}
}

// run commits batches until the queue is empty.
func (b *Batcher) run() {
	for !b.stopIfIdle() {
		time.Sleep(b.reserveDelay())
		batch := b.nextBatch()
		if len(batch) > 0 {
			b.commit(batch)
		}
	}
}

// stopIfIdle clears running and returns true if nothing is queued or the Batcher is closed.
func (b *Batcher) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 && !b.closed {
		return false
	}
	b.running = false
	return true
}

// reserveDelay takes the credit for the next transaction and returns the time until it may start.
func (b *Batcher) reserveDelay() time.Duration {
	interval := b.CommitInterval()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	wait := time.Duration(0)
	if b.unavailable {
		wait = max(0, b.probeAt.Sub(now))
	}
	if interval <= 0 {
		return wait
	}
	if b.refilledAt.IsZero() {
		b.credit = maxTxnBurst
	}
	b.credit = min(maxTxnBurst, b.credit+float64(now.Sub(b.refilledAt))/float64(interval))
	b.refilledAt = now
	b.credit--
	if b.credit < 0 {
		wait = max(wait, time.Duration(-b.credit*float64(interval)))
	}
	return wait
}

// nextBatch removes the next batch from the queue; no two of its changes write the same row.
func (b *Batcher) nextBatch() []*change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*change
	rows := make(map[string]bool)
	for _, c := range b.pending {
		if len(batch) >= maxChangesPerTxn || c.overlaps(rows) {
			remaining = append(remaining, c)
			continue
		}
		for _, condition := range c.conditions {
			rows[condition.Key] = true
		}
		batch = append(batch, c)
	}
	b.pending = remaining
	return batch
}

func (c *change) overlaps(rows map[string]bool) bool {
	for _, condition := range c.conditions {
		if rows[condition.Key] {
			return true
		}
	}
	return false
}

func (b *Batcher) commit(batch []*change) {
	txn := platform.Txn{Token: platform.NewToken()}
	for _, c := range batch {
		txn.Conditions = append(txn.Conditions, c.conditions...)
		txn.Writes = append(txn.Writes, c.writes...)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	start := time.Now()
	result, err := b.Client.Commit(ctx, txn)
	b.Metrics.observe(batch, start, err)
	switch {
	case err == nil:
		b.setUnavailable(false)
		for _, c := range batch {
			c.done(changeResult{version: result.Version})
		}
	case fault.IsKind(err, fault.Conflict):
		b.setUnavailable(false)
		b.resolveConflicts(batch, txn.Token, result.Conflicts)
	default:
		b.setUnavailable(true)
		b.handleFailure(batch, txn.Token, err)
	}
}

func (b *Batcher) setUnavailable(unavailable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unavailable = unavailable
	b.probeAt = time.Now().Add(probeInterval)
}

// resolveConflicts ends the changes whose conditions failed and puts the others back at the head of the queue.
func (b *Batcher) resolveConflicts(batch []*change, token string, conflicts []platform.Row) {
	failed := make(map[string]platform.Row, len(conflicts))
	for _, row := range conflicts {
		failed[row.Key] = row
	}
	var retried []*change
	for _, c := range batch {
		rows := c.conflictingRows(failed)
		if len(rows) == 0 {
			retried = append(retried, c)
			continue
		}
		c.done(c.conflictResult(token, rows))
	}
	b.requeue(retried)
}

func (c *change) conflictingRows(failed map[string]platform.Row) []platform.Row {
	var rows []platform.Row
	for _, condition := range c.conditions {
		row, ok := failed[condition.Key]
		if ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// conflictResult returns success if a stored row has the token of one of the change's transactions, which then took
// effect although its response was lost, and a conflict otherwise.
func (c *change) conflictResult(token string, rows []platform.Row) changeResult {
	c.tokens = append(c.tokens, token)
	for _, row := range rows {
		if slices.Contains(c.tokens, row.Token) {
			return changeResult{version: row.Version}
		}
	}
	return changeResult{conflicts: rows, err: fault.New(fault.Conflict, "the claim row was changed by another transaction")}
}

// handleFailure rejects all pending claims after a failed transaction and queues its other changes again.
func (b *Batcher) handleFailure(batch []*change, token string, err error) {
	var retried []*change
	for _, c := range batch {
		if c.retry {
			c.tokens = append(c.tokens, token)
			retried = append(retried, c)
			continue
		}
		c.done(changeResult{err: err})
	}
	b.requeue(retried)
	b.rejectPending()
}

func (b *Batcher) requeue(changes []*change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(changes, b.pending...)
}

// rejectPending rejects the queued claims while the platform is unavailable.
func (b *Batcher) rejectPending() {
	b.mu.Lock()
	var rejected, remaining []*change
	for _, c := range b.pending {
		if c.retry {
			remaining = append(remaining, c)
			continue
		}
		rejected = append(rejected, c)
	}
	b.pending = remaining
	b.mu.Unlock()
	err := fault.New(fault.PlatformUnavailable, "the platform's table is not responding; key not claimed").WithRetryAfter(probeInterval)
	for _, c := range rejected {
		c.done(changeResult{err: err})
	}
}

// Close discards the queued changes; the caller must have called Flush and have no request in flight.
func (b *Batcher) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// Flush waits until nothing is queued or in flight, or ctx ends.
func (b *Batcher) Flush(ctx context.Context) {
	for {
		b.mu.Lock()
		running := b.running
		b.mu.Unlock()
		if !running || ctx.Err() != nil {
			return
		}
		time.Sleep(flushPollInterval)
	}
}

// flushPollInterval is the time between checks whether the queue is empty.
const flushPollInterval = 2 * time.Millisecond
