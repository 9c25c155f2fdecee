package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// lostStartCase is a play in which idle workers fall silent for good before jobs are submitted, so that starts are ordered to workers
// that are gone.
type lostStartCase struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
	Silent  int    `json:"silent"`
	// ReusedAtMs lists when workers of another pool begin to respond at their addresses; at others nothing does.
	ReusedAtMs []int `json:"reused_at_ms"`
	// SubmitAtMs is when the jobs are submitted, from when the workers fall silent, LeaderAtMs when another leader takes over after
	// that, 0 for never.
	SubmitAtMs int `json:"submit_at_ms"`
	LeaderAtMs int `json:"leader_at_ms"`
	// GapMs is the time between two submissions.
	GapMs  int  `json:"gap_ms"`
	Jobs   int  `json:"jobs"`
	Tasks  int  `json:"tasks"`
	TaskMs int  `json:"task_ms"`
	Gang   bool `json:"gang"`
	// Large reports that a worker has room for one of the tasks only.
	Large bool `json:"large"`
}

// Guards against a job that is shown as failed although its tasks were never begun: starts that workers refuse or leave without a
// response, since they had ended before, counted as crashes under the task.
func TestLostStartsAreNoCrashes(t *testing.T) {
	for _, c := range readCases[lostStartCase](t, "testdata/crashes/lost_starts.json") {
		t.Run(c.Name, func(t *testing.T) { withTestbed(t, func(b *testbed) { c.play(b) }) })
	}
}

func (c *lostStartCase) play(b *testbed) {
	for n := range c.Workers {
		id := fmt.Sprintf("m%d", n)
		b.fleet.Add(id, "p", "a", "rack-of-"+id, work.Size{MilliCores: 16000, MemoryMB: 32768})
	}
	b.startEpoch(1, "p", "q")
	time.Sleep(500 * time.Millisecond)
	if c.SubmitAtMs < 0 {
		c.submit(b)
		time.Sleep(milliseconds(-c.SubmitAtMs))
	}
	c.silence(b)
	if c.SubmitAtMs >= 0 {
		time.Sleep(milliseconds(c.SubmitAtMs))
		c.submit(b)
	}
	if c.LeaderAtMs > 0 {
		time.Sleep(milliseconds(c.LeaderAtMs))
		b.onLoop(b.s.End)
		b.startEpoch(2, "p", "q")
	}
	time.Sleep(40 * time.Second)
	assert.Equal(b.t, b.countStates(work.Completed), c.Jobs)
}

// silence makes workers fall silent for good. Their registrations and the instance list show them for some time.
func (c *lostStartCase) silence(b *testbed) {
	for n := range c.Silent {
		id := fmt.Sprintf("m%d", n)
		b.fleet.Vanish(id, 4500*time.Millisecond, 4500*time.Millisecond)
		if n < len(c.ReusedAtMs) {
			time.AfterFunc(milliseconds(c.ReusedAtMs[n]), func() { b.fleet.ReuseAddress(id, "other-"+id, "q") })
		}
	}
}

func (c *lostStartCase) submit(b *testbed) {
	for n := range c.Jobs {
		job := singleStepJob(fmt.Sprintf("%016x", 0xc000+n), "p", max(1, c.Tasks), milliseconds(c.TaskMs))
		job.Steps[0].Gang = c.Gang
		if c.Large {
			job.Steps[0].Size.MilliCores = 12000
		}
		b.submit(job, milliseconds(c.TaskMs))
		time.Sleep(milliseconds(c.GapMs))
	}
}
