package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// Guards against ends that are never acknowledged: each failed run of a long-running task was added to its job's record, which
// grew until the store rejected it, and held back all later ends of the workers that run the job.
func TestFailuresOfLongRunningTasksHoldNoEnds(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		const others = 60
		b.store.RowBytes = 8192
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := longRunningJob(24, 1)
		job.Steps[0].Size.MilliCores = 50
		b.submitWith(job, 0, true)
		for i := range others {
			b.submit(singleStepJob(fmt.Sprintf("%016x", i), "p", 4, 300*time.Millisecond), 300*time.Millisecond)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.countStates(work.Completed), others)
		assert.Assert(t, b.listedEnds() < 24, "%d ends wait to be stored", b.listedEnds())
		b.nextEpoch()
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(b.hosts()) > 0, "the long-running tasks aren't restarted")
		b.checker.Cancelled(firstJob)
		b.onLoop(func() { b.s.Cancel(firstJob, func() {}) })
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(b.hosts()), 0)
	})
}
