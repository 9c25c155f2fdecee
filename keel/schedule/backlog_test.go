package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// newEmptyBacklogFleet returns a fleet without room and without waiting jobs.
func newEmptyBacklogFleet(t *testing.T) *backlogFleet {
	f := newBacklogFleet(t, 1)
	for _, j := range f.s.jobs {
		if j.waiting > 0 {
			f.s.endJob(j, work.Cancelled, "")
		}
	}
	f.pass()
	return f
}

// addJob adds a job of one step and one task.
func (f *backlogFleet) addJob(age time.Duration, step work.Step) *job {
	f.jobs.drawn++
	step.Count = 1
	j := &work.Job{ID: fmt.Sprintf("%016x", f.jobs.drawn), Queue: "p", Home: "a", Accepted: (backlogWall - age).Milliseconds(), Steps: []work.Step{step}}
	f.s.addSubmission(ledger.Submission{Job: j, Version: backlogVersion}, ledger.JobRecord{}, "test")
	return f.s.jobs[j.ID]
}

// Guards against jobs that are never placed: the leader's clock begins when its machine boots, so that a job that was
// accepted earlier has a negative place in the order.
func TestJobFromBeforeBootIsPlaced(t *testing.T) {
	for _, age := range []time.Duration{backlogClock / 2, backlogClock + time.Hour} {
		f := newEmptyBacklogFleet(t)
		j := f.addJob(age, work.Step{Size: work.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second, LongRunning: true})
		for range 5 {
			f.freeWorker()
			f.pass()
		}
		assert.Check(t, j.waiting == 0, "a job of age %s still waits", age)
	}
}

// Guards against jobs that can no longer meet their objective and take the room of those that can, because these are behind
// jobs that no worker may run.
func TestLateJobsDontPassJobsBehindUnplaceableOnes(t *testing.T) {
	for _, unplaceable := range []int{0, 32, 200} {
		f := newEmptyBacklogFleet(t)
		size := work.Size{MilliCores: 1000, MemoryMB: 100}
		for range unplaceable {
			f.addJob(0, work.Step{Size: size, Estimate: 100 * time.Millisecond, Label: "none"})
		}
		onTime := f.addJob(0, work.Step{Size: size, Estimate: time.Second})
		var late []*job
		for range 2000 {
			late = append(late, f.addJob(5*time.Second, work.Step{Size: size, Estimate: time.Second}))
		}
		passes := 0
		for onTime.waiting > 0 && passes < 20 {
			f.freeWorker()
			f.pass()
			passes++
		}
		started := 0
		for _, j := range late {
			started += 1 - j.waiting
		}
		t.Logf("%d unplaceable jobs: %d passes, %d late jobs started", unplaceable, passes, started)
		assert.Check(t, onTime.waiting == 0, "%d unplaceable jobs: the job that can be in time still waits after %d passes", unplaceable, passes)
	}
}

// Guards against a new leader whose passes cost more the more jobs it has inherited, while a worker isn't fenced.
func TestPlacementPassCostIndependentOfHeldJobs(t *testing.T) {
	cost := func(tasks int) passCost {
		f := newBacklogFleet(t, tasks)
		for _, j := range f.s.jobs {
			j.inherited = true
		}
		f.s.unheard["old"] = &workerState{}
		return measurePass(func() {}, func() { f.pass() })
	}
	few, many := cost(2000), cost(50000)
	t.Logf("2000 tasks: %s; 50000 tasks: %s", few.shortest, many.shortest)
	assert.Check(t, many.shortest <= 4*few.shortest)
}

// Guards against jobs that keep the callers' estimates although the durations of their queue's tasks are known: a model
// may become mature between two samples.
func TestOpenJobsAreEstimatedAgainOnceModelMatures(t *testing.T) {
	f := newEmptyBacklogFleet(t)
	now := backlogClock
	f.s.Now = func() time.Duration { return now }
	waiting := f.addJob(0, work.Step{Size: work.Size{MilliCores: 1000}, Estimate: 100 * time.Millisecond})
	ended := f.addJob(0, work.Step{Size: work.Size{MilliCores: 1000}, Estimate: 100 * time.Millisecond})
	r := &run{task: ended.occurrences[0].steps[0].tasks[0], worker: f.s.workers["w-p0"]}
	for range 200 {
		now += 50 * time.Millisecond
		f.s.recordDuration(r, time.Second)
	}
	assert.Check(t, f.s.durations.byQueue["p"].mature(now))
	assert.Equal(t, waiting.estimates[0].Round(time.Millisecond), time.Second)
}

// Guards against estimates far beyond every duration: where the response to a start and the end are processed together,
// the duration is nearly 0, and the mean that is computed from the variance of the logarithms grows without limit.
func TestExpectedDurationStaysWithinObservedOnes(t *testing.T) {
	m := &durationModel{}
	for i := range 200 {
		took := 300 * time.Millisecond
		if i%10 == 0 {
			took = 10 * time.Microsecond
		}
		m.add(300*time.Millisecond, took)
	}
	assert.Check(t, m.expected(300*time.Millisecond) <= 300*time.Millisecond, "%s expected, none took longer than 300ms", m.expected(300*time.Millisecond))
	m = &durationModel{}
	for i := range 200 {
		took := 50 * time.Millisecond
		if i%5 == 0 {
			took = 5 * time.Second
		}
		m.add(300*time.Millisecond, took)
	}
	t.Logf("50 ms or 5 s: %s", m.expected(300*time.Millisecond))
}

// Guards against a number of missing workers that never falls while a backlog lasts, because each pass takes over the
// number of the pass before for each step that still waits.
func TestMissingWorkersFallWithTheirStep(t *testing.T) {
	wide, narrow := &stepState{waiting: 40, spec: &work.Step{}}, &stepState{waiting: 1, spec: &work.Step{}}
	m := missing{}
	m.add(wide, 40)
	m.add(narrow, 1)
	wide.waiting = 0
	next := missing{}
	next.merge(m)
	assert.Equal(t, next.workers, 1)
}
