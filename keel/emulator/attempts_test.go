package emulator

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// attemptsCase is a sequence of runs of one task that fail, and what the checker reports.
type attemptsCase struct {
	// runs is the number of failed runs; acknowledged is how many of them are acknowledged before a further start.
	runs, acknowledged int
	start              bool
	showFailed         bool
	violations         int
}

var attemptsCases = map[string]attemptsCase{
	"failed as often as allowed":                    {runs: 3, acknowledged: 3, showFailed: true},
	"last failure is listed only":                   {runs: 3, acknowledged: 2, showFailed: true},
	"failed too early":                              {runs: 2, acknowledged: 2, showFailed: true, violations: 1},
	"start while attempts are left":                 {runs: 2, acknowledged: 2, start: true},
	"start without attempts":                        {runs: 3, acknowledged: 3, start: true, violations: 1},
	"start without attempts, acknowledged later on": {runs: 3, acknowledged: 2, start: true, violations: 1},
}

// Guards against a check that accepts any failed run as the cause of a failed job, or doesn't see a start after the last
// allowed failed run.
func TestCheckerCountsAttempts(t *testing.T) {
	for name, c := range attemptsCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playAttempts(t, c) })
		})
	}
}

func playAttempts(t *testing.T, c attemptsCase) {
	store := NewStore(rand.New(rand.NewPCG(1, 1)))
	checker := NewChecker()
	checker.SetAttempts("q", 3)
	fleet := NewFleet(store, checker, rand.New(rand.NewPCG(1, 2)), Times{LeaseMax: time.Minute, Heartbeat: time.Second})
	fleet.Add("m1", "p", "a", "ra-0", work.Size{MilliCores: 1000, MemoryMB: 1000})
	job := &work.Job{ID: "00000000000000a1", Queue: "q", Steps: []work.Step{{Count: 1, Size: work.Size{MilliCores: 100, MemoryMB: 10}}}}
	checker.Submitted(job, [][]time.Duration{{time.Hour}}, false)
	checker.Accepted(job.ID)
	fleet.SetBehaviour("m1", Behaviour{Fails: true})
	w := fleet.instances["m1"].worker
	for n := range c.runs {
		w.orderStart(work.TaskID{Job: job.ID}, int64(n+1))
		time.Sleep(5 * time.Second)
		w.acknowledge(int64(min(n+1, c.acknowledged)))
	}
	if c.start {
		w.orderStart(work.TaskID{Job: job.ID}, 10)
		w.acknowledge(int64(c.runs))
	}
	if c.showFailed {
		checker.CheckState(job.ID, work.Failed, true)
	}
	fleet.Stop()
	time.Sleep(time.Minute)
	assert.Equal(t, len(checker.Violations()), c.violations, "%q", checker.Violations())
}

// orderStart orders the worker to start a run.
func (w *Worker) orderStart(id work.TaskID, number int64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.start(worker.StartOrder{Task: id, Run: number, Token: 1, LeaseEnd: w.clock() + time.Minute})
	w.scheduleLocked()
}

// acknowledge renews the worker's lease and acknowledges its ends up to a number.
func (w *Worker) acknowledge(number int64) {
	_, _, _ = w.renew(worker.RenewOrder{Token: 1, LeaseEnd: w.clock() + time.Minute, Acknowledged: number})
}
