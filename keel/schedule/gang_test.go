package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a gang whose members share a worker although its step permits only one of them on each.
func TestGangKeepsLimitPerWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		job := singleStepJob(firstJob, "p", 2, 400*time.Millisecond)
		job.Steps[0].Gang, job.Steps[0].MaxPerWorker = true, 1
		b.submit(job, 400*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, len(b.hosts()), 2)
	})
}
