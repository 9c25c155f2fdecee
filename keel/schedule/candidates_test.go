package schedule

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Guards against taking a best-effort task, which needs no processor time, for one that fits nowhere while the only
// worker's processor is fully used.
func TestBestEffortFitsOnBusyWorker(t *testing.T) {
	size := work.Size{MilliCores: 16000, MemoryMB: 32768}
	w := &workerState{Registration: worker.Registration{DataCentre: "b", Capacity: size}, used: work.Size{MilliCores: 16000, MemoryMB: 100}}
	var c candidates
	c.add(w)
	all := func(string) bool { return true }
	assert.DeepEqual(t, c.mostFree(work.Size{MemoryMB: 100}, 1, all), []string{"b"})
	assert.Assert(t, c.mostFree(work.Size{MilliCores: 1, MemoryMB: 100}, 1, all) == nil)
}
