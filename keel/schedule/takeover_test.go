package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
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
