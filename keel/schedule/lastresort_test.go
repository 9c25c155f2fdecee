package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/work"
)

// failOnAllBut makes tasks fail on all instances but one for a time, so that their workers are avoided, and heals them.
func (b *testbed) failOnAllBut(healthy string, instances []string, duration time.Duration) {
	for _, id := range instances {
		b.fleet.SetBehaviour(id, emulator.Behaviour{Fails: id != healthy})
	}
	b.onLoop(func() { b.s.Config.QueueByName("p").MaxAttempts = 1 })
	const interval = 300 * time.Millisecond
	for i := range int(duration / interval) {
		b.submit(singleStepJob(fmt.Sprintf("%016x", 0xc000+i), "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		time.Sleep(interval)
	}
	b.onLoop(func() { b.s.Config.QueueByName("p").MaxAttempts = 3 })
	for _, id := range instances {
		b.fleet.SetBehaviour(id, emulator.Behaviour{})
	}
}

// timeUntilCompleted returns the time until the first job is completed, at most the timeout.
func (b *testbed) timeUntilCompleted(timeout time.Duration) time.Duration {
	began := time.Now()
	for b.state() != work.Completed && time.Since(began) < timeout {
		time.Sleep(50 * time.Millisecond)
	}
	b.t.Logf("%s after %s", b.state(), time.Since(began))
	return time.Since(began)
}

// Guards against a task that waits until workers are no longer avoided, although most of the pool's capacity is free: the
// only worker that isn't avoided is full.
func TestAvoidedWorkersRunTasksBesideFullWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		instances := []string{"m1", "m2", "m3"}
		for _, id := range instances {
			b.addInstance(id)
		}
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		full := singleStepJob("00000000000000b1", "p", 1, 90*time.Second)
		full.Steps[0].Size.MilliCores = 16000
		b.submit(full, 90*time.Second)
		time.Sleep(500 * time.Millisecond)
		b.failOnAllBut(b.hosts()[0].Instance, instances, 18*time.Second)
		job := singleStepJob(firstJob, "p", 8, 500*time.Millisecond)
		job.Steps[0].Size = work.Size{MilliCores: 1900, MemoryMB: 912}
		b.submit(job, 500*time.Millisecond)
		assert.Assert(t, b.timeUntilCompleted(30*time.Second) < 3*time.Second)
	})
}

// Guards against the same wait of a task whose label only an avoided worker has.
func TestAvoidedWorkerRunsTaskWithItsLabel(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.fleet.Add("m2", "p", "a", "ra-1", work.Size{MilliCores: 16000, MemoryMB: 32768})
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		b.onLoop(func() {
			for _, w := range b.s.workers {
				if w.HasLabel("ra-1") {
					w.failingSince, w.failingUntil = b.s.Now()-2*time.Second, b.s.Now()+20*time.Second
				}
			}
		})
		job := singleStepJob(firstJob, "p", 1, 300*time.Millisecond)
		job.Steps[0].Label = "ra-1"
		b.submit(job, 300*time.Millisecond)
		assert.Assert(t, b.timeUntilCompleted(30*time.Second) < 3*time.Second)
	})
}
