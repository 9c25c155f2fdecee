package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
)

// submitServices submits long-running jobs with a task on each of the workers. Together they need 15 of a worker's 16 cores.
func (b *testbed) submitServices(workers, jobs int) {
	for i := range jobs {
		job := singleStepJob(fmt.Sprintf("%016x", 0xa1+i), "p", workers, 0)
		job.Steps[0].LongRunning, job.Steps[0].MaxPerWorker = true, 1
		job.Steps[0].Size.MilliCores = int64(15000 / jobs)
		b.submit(job, 0)
	}
}

// failInTurn makes all runs fail on one instance after the other, on each of them at the interval, which is longer than the time that
// a run takes to fail.
func (b *testbed) failInTurn(ctx context.Context, interval time.Duration, instances ...string) {
	for ctx.Err() == nil {
		for _, id := range instances {
			time.Sleep(interval / time.Duration(len(instances)))
			b.fleet.SetBehaviour(id, emulator.Behaviour{Fails: true})
			time.Sleep(time.Millisecond)
			b.fleet.SetBehaviour(id, emulator.Behaviour{})
		}
	}
}

// longestWithoutRun returns the longest time for which a task of any job had no run during the time, and the number of workers
// that were avoided because of failures at any moment of it.
func (b *testbed) longestWithoutRun(length time.Duration) (longest time.Duration, avoided int) {
	waits := make(map[*task]time.Duration)
	failing := make(map[*workerState]bool)
	const step = 50 * time.Millisecond
	for range length / step {
		time.Sleep(step)
		b.onLoop(func() {
			for _, j := range b.s.jobs {
				for _, t := range j.occurrences[0].steps[0].tasks {
					waits[t] += step
					if len(t.runs) > 0 {
						waits[t] = 0
					}
					longest = max(longest, waits[t])
				}
			}
			for _, w := range b.s.workers {
				if b.s.Now() < w.failingUntil {
					failing[w] = true
				}
			}
		})
	}
	return longest, len(failing)
}

// Guards against workers that get no tasks for up to 20 s because long-running tasks fail on them now and then: no success
// of such a task was ever counted, so that each failure kept tasks off its worker for longer than the one before. Those that keep
// failing soon after their start do keep tasks off.
func TestFailuresOfLongRunningTasks(t *testing.T) {
	for _, test := range []struct {
		name string
		// interval is the time between the failures on a worker.
		interval time.Duration
		avoided  int
		longest  time.Duration
	}{{"rare", 8 * time.Second, 0, time.Second}, {"frequent", time.Second, 3, avoidMax + 2*time.Second}} {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				instances := []string{"m0", "m1", "m2"}
				for _, id := range instances {
					b.addInstance(id)
				}
				b.startEpoch(1, "p")
				time.Sleep(500 * time.Millisecond)
				b.submitServices(len(instances), 4)
				time.Sleep(6 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go b.failInTurn(ctx, test.interval, instances...)
				longest, avoided := b.longestWithoutRun(90 * time.Second)
				t.Logf("a task had no run for %s; %d workers were avoided", longest, avoided)
				assert.Check(t, longest < test.longest, "a task had no run for %s", longest)
				assert.Equal(t, avoided, test.avoided)
			})
		})
	}
}
