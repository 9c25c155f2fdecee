package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
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

// watchEnds returns a function that stops watching and returns the longest time for which an end of a run has waited to be stored.
func (b *testbed) watchEnds() (longest func() time.Duration) {
	type oldest struct {
		number int64
		since  time.Time
	}
	waiting := make(map[*workerState]oldest)
	var most time.Duration
	stopped, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(20 * time.Millisecond):
			}
			b.onLoop(func() {
				for _, w := range b.s.workers {
					switch {
					case len(w.ends) == 0:
						delete(waiting, w)
					case waiting[w].number != w.ends[0].number:
						waiting[w] = oldest{w.ends[0].number, time.Now()}
					default:
						most = max(most, time.Since(waiting[w].since))
					}
				}
			})
		}
	}()
	return func() time.Duration {
		close(stopped)
		<-done
		return most
	}
}

// submitRecurring submits the first job with two small tasks in each of 400 occurrences.
func (b *testbed) submitRecurring() {
	job := singleStepJob(firstJob, "p", 2, 200*time.Millisecond)
	job.Occurrences, job.First, job.Interval = 400, time.Duration(time.Now().UnixNano()), 50*time.Millisecond
	b.submit(job, 200*time.Millisecond)
}

// submitWide submits the first job with 600 tasks of half a core, which takes the test's three workers at least 7 s.
func (b *testbed) submitWide(poisoned bool) {
	job := singleStepJob(firstJob, "p", 600, time.Second)
	job.Steps[0].Size.MilliCores, job.Steps[0].Size.MemoryMB = 500, 10
	b.submitWith(job, time.Second, poisoned)
}

// Guards against a job whose row outgrows what the store accepts, so that none of its ends is acknowledged any more: by the failed
// runs of its tasks, by those that ended with their crashed workers, or by its completed occurrences.
func TestRecordOfLargeJobStaysStorable(t *testing.T) {
	cases := map[string]struct {
		play func(b *testbed)
		want work.State
	}{
		"occurrences": {func(b *testbed) {
			b.submitRecurring()
			time.Sleep(15 * time.Second)
			b.nextEpoch()
			time.Sleep(10 * time.Second)
			assert.Equal(b.t, b.starts(), 800)
		}, work.Completed},
		"failures": {func(b *testbed) {
			b.fleet.SetBehaviour("m1", emulator.Behaviour{Fails: true})
			b.submitWide(false)
			time.Sleep(600 * time.Millisecond)
			b.fleet.SetBehaviour("m1", emulator.Behaviour{})
			time.Sleep(3 * time.Second)
			b.nextEpoch()
			time.Sleep(15 * time.Second)
		}, work.Completed},
		"failures of all tasks": {func(b *testbed) {
			b.submitWide(true)
			time.Sleep(8 * time.Second)
			b.nextEpoch()
			time.Sleep(20 * time.Second)
		}, work.Failed},
		"crashes": {func(b *testbed) {
			b.submitWide(false)
			time.Sleep(100 * time.Millisecond)
			b.fleet.Crash("m1", time.Second)
			b.fleet.Crash("m2", time.Second)
			time.Sleep(8 * time.Second)
			b.nextEpoch()
			time.Sleep(15 * time.Second)
		}, work.Completed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.store.RowBytes, b.rowBytes = 4096, 4096
				b.addInstance("m1")
				b.addInstance("m2")
				b.addInstance("m3")
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				longest := b.watchEnds()
				c.play(b)
				assert.Equal(t, b.state(), c.want)
				assert.Equal(t, b.listedEnds(), 0)
				wait := longest()
				assert.Assert(t, wait < time.Second, "an end waited %s", wait)
			})
		})
	}
}

// Guards against a row that is rejected again and again although a smaller one would be stored: the store accepts less than the
// settings say.
func TestRejectedRecordShrinks(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.store.RowBytes = 2048
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		longest := b.watchEnds()
		b.submitRecurring()
		time.Sleep(25 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
		wait := longest()
		assert.Assert(t, wait < time.Second, "an end waited %s", wait)
	})
}
