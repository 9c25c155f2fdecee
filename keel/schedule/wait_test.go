package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// waitCauses returns the number of waiting tasks by cause.
func (b *testbed) waitCauses() map[waitCause]int {
	causes := make(map[waitCause]int)
	b.onLoop(func() {
		for _, g := range b.s.collectWaits(b.s.Now()) {
			causes[g.cause] += g.tasks
		}
	})
	return causes
}

// longRunningJob returns a job of one long-running step with count tasks.
func longRunningJob(count int, cores int64) *work.Job {
	job := singleStepJob(firstJob, "p", count, 0)
	job.Steps[0].LongRunning = true
	job.Steps[0].Size.MilliCores = 1000 * cores
	return job
}

// Guards against a task that waits without a line in the log that says what holds it.
func TestWaitsAreExplained(t *testing.T) {
	tests := []struct {
		name  string
		cause waitCause
		// arrange makes two tasks wait.
		arrange func(b *testbed)
	}{
		{"no worker has room", waitCapacity, func(b *testbed) {
			b.submit(longRunningJob(4, 8), 0)
		}},
		{"the only worker has reached the limit of the step", waitConstraint, func(b *testbed) {
			job := longRunningJob(3, 1)
			job.Steps[0].MaxPerWorker = 1
			b.submit(job, 0)
		}},
		{"the worker does not respond", waitUnresponsive, func(b *testbed) {
			b.submit(longRunningJob(2, 1), 0)
			time.Sleep(time.Second)
			b.fleet.SetPartitioned("leader", "a", true)
			time.Sleep(1500 * time.Millisecond)
		}},
		{"a worker of the previous epoch does not respond", waitUnfenced, func(b *testbed) {
			time.Sleep(time.Second)
			b.onLoop(b.s.End)
			b.fleet.SetPartitioned("leader", "a", true)
			b.submit(longRunningJob(2, 1), 0)
			b.startEpoch(2, "p")
		}},
		{"the pool has no usable worker", waitWorker, func(b *testbed) {
			b.fleet.Drain("m1", time.Minute)
			time.Sleep(time.Second)
			b.submit(longRunningJob(2, 1), 0)
		}},
		{"the leader's lease is not valid", waitLeaderLease, func(b *testbed) {
			b.onLoop(func() { b.s.LeaseValid = func() bool { return false } })
			b.submit(longRunningJob(2, 1), 0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(2 * time.Second)
				test.arrange(b)
				time.Sleep(2500 * time.Millisecond)
				assert.DeepEqual(t, b.waitCauses(), map[waitCause]int{test.cause: 2})
				b.fleet.SetPartitioned("leader", "a", false)
			})
		})
	}
}

// Guards against a task that waits for long without a cause in any report, because too many jobs are before it.
func TestLongestWaitIsExplainedBehindManyJobs(t *testing.T) {
	f := newBacklogFleet(t, 25000)
	p := f.s.pools["p"]
	last, _ := p.backlog.waiting.Max()
	for _, t := range last.job.waitingTask().step.tasks {
		t.readySince = 0
	}
	reports := 1 + p.backlog.waiting.Len()/maxReportedJobs
	explained := 0
	for range 2 * reports {
		c := &waitCollector{s: f.s, now: backlogClock + minReportedWait, groups: make(map[waitKey]*waitGroup)}
		c.addPool(p)
		for _, g := range c.groups {
			if g.cause != waitUnexplained && g.longest.job() == last.job {
				explained++
			}
		}
	}
	t.Logf("%d jobs wait, explained in %d of %d reports", p.backlog.waiting.Len(), explained, 2*reports)
	assert.Check(t, explained >= 1)
}
