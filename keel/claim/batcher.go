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
	// maxBatch is the greatest number of changes in one transaction.
	maxBatch = 256
	// maxQueue is the number of claims that may wait for a transaction.
	maxQueue = 4096
	// burst is the number of transactions that may start without a pause after a quiet time.
	burst = 4
	// commitTimeout bounds one transaction with its repeats.
	commitTimeout = time.Second
	// probeInterval is the time between two transactions while the platform doesn't answer.
	probeInterval = 500 * time.Millisecond
)

// Batcher commits the changes of many requests in shared transactions, of which one is in flight at a time.
type Batcher struct {
	Client *platform.Client
	// CommitInterval returns the mean time between two transactions, which keeps all entries together within the table's rate.
	CommitInterval func() time.Duration
	Metrics        *Metrics

	mu      sync.Mutex
	queue   []*change
	running bool
	closed  bool
	// down reports that the last transaction failed; new claims are then refused while another one is tried.
	down    bool
	probeAt time.Time
	// credit is the number of transactions that may start now, counted at the time of refilled.
	credit   float64
	refilled time.Time
}

// change is one atomic change of a few rows.
type change struct {
	conditions []platform.Condition
	writes     []platform.Write
	// keep holds the change until it has taken effect or lost its race, through an outage of any length.
	keep bool
	// done is called once with the result.
	done   func(result)
	queued time.Time
	// tokens holds the tokens of the transactions that carried the change and whose result is unknown.
	tokens []string
}

// result is what became of a change.
type result struct {
	version uint64
	// conflicts holds the present rows of the conditions that failed.
	conflicts []platform.Row
	err       error
}

// submit queues a change, or refuses a claim at once while the platform doesn't answer.
func (b *Batcher) submit(c *change) {
	b.mu.Lock()
	err := b.admit(c)
	if err != nil {
		b.mu.Unlock()
		c.done(result{err: err})
		return
	}
	c.queued = time.Now()
	b.queue = append(b.queue, c)
	start := !b.running
	b.running = true
	b.mu.Unlock()
	if start {
		go b.run()
	}
}

func (b *Batcher) admit(c *change) error {
	if c.keep {
		return nil
	}
	if b.closed {
		return fault.New(fault.Stopping, "this entry is stopping").WithRetryAfter(time.Second)
	}
	if b.down && (b.running || time.Now().Before(b.probeAt)) {
		return fault.New(fault.PlatformUnavailable, "the platform's table does not answer").WithRetryAfter(probeInterval)
	}
	if len(b.queue) >= maxQueue {
		return fault.New(fault.Overloaded, "%d claims wait for the platform's table", len(b.queue)).WithRetryAfter(time.Second)
	}
	return nil
}

// cancel drops a change that nobody waits for, unless a transaction carries it already.
func (b *Batcher) cancel(c *change) {
	b.mu.Lock()
	i := slices.Index(b.queue, c)
	if i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	b.mu.Unlock()
	if i >= 0 {
		c.done(result{err: fault.New(fault.DeadlineExceeded, "no claim before the deadline")})
	}
}

// run commits batches until the queue is empty.
func (b *Batcher) run() {
	for !b.rest() {
		time.Sleep(b.pause())
		batch := b.take()
		if len(batch) > 0 {
			b.commit(batch)
		}
	}
}

// rest ends the run if nothing is queued.
func (b *Batcher) rest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 && !b.closed {
		return false
	}
	b.running = false
	return true
}

// pause returns the time until the next transaction may start, and counts that transaction.
func (b *Batcher) pause() time.Duration {
	gap := b.CommitInterval()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	wait := time.Duration(0)
	if b.down {
		wait = max(0, b.probeAt.Sub(now))
	}
	if gap <= 0 {
		return wait
	}
	if b.refilled.IsZero() {
		b.credit = burst
	}
	b.credit = min(burst, b.credit+float64(now.Sub(b.refilled))/float64(gap))
	b.refilled = now
	b.credit--
	if b.credit < 0 {
		wait = max(wait, time.Duration(-b.credit*float64(gap)))
	}
	return wait
}

// take removes the next batch from the queue; no two of its changes touch the same row.
func (b *Batcher) take() []*change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*change
	touched := make(map[string]bool)
	for _, c := range b.queue {
		if len(batch) >= maxBatch || c.touches(touched) {
			rest = append(rest, c)
			continue
		}
		for _, condition := range c.conditions {
			touched[condition.Key] = true
		}
		batch = append(batch, c)
	}
	b.queue = rest
	return batch
}

func (c *change) touches(rows map[string]bool) bool {
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
	began := time.Now()
	answer, err := b.Client.Commit(ctx, txn)
	b.Metrics.observe(batch, began, err)
	switch {
	case err == nil:
		b.setDown(false)
		for _, c := range batch {
			c.done(result{version: answer.Version})
		}
	case fault.IsKind(err, fault.Conflict):
		b.setDown(false)
		b.split(batch, txn.Token, answer.Conflicts)
	default:
		b.setDown(true)
		b.failed(batch, txn.Token, err)
	}
}

func (b *Batcher) setDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = down
	b.probeAt = time.Now().Add(probeInterval)
}

// split settles the changes whose conditions failed and queues the others again, before all that wait.
func (b *Batcher) split(batch []*change, token string, conflicts []platform.Row) {
	failed := make(map[string]platform.Row, len(conflicts))
	for _, row := range conflicts {
		failed[row.Key] = row
	}
	var again []*change
	for _, c := range batch {
		rows := c.conflicts(failed)
		if len(rows) == 0 {
			again = append(again, c)
			continue
		}
		c.done(c.lost(token, rows))
	}
	b.requeue(again)
}

func (c *change) conflicts(failed map[string]platform.Row) []platform.Row {
	var rows []platform.Row
	for _, condition := range c.conditions {
		row, ok := failed[condition.Key]
		if ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// lost tells a change that lost its race from one that had taken effect in a transaction whose answer was lost.
func (c *change) lost(token string, rows []platform.Row) result {
	c.tokens = append(c.tokens, token)
	for _, row := range rows {
		if slices.Contains(c.tokens, row.Token) {
			return result{version: row.Version}
		}
	}
	return result{conflicts: rows, err: fault.New(fault.Conflict, "a row of the claim was changed")}
}

// failed refuses the claims of a transaction that the platform didn't answer and keeps the rest for the next.
func (b *Batcher) failed(batch []*change, token string, err error) {
	var again []*change
	for _, c := range batch {
		if c.keep {
			c.tokens = append(c.tokens, token)
			again = append(again, c)
			continue
		}
		c.done(result{err: err})
	}
	b.requeue(again)
	b.refuseWaiting()
}

func (b *Batcher) requeue(changes []*change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(changes, b.queue...)
}

// refuseWaiting refuses the claims that wait for a platform that doesn't answer.
func (b *Batcher) refuseWaiting() {
	b.mu.Lock()
	var refused, kept []*change
	for _, c := range b.queue {
		if c.keep {
			kept = append(kept, c)
			continue
		}
		refused = append(refused, c)
	}
	b.queue = kept
	b.mu.Unlock()
	err := fault.New(fault.PlatformUnavailable, "the platform's table does not answer").WithRetryAfter(probeInterval)
	for _, c := range refused {
		c.done(result{err: err})
	}
}

// Close gives up the changes that are queued; it comes after Flush, when no request is in flight.
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
		time.Sleep(flushPoll)
	}
}

// flushPoll is the time between two looks whether the queue is empty.
const flushPoll = 2 * time.Millisecond
