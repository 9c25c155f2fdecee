package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// submitSmallJobs submits jobs of ten small tasks each and returns the number of all tasks.
func (b *testbed) submitSmallJobs(jobs int, duration time.Duration) int {
	const width = 10
	for i := range jobs {
		job := singleStepJob(fmt.Sprintf("%016x", i+1), "p", width, duration)
		job.Steps[0].Size = work.Size{MilliCores: 100, MemoryMB: 10}
		b.submit(job, duration)
	}
	return jobs * width
}

// Guards against tasks that run again although they are done: while ends can't be stored, a worker has more of them than it
// lists at a time, and a run that was neither listed as active nor among the listed ends counted as lost.
func TestTasksWithEndsBeyondTheListDontRunAgain(t *testing.T) {
	for _, leaders := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("leaders_%d", leaders), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.fleet.MaxListedEnds = 8
				b.addInstance("m1")
				b.addInstance("m2")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				tasks := b.submitSmallJobs(6, 500*time.Millisecond)
				time.Sleep(300 * time.Millisecond)
				repair := b.failCommits()
				time.Sleep(2 * time.Second)
				assert.Assert(t, b.listedEnds() < tasks, "all ends fit into the lists")
				repair()
				for range leaders - 1 {
					b.nextEpoch()
				}
				time.Sleep(4 * time.Second)
				assert.Equal(t, b.countStates(work.Completed), 6)
				assert.Equal(t, b.starts(), tasks)
				assert.Equal(t, len(b.hosts()), 0)
			})
		})
	}
}

// listedEnds returns the number of ends that workers have listed and that aren't stored.
func (b *testbed) listedEnds() int {
	n := 0
	b.onLoop(func() {
		for _, w := range b.s.workers {
			n += len(w.ends)
		}
	})
	return n
}
