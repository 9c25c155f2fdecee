package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pendingJobs returns the number of pending jobs of queue p, as callers see it.
func (b *testbed) pendingJobs() int {
	n := 0
	b.onLoop(func() { n = b.s.PendingJobs("p") })
	return n
}

// Guards against a count of pending jobs that misses an end, a start or a change of leader: it is kept up to date, because
// queries of it are frequent and all jobs, ended ones too, took a tenth of a leader to count.
func TestPendingJobs(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		var ids []string
		for i, cores := range []int64{16, 12, 8} {
			ids = append(ids, fmt.Sprintf("%016x", 1+i))
			job := singleStepJob(ids[i], "p", 1, 6*time.Second)
			job.Steps[0].Size.MilliCores = 1000 * cores
			b.submit(job, 6*time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, b.pendingJobs(), 2)
		b.checker.Cancelled(ids[1])
		b.onLoop(func() { b.s.Cancel(ids[1], func() {}) })
		assert.Equal(t, b.pendingJobs(), 1)
		time.Sleep(time.Second)
		b.onLoop(b.s.End)
		b.startEpoch(2, "p")
		time.Sleep(time.Second)
		assert.Equal(t, b.pendingJobs(), 1)
		time.Sleep(7 * time.Second)
		assert.Equal(t, b.pendingJobs(), 0)
		time.Sleep(10 * time.Second)
	})
}
