package schedule

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/google/btree"

	"samphirekeel.example/keel/tenant"
)

// benchmarkTenants is the number of tenants of the target size.
const benchmarkTenants = 140

// BenchmarkTenants measures what tenants at their cap add to a pass and to the report once a second, and their memory, of 140
// tenants with 10 capped jobs each.
func BenchmarkTenants(b *testing.B) {
	f := newBacklogFleetOf(b, 1000, cappedTenant)
	var ranks []rank
	f.s.pools["p"].backlog.capped.Ascend(func(r rank) bool {
		ranks = append(ranks, r)
		return len(ranks) < 10
	})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range benchmarkTenants {
		t := &tenantState{
			name: fmt.Sprintf("team-%d", n), weight: 1, limit: tenant.Cap{MilliCores: 1000}, used: tenant.Cap{MilliCores: 1000},
			capped: btree.NewG(backlogDegree, rank.before),
		}
		for _, r := range ranks {
			t.capped.ReplaceOrInsert(r)
		}
		f.s.caps.byName[t.name] = t
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Logf("%d bytes for each tenant", (int64(after.HeapAlloc)-int64(before.HeapAlloc))/benchmarkTenants)
	b.Run("pass", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.s.releaseCapped()
		}
	})
	b.Run("report", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			f.s.reportTenants()
		}
	})
}
