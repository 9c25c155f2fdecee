package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/provider"
)

// Guards against a wave missing its deadline. All of its instances run long-running tasks of several jobs, which
// the disruption budgets allow to leave only a few at a time.
func TestLongRunningTaskWaveMeetsDeadline(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		var all []string
		for i := range 24 {
			id := fmt.Sprintf("m%02d", i)
			b.addInstance(id)
			all = append(all, id)
		}
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		for i := range 3 {
			job := singleStepJob(fmt.Sprintf("%016x", 0xa0+i), "p", 24, 0)
			job.Steps[0].LongRunning, job.Steps[0].HasDisruptionBudget = true, true
			job.Steps[0].MaxPerWorker, job.Steps[0].DisruptionBudget = 1, 2
			b.submit(job, 0)
		}
		time.Sleep(5 * time.Second)
		wave := provider.Wave{Number: 1, Instances: all[:12], DeadlineSeconds: 25, MaxConcurrent: 5}
		b.checker.AddWave(wave)
		b.onLoop(func() { b.s.SetWaves([]provider.Wave{wave}) })
		time.Sleep(25 * time.Second)
		done, wanted := b.checker.WaveProgress(1)
		assert.Equal(t, done, wanted)
	})
}
