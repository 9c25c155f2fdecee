package job

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// testInstance returns the row of the test worker's instance.
func testInstance(state instance.State) platform.Write {
	record := instance.Record{
		ID: "i1", DataCentre: "worcester", Pool: testPool, State: state, Size: platform.Size{MilliCores: 4000, MemoryMB: 4000},
	}
	return rowset.Write(record.Key(), record)
}

// list applies an instance list with the test worker.
func list(p *planner, liveness platform.Liveness, boot uint64, size platform.Size) {
	p.c.View.InstanceList().Apply("worcester", platform.ListResult{Through: boot + 1, Instances: []platform.Listing{{
		ID: "i1", DataCentre: "worcester", Liveness: liveness, Boot: boot, Size: size, Changed: boot + 1,
	}}})
}

// crashCases holds what the instance list and the inventory say of the worker of a job whose lease has expired, and whether that
// is a crash under the job.
var crashCases = map[string]struct {
	state    instance.State
	liveness platform.Liveness
	boot     uint64
	crashed  bool
}{
	"down":                    {instance.InService, platform.Down, 3, true},
	"booted again":            {instance.Failed, platform.Live, 4, true},
	"only silent":             {instance.InService, platform.Live, 3, false},
	"leaving":                 {instance.Leaving, platform.Down, 3, false},
	"rebooted after draining": {instance.Drained, platform.Live, 4, false},
}

// Guards against a job that crashes worker after worker and is placed again without a bound, and against one that is given up
// because its workers were silent, left or were rebooted.
func TestCrashesUnderJob(t *testing.T) {
	for name, c := range crashCases {
		t.Run(name, func(t *testing.T) {
			job := Record{State: Running, Repeatable: true, Worker: testWorker, Attempt: 3, Boot: 3, CrashedOn: []string{"a", "b"}}
			p, found := newTestPlanner(t, job, node(testService, ""), testInstance(c.state))
			list(p, c.liveness, c.boot, platform.Size{MilliCores: 4000, MemoryMB: 4000})
			p.recordLapsed(found)
			next := p.batch.job(found.Key())
			if c.crashed {
				assert.Equal(t, next.State, Failed)
				assert.Equal(t, len(next.CrashedOn), maxCrashes)
				return
			}
			assert.Equal(t, next.State, Queued)
			assert.Equal(t, len(next.CrashedOn), 2)
		})
	}
}

// placeOn places a queued job of 1,000 milli-cores on the test worker, of which the given milli-cores are in use and which reports
// the capacity, and returns the batch's job and worker.
func placeOn(t *testing.T, job Record, used int64, reported platform.Size) (Record, Worker) {
	job.State, job.Size, job.Submitted = Queued, platform.Size{MilliCores: 1000, MemoryMB: 100}, time.Now()
	p, found := newTestPlanner(t, job, node(testService, ""), testInstance(instance.InService))
	list(p, platform.Live, 3, reported)
	p.syncIndex()
	p.index.Allocate(testWorker, platform.Size{MilliCores: used})
	p.place(found)
	return p.batch.job(found.Key()), p.batch.worker(WorkerKey(testPool, testWorker))
}

// Guards against a job that crashed a worker beside other jobs, and against other jobs beside it.
func TestJobThatCrashedWorkerRunsApart(t *testing.T) {
	full := platform.Size{MilliCores: 4000, MemoryMB: 4000}
	job, _ := placeOn(t, Record{CrashedOn: []string{"a", "b"}}, 500, full)
	assert.Equal(t, job.State, Queued)
	job, worker := placeOn(t, Record{CrashedOn: []string{"a", "b"}}, 0, full)
	assert.Equal(t, job.State, Placed)
	assert.Equal(t, job.Boot, uint64(3))
	assert.Assert(t, worker.Isolated)
	// The jobs of a rack that crashes have one crash each.
	job, worker = placeOn(t, Record{CrashedOn: []string{"a"}}, 500, full)
	assert.Equal(t, job.State, Placed)
	assert.Assert(t, !worker.Isolated)
}

// Guards against a start beyond the capacity that a worker reports while it has less than its row says.
func TestShrunkWorkerGetsNoJobBeyondItsCapacity(t *testing.T) {
	shrunk := platform.Size{MilliCores: 1400, MemoryMB: 4000}
	job, _ := placeOn(t, Record{}, 500, shrunk)
	assert.Equal(t, job.State, Queued)
	job, _ = placeOn(t, Record{}, 300, shrunk)
	assert.Equal(t, job.State, Placed)
}
