package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// Guards against a pool that gets no instance because the one that is reclaimed for it never becomes idle: a task there takes much
// longer than estimated. Other instances of the same pool could be reclaimed at any time.
func TestReclaimLeavesOutOverdueRuns(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		size := work.Size{MilliCores: 16000, MemoryMB: 32768}
		b.fleet.Add("m1", "p", "a", "r0", size)
		b.fleet.Add("m2", "p", "a", "r1", size)
		b.fleet.Add("m3", "p", "a", "r1", size)
		b.startEpoch(1, "p", "q")
		time.Sleep(500 * time.Millisecond)
		overdue := singleStepJob("00000000000000a1", "p", 1, 500*time.Millisecond)
		overdue.Steps[0].Label = "r0"
		b.submit(overdue, time.Minute)
		go func() {
			for n := range 250 {
				short := singleStepJob(fmt.Sprintf("%016x", 0xb000+n), "p", 2, 250*time.Millisecond)
				short.Steps[0].Label, short.Steps[0].MaxPerWorker = "r1", 1
				short.Steps[0].Size.MilliCores = 2000
				b.submit(short, 250*time.Millisecond)
				time.Sleep(200 * time.Millisecond)
			}
		}()
		time.Sleep(5 * time.Second)
		lasting := longRunningJob(1, 1)
		lasting.ID, lasting.Queue = "00000000000000a2", "q"
		b.submit(lasting, 0)
		assert.Check(t, b.timeUntilLongRunning(30*time.Second) < 10*time.Second)
		time.Sleep(time.Minute)
	})
}
