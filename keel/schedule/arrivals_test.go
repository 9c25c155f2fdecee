package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// Guards against a pool that is thought to need nothing in its peak because its jobs become known three seconds after they were
// accepted, while the store is slow.
func TestJobsKnownLateCountAsArrivals(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		for i := range 4 {
			b.fleet.Add(fmt.Sprintf("s%d", i), "spare", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
		}
		b.forecastPeaks = true
		b.startEpoch(1, "p", "q")
		time.Sleep(2 * time.Second)
		for i := range 30 {
			job := singleStepJob(fmt.Sprintf("%016x", 0xc000+i), "p", 8, 500*time.Millisecond)
			job.Accepted = time.Now().Add(-3 * time.Second).UnixMilli()
			b.submit(job, 500*time.Millisecond)
			time.Sleep(66 * time.Millisecond)
		}
		perSecond := 0.0
		b.onLoop(func() { perSecond = b.s.pools["p"].arrivals.Level(b.s.Now()).PerSecond })
		// 15 jobs per second of eight tasks that take half a core-second each.
		assert.Check(t, perSecond > 40_000 && perSecond < 80_000, "rate is %.0f milli-cores, 60000 arrive", perSecond)
		time.Sleep(5 * time.Second)
	})
}
