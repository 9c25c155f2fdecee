package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mostWaiting returns the largest number of tasks that were reported as waiting during the time.
func (b *testbed) mostWaiting(length time.Duration) int {
	most := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		n := 0
		for _, tasks := range b.waitCauses() {
			n += tasks
		}
		most = max(most, n)
	}
	return most
}

// Guards against tasks that never seem to wait: each order to start one that failed began their wait anew, so that no report showed
// them, and what is done for tasks that wait for long was never done.
func TestTasksWaitAcrossFailedOrders(t *testing.T) {
	for _, orders := range []string{"unhealthy", "no_capacity", "not_sent", "lost"} {
		t.Run(orders, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(2 * time.Second)
				b.fleet.SetDisturbed(true, "m1")
				b.setStart(b.startsLike(orders))
				b.submit(longRunningJob(2, 1), 0)
				time.Sleep(3500 * time.Millisecond)
				assert.Equal(t, b.mostWaiting(time.Second), 2)
				b.setStart(nil)
				b.fleet.SetDisturbed(false, "m1")
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against estimates that are too short, because the duration of a run whose start was answered late, or never, was taken from
// the time at which it became known.
func TestLostAnswersTeachNoDurations(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		for n := range 4 {
			b.addInstance(fmt.Sprintf("m%d", n))
		}
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.setStart(b.startsLike("answer_lost"))
		const took = time.Second
		for n := range 60 {
			b.submit(singleStepJob(fmt.Sprintf("%016x", 0xa1+n), "p", 1, took), took)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		b.onLoop(func() {
			estimate := b.s.durations.estimate("p", &singleStepJob(firstJob, "p", 1, took).Steps[0], b.s.Now())
			assert.Check(t, estimate > 9*took/10, "estimate %v of tasks that take %v", estimate, took)
		})
	})
}
