package site

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
)

const (
	// pendingReadTimeout is the timeout of a read of all stored jobs.
	pendingReadTimeout = 3 * time.Second
	// pendingReuseTime is how long the numbers of a read are used, from its beginning. They may be 2 s old.
	pendingReuseTime = 500 * time.Millisecond
)

// pendingCounts holds the number of pending jobs of each queue, as read from the store. One read serves all requests that wait for it:
// it holds all stored jobs.
type pendingCounts struct {
	reads singleflight.Group

	mu     sync.Mutex
	readAt time.Time
	counts map[string]int
}

// pendingJobs returns the number of the queue's jobs of which no task has started, and whether it comes from the leader
// or the store.
func (s *Entry) pendingJobs(ctx context.Context, name string) (int, string, error) {
	r, ok := s.queryLeader(ctx, methodPending, query{Name: name}, s.handlePending)
	if ok {
		return r.Pending, viaLeader, nil
	}
	pending, err := s.pending.count(ctx, name, func(ctx context.Context) (ledger.Contents, error) { return ledger.Load(ctx, s.Store) })
	if err != nil {
		return 0, viaStore, fault.Wrap(fault.PlatformUnavailable, err, "number of pending jobs unavailable from the leader and the store").WithRetryAfter(retryAfter)
	}
	return pending, viaStore, nil
}

// count returns the number of the queue's pending jobs. It reads all jobs with load if the last read is too old, and fails if ctx ends
// before they are read.
func (p *pendingCounts) count(ctx context.Context, name string, load func(context.Context) (ledger.Contents, error)) (int, error) {
	p.mu.Lock()
	counts, age := p.counts, time.Since(p.readAt)
	p.mu.Unlock()
	if counts != nil && age < pendingReuseTime {
		return counts[name], nil
	}
	read := p.reads.DoChan("", func() (any, error) { return p.read(load) })
	select {
	case result := <-read:
		if result.Err != nil {
			return 0, result.Err
		}
		return result.Val.(map[string]int)[name], nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// read reads all jobs and counts the pending ones of each queue.
func (p *pendingCounts) read(load func(context.Context) (ledger.Contents, error)) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pendingReadTimeout)
	defer cancel()
	began := time.Now()
	contents, err := load(ctx)
	if err != nil {
		return nil, err
	}
	counts := countPending(contents)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt, p.counts = began, counts
	return counts, nil
}

// countPending returns the number of each queue's jobs that have no stored start and are not cancelled.
func countPending(c ledger.Contents) map[string]int {
	counts := make(map[string]int)
	for _, submission := range c.Jobs {
		entry := c.JobRecords[submission.Job.ID]
		started := entry.Outcome != nil || entry.Progress != nil && entry.Progress.Started
		if !started && len(c.Cancels[submission.Job.ID]) == 0 {
			counts[submission.Job.Queue]++
		}
	}
	return counts
}
