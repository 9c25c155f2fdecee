package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
)

// ready reports whether the scheduler has taken over.
func (b *testbed) ready() bool {
	ready := false
	b.onLoop(func() { ready = b.s.Ready() })
	return ready
}

// Guards against a takeover that never ends because a partition has more rows than can be read within one timeout while
// the store is slow.
func TestTakeoverOfLargePartition(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for i := range 8000 {
			id := fmt.Sprintf("%016x", i)
			stub := ledger.Stub{ID: id, Ended: true}
			b.store.Put(table.Write{Key: table.Key{Table: ledger.Submissions, Partition: "0", Name: id}, Value: ledger.Encode(stub)})
		}
		b.store.Inject(&emulator.StoreFault{SlowFactor: 60})
		b.startEpoch(1, "p")
		time.Sleep(15 * time.Second)
		assert.Assert(t, b.ready())
	})
}

// Guards against a takeover that starts again from the first partition whenever a call for one of them fails.
func TestTakeoverRepeatsOnlyFailedCalls(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		inner := b.store.Client("leader").Commit
		calls := make(map[string]int)
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			b.mu.Lock()
			partition := txn.Writes[0].Partition
			calls[partition]++
			n := calls[partition]
			b.mu.Unlock()
			// Each partition loses the response of another attempt.
			if (partition == "ledger0" && n == 1) || (partition == "ledger1" && n == 2) || (partition == "ledger2" && n == 3) {
				<-ctx.Done()
				return table.Result{}, fault.New(fault.PlatformUnavailable, "response lost").WithOutcome(fault.Unknown)
			}
			return inner(ctx, txn)
		})
		b.startEpoch(1, "p")
		time.Sleep(3 * time.Second)
		assert.Assert(t, b.ready())
		b.mu.Lock()
		defer b.mu.Unlock()
		assert.DeepEqual(t, calls, map[string]int{"ledger0": 2, "ledger1": 1, "ledger2": 1})
	})
}

// Guards against a takeover that waits for seconds for one lost response of the store.
func TestTakeoverSoonAfterLostResponse(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		inner := b.store.Client("leader").Commit
		first := true
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			b.mu.Lock()
			lost := first
			first = false
			b.mu.Unlock()
			if !lost {
				return inner(ctx, txn)
			}
			_, err := inner(ctx, txn)
			assert.NilError(b.t, err)
			<-ctx.Done()
			return table.Result{}, fault.New(fault.PlatformUnavailable, "response lost").WithOutcome(fault.Unknown)
		})
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		assert.Assert(t, b.ready())
	})
}
