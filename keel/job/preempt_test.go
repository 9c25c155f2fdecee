package job

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestVictimsAreSufficientAndMinimal checks that the size fits without the victims, but not if any one of them is kept.
func TestVictimsAreSufficientAndMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, size := drawTaskSize(t, "free"), drawTaskSize(t, "size")
		var jobs []Preemptible
		all := free
		for i := range rapid.IntRange(0, 8).Draw(t, "jobs") {
			job := Preemptible{Key: fmt.Sprint(i), Size: drawTaskSize(t, "job")}
			jobs = append(jobs, job)
			all = all.Plus(job.Size)
		}
		victims, ok := Victims(free, size, jobs)
		assert.Equal(t, ok, size.Fits(all))
		freed := free
		for _, victim := range victims {
			freed = freed.Plus(victim.Size)
		}
		assert.Assert(t, !ok || size.Fits(freed))
		for _, victim := range victims {
			assert.Assert(t, !size.Fits(subtract(freed, victim.Size)), "%s needn't be stopped", victim.Key)
		}
	})
}

func TestFailuresOfOneJobOrServiceAreNoWorkerFault(t *testing.T) {
	var failures []Failure
	for range 20 {
		failures = addFailure(failures, Failure{Job: "a", Service: "s"})
	}
	assert.Equal(t, len(failures), maxFailures)
	assert.Assert(t, !workerAtFault(failures, 3))
	failures = addFailure(failures, Failure{Job: "b", Service: "s"})
	failures = addFailure(failures, Failure{Job: "c", Service: "s"})
	assert.Assert(t, !workerAtFault(failures, 3))
	failures = addFailure(failures, Failure{Job: "d", Service: "t"})
	assert.Assert(t, workerAtFault(failures, 3))
}

func TestQuarantineIsCapped(t *testing.T) {
	assert.Assert(t, mayQuarantine(0, 10, 0.1))
	assert.Assert(t, !mayQuarantine(1, 10, 0.1))
	assert.Assert(t, !mayQuarantine(0, 4, 0.1))
}
