package platform

import (
	"context"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
)

// Reader batches the row reads of concurrent callers into shared reads of the table, one in flight at a time.
// Its methods are safe for concurrent use.
type Reader struct {
	Client *Client
	// Timeout is the timeout of one shared read.
	Timeout time.Duration
	// MaxKeys is the maximum number of keys in one shared read.
	MaxKeys int
	// BatchDelay is the time that the first read of an idle Reader waits for others to join its batch.
	BatchDelay time.Duration

	mu      sync.Mutex
	queue   []*lookup
	running bool
}

// lookup is the queued request of one caller.
type lookup struct {
	keys []string
	done chan lookupResult
}

type lookupResult struct {
	rows []Row
	err  error
}

// Get reads rows by key, in the order of the keys; a row that doesn't exist has version 0.
func (r *Reader) Get(ctx context.Context, keys ...string) ([]Row, error) {
	request := &lookup{keys: keys, done: make(chan lookupResult, 1)}
	r.mu.Lock()
	r.queue = append(r.queue, request)
	start := !r.running
	r.running = true
	r.mu.Unlock()
	if start {
		go r.run()
	}
	select {
	case result := <-request.done:
		return result.rows, result.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.PlatformUnavailable, ctx.Err(), "read rows")
	}
}

// run reads batches until the queue is empty.
func (r *Reader) run() {
	if r.BatchDelay > 0 {
		time.Sleep(r.BatchDelay)
	}
	for {
		batch, keys := r.nextBatch()
		if len(batch) == 0 {
			return
		}
		r.read(batch, keys)
	}
}

// read reads the rows of a batch and sends each caller its part of the result.
func (r *Reader) read(batch []*lookup, keys []string) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	rows, err := r.Client.Get(ctx, keys...)
	for _, request := range batch {
		if err != nil {
			request.done <- lookupResult{err: err}
			continue
		}
		request.done <- lookupResult{rows: rows[:len(request.keys)]}
		rows = rows[len(request.keys):]
	}
}

// nextBatch removes the next batch from the queue and clears running if there is none.
func (r *Reader) nextBatch() ([]*lookup, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	n := 0
	for n < len(r.queue) && len(keys)+len(r.queue[n].keys) <= r.MaxKeys {
		keys = append(keys, r.queue[n].keys...)
		n++
	}
	batch := r.queue[:n:n]
	r.queue = r.queue[n:]
	r.running = n > 0
	return batch, keys
}
