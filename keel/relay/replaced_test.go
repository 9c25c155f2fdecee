package relay

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

// Guards against results that are lost without a line in the log, or that end calls of another process, where a leader has been
// replaced at the same address by a build that doesn't know the compact form.
func TestResultsForReplacedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		var text bytes.Buffer
		server, err := NewServer()
		assert.NilError(t, err)
		defer server.Close()
		server.Log, server.Workers, server.Now = event.New(&text, false), b.workers("relay1"), b.now
		older := NewClient()
		older.Log, older.Direct, older.Address, older.Now, older.Post = &event.Log{}, b.workers("leader"), "leader", b.now, b.client.Post
		older.Send = func(_ context.Context, _ string, batch Batch) error {
			batch.Compact = false
			server.Accept(batch)
			return nil
		}
		var mu sync.Mutex
		var delivered []Results
		server.Reply = func(_ context.Context, _ string, results Results) error {
			if results.Compact {
				return fault.New(fault.NotReady, "unknown method %s", MethodCompactResults).WithOutcome(fault.Unknown)
			}
			mu.Lock()
			delivered = append(delivered, results)
			mu.Unlock()
			older.Deliver(results)
			return nil
		}
		offer := Offer{Name: "relay1", Address: "relay1", DataCentre: "a", ClockMillis: b.now().Milliseconds(), Compact: true}
		b.client.Accept(offer)
		b.client.Send = func(_ context.Context, _ string, batch Batch) error { server.Accept(batch); return nil }
		older.Accept(offer)

		to := worker.Target{ID: "w1", Address: "w1:80", DataCentre: "a"}
		ctx, cancel := context.WithTimeout(t.Context(), 220*time.Millisecond)
		defer cancel()
		_, err = b.client.Workers().Renew(ctx, to, worker.RenewOrder{Token: 1})
		assert.Equal(t, fault.As(err).Outcome(), fault.Unknown)
		ctx, cancel = context.WithTimeout(t.Context(), 220*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err = older.Workers().Renew(ctx, to, worker.RenewOrder{Token: 2})
		assert.NilError(t, err)
		assert.Check(t, time.Since(began) < 50*time.Millisecond, "the results that can't be delivered delay others by %s", time.Since(began))
		time.Sleep(2 * time.Second)
		// The log is written by a goroutine of its own.
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(delivered), 1)
		assert.Equal(t, strings.Count(text.String(), "relay_results_dropped"), 1, text.String())
		assert.Equal(t, len(older.calls), 0)
	})
}

// Guards against results of orders of an earlier process that match an order of a later one at the same address.
func TestOrderNumbersOfProcessesDiffer(t *testing.T) {
	const orders = 1 << 32
	for range 100 {
		first, second := NewClient().nextID, NewClient().nextID
		assert.Check(t, max(first, second)-min(first, second) > orders, "%d and %d", first, second)
	}
}
