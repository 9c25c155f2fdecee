package emulator

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
)

// Without a scheduler no task runs; Checker must report exactly the tasks that could.
func TestStalls(t *testing.T) {
	tests := []struct {
		name        string
		longRunning bool
		milliCores  int64
		faultAt     time.Duration
		length      time.Duration
		removed     bool
		cancelled   bool
		want        int
	}{
		{name: "long_running", longRunning: true, milliCores: 1000, want: 2},
		{name: "short", milliCores: 1000, want: 1},
		{name: "room_for_one", longRunning: true, milliCores: 9000},
		{name: "recent_fault", longRunning: true, milliCores: 1000, faultAt: 2 * time.Second, length: 8 * time.Second},
		{name: "earlier_fault", longRunning: true, milliCores: 1000, faultAt: 2 * time.Second, length: 10 * time.Second, want: 2},
		{name: "no_worker", longRunning: true, milliCores: 1000, removed: true},
		{name: "cancelled", longRunning: true, milliCores: 1000, cancelled: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := NewChecker()
				checker.QueuePools = map[string]string{"q": "p"}
				fleet := NewFleet(NewStore(rand.New(rand.NewPCG(1, 1))), checker, rand.New(rand.NewPCG(1, 2)), Times{Heartbeat: time.Second})
				fleet.Add("m1", "p", "a", "ra-0", work.Size{MilliCores: 16000, MemoryMB: 32768})
				go checker.Watch()
				job := &work.Job{ID: "00000000000000a1", Queue: "q", Steps: []work.Step{{
					Count: 1, Size: work.Size{MilliCores: test.milliCores}, LongRunning: test.longRunning,
				}}}
				checker.Submitted(job, [][]time.Duration{{time.Second}}, false)
				checker.Accepted(job.ID)
				if test.cancelled {
					checker.CancelRequested(job.ID)
				}
				if test.removed {
					fleet.Remove("m1")
				}
				time.Sleep(test.faultAt)
				if test.faultAt > 0 {
					checker.FaultBegan()
					checker.FaultEnded()
				}
				time.Sleep(max(test.length, 4*time.Second) - test.faultAt)
				checker.CheckFinalStalls()
				fleet.Stop()
				time.Sleep(time.Second)
				violations := checker.Violations()
				assert.Equal(t, len(violations), test.want, "%v", violations)
			})
		})
	}
}
