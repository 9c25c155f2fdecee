package claim

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
)

// Guards against expired claims that are never removed. A scan of the table lists removed rows too, and a batch of
// nothing else didn't advance the cursor.
func TestSweepPassesRemovedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformtest.New()
		s := &Sweeper{Client: p.Client("a")}
		addClaims := func(from, n int) {
			for i := from; i < from+n; i++ {
				value, err := json.Marshal(Record{UnixMillis: 1})
				assert.NilError(t, err)
				p.Table().Commit(platform.Txn{Writes: []platform.Write{{Key: fmt.Sprintf("%spartner/service/%04d", Prefix, i), Value: value}}})
			}
		}
		current := cursor{}
		sweep := func() {
			for range 20 {
				result, err := s.sweep(t.Context(), duty.Lease{Condition: platform.Condition{Key: "duty"}}, "partner/service", current, 2)
				assert.NilError(t, err)
				current = result.cursor
			}
		}
		addClaims(0, 5*sweepBatch)
		sweep()
		addClaims(5*sweepBatch, 10)
		sweep()
		for _, row := range p.Table().Scan(platform.ScanRequest{Prefix: Prefix, Limit: 1 << 20}).Rows {
			assert.Assert(t, row.Deleted(), "%s remains", row.Key)
		}
	})
}

// Guards against a claim that is never removed because another one of the same transaction expired a little earlier.
func TestSweepReturnsToLaterClaimOfTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformtest.New()
		s := &Sweeper{Client: p.Client("a")}
		var txn platform.Txn
		for i := range 2 {
			value, err := json.Marshal(Record{UnixMillis: int64(1 + i)})
			assert.NilError(t, err)
			txn.Writes = append(txn.Writes, platform.Write{Key: fmt.Sprintf("%spartner/service/%d", Prefix, i), Value: value})
		}
		p.Table().Commit(txn)
		current := cursor{}
		for _, before := range []int64{2, 3} {
			result, err := s.sweep(t.Context(), duty.Lease{Condition: platform.Condition{Key: "duty"}}, "partner/service", current, before)
			assert.NilError(t, err)
			assert.Equal(t, len(result.expired), 1)
			current = result.cursor
		}
	})
}

// Guards against removing a claim that can't be decoded, for example one of a later build, before its retention has
// passed: the request could run a second time.
func TestSweepKeepsUnreadableClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformtest.New()
		s := &Sweeper{Client: p.Client("a")}
		put := func(key string, value []byte) {
			p.Table().Commit(platform.Txn{Writes: []platform.Write{{Key: Prefix + "partner/service/" + key, Value: value}}})
		}
		put("0", []byte(`{"unix_ms":1}`))
		put("1", []byte(`{"unix_ms":"later"}`))
		put("2", nil)
		current := cursor{}
		sweep := func() int {
			result, err := s.sweep(t.Context(), duty.Lease{Condition: platform.Condition{Key: "duty"}}, "partner/service", current, 3)
			assert.NilError(t, err)
			current = result.cursor
			return len(result.expired)
		}
		assert.Equal(t, sweep(), 1)
		assert.Equal(t, sweep(), 0)
		put("3", []byte(`{"unix_ms":2}`))
		assert.Equal(t, sweep(), 2)
	})
}
