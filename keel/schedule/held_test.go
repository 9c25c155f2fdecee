package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// Guards against inherited jobs that stay outside the order of waiting jobs after the worker that might be running their tasks
// has accepted the epoch or has ended, and against jobs whose wait is not reported meanwhile.
func TestEachEndOfAnUnfencedWorkerReleasesItsJobs(t *testing.T) {
	tests := []struct {
		name string
		// release ends the wait for the worker of instance m2, which no call reaches.
		release func(b *testbed)
		// within is the time from the release until the jobs are completed.
		within time.Duration
	}{
		{"it accepts the epoch", func(b *testbed) { b.fleet.SetUnreachable(false, "m2") }, 800 * time.Millisecond},
		{"its lease expires", func(*testbed) {}, 7 * time.Second},
		{"the list shows its instance without a worker", func(b *testbed) { b.fleet.Crash("m2", time.Minute) }, 1500 * time.Millisecond},
		{"the list lacks its instance", func(b *testbed) { b.fleet.Remove("m2") }, 2 * time.Second},
		{"another worker responds at its address", func(b *testbed) {
			b.fleet.Vanish("m2", 0, time.Minute)
			b.fleet.ReuseAddress("m2", "m3", "q")
		}, 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.addInstance("m2")
				b.startEpoch(1, "p", "q")
				time.Sleep(500 * time.Millisecond)
				b.fleet.SetServiceUnavailable(true)
				b.submit(singleStepJob("00000000000000b1", "p", 1, 100*time.Millisecond), 100*time.Millisecond)
				time.Sleep(time.Second)
				b.fleet.SetUnreachable(true, "m2")
				b.onLoop(b.s.End)
				for _, id := range []string{firstJob, "00000000000000a2"} {
					job := singleStepJob(id, "p", 4, 100*time.Millisecond)
					job.Home = "a"
					b.submit(job, 100*time.Millisecond)
				}
				b.fleet.SetServiceUnavailable(false)
				b.startEpoch(2, "p", "q")
				time.Sleep(2500 * time.Millisecond)
				assert.DeepEqual(t, b.waitCauses(), map[waitCause]int{waitUnfenced: 8})
				assert.Equal(t, b.heldJobs(), 2)
				test.release(b)
				time.Sleep(test.within)
				assert.Equal(t, b.heldJobs(), 0)
				assert.Equal(t, b.countJobs(work.Completed), 3)
			})
		})
	}
}

// heldJobs returns the number of jobs that unheard workers hold.
func (b *testbed) heldJobs() int {
	n := 0
	b.onLoop(func() {
		for _, p := range b.s.pools {
			for _, order := range p.backlog.held {
				n += order.Len()
			}
		}
	})
	return n
}
