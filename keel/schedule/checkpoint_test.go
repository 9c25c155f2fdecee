package schedule

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against members of a gang that are started with different checkpoints after the worker of one has crashed, which keeps the
// gang from ever being complete.
func TestMembersOfGangResumeFromSameCheckpoint(t *testing.T) {
	for _, crash := range []int{4050, 4100, 4200, 4400, 5100} {
		t.Run(fmt.Sprintf("crash_after_%d_ms", crash), func(t *testing.T) { crashMemberOfGang(t, milliseconds(crash)) })
	}
}

// crashMemberOfGang plays a gang of which one worker crashes some time after the start. A checkpoint is made each 2 s.
func crashMemberOfGang(t *testing.T, crash time.Duration) {
	withTestbed(t, func(b *testbed) {
		for n := range 8 {
			b.addInstance(fmt.Sprintf("m%d", n))
		}
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		checkpoints := make(map[int64]map[string]bool)
		workers := b.fleet.WorkerClient("leader")
		b.setStart(func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			b.mu.Lock()
			if checkpoints[o.Run] == nil {
				checkpoints[o.Run] = make(map[string]bool)
			}
			checkpoints[o.Run][o.Checkpoint] = true
			b.mu.Unlock()
			return workers.Start(ctx, to, o)
		})
		job := singleStepJob(firstJob, "p", 6, 9*time.Second)
		step := &job.Steps[0]
		step.Gang, step.Checkpoints, step.MaxPerWorker = true, true, 1
		b.submit(job, 9*time.Second)
		time.Sleep(crash)
		b.fleet.Crash(b.hostOfFirstJob(), time.Second)
		time.Sleep(30 * time.Second)
		assert.Equal(b.t, b.state(), work.Completed)
		resumed := 0
		for run, values := range checkpoints {
			assert.Equal(b.t, len(values), 1, "run %d: %v", run, values)
			if !values[""] {
				resumed++
			}
		}
		assert.Assert(b.t, resumed > 0)
	})
}
