package job

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

const (
	testPool    = "quabbin/floor-pool"
	testService = testPool + "/floor"
)

var testWorker = instance.Key("worcester", "i1")

// newTestPlanner returns a planner of a pool with the job, on a view with the pool's settings and with the further rows.
func newTestPlanner(t *testing.T, job Record, rows ...platform.Write) (*planner, rowset.Versioned[Record]) {
	t.Helper()
	job.ID, job.Pool, job.Service = "quabbin/floor/a", testPool, testService
	view := fleet.NewView()
	rows = append(rows, node("", ""), node("quabbin", ""), node(testPool, ""))
	_, err := view.Apply(0, platform.ScanResult{Rows: versionOne(rows...), Through: 1})
	assert.NilError(t, err)
	s := newPoolScheduler(&Controller{View: view, Log: event.New(io.Discard, true)}, testPool, 1)
	s.applyRows(versionOne(rowset.Write(job.Key(), job)))
	p := &planner{poolScheduler: s, batch: newBatch(s.jobs, s.workers), serviceUsage: map[string]*ServiceUsage{testService: {}}}
	found, ok := s.jobs.Get(job.Key())
	assert.Assert(t, ok)
	return p, found
}

// node returns the write of a node of the settings that sets values, a JSON object or nothing.
func node(path settings.Path, values string) platform.Write {
	n := settings.Node{Path: path}
	if values != "" {
		_ = json.Unmarshal([]byte(values), &n.Values)
	}
	return rowset.Write(settings.NodeKey(path), n)
}

func versionOne(writes ...platform.Write) []platform.Row {
	var rows []platform.Row
	for _, w := range writes {
		rows = append(rows, platform.Row{Key: w.Key, Version: 1, Value: w.Value})
	}
	return rows
}

// Guards against failing a job for good by the inherited number of attempts while the settings of its service, which may
// allow more, aren't known to the holder of the duty.
func TestFailureWithUnknownService(t *testing.T) {
	job := Record{State: Running, Repeatable: true, Worker: testWorker, Attempt: 3, FailedOn: []string{"a", "b"}}
	p, found := newTestPlanner(t, job)
	p.recordFailure(found, platform.TaskReport{State: platform.TaskFailed})
	assert.Equal(t, p.batch.job(found.Key()).State, Queued)
	p, found = newTestPlanner(t, job, node(testService, ""))
	p.recordFailure(found, platform.TaskReport{State: platform.TaskFailed})
	assert.Equal(t, p.batch.job(found.Key()).State, Failed)
	p, found = newTestPlanner(t, job, node(testService, `{"job.attempts":4}`))
	p.recordFailure(found, platform.TaskReport{State: platform.TaskFailed})
	assert.Equal(t, p.batch.job(found.Key()).State, Queued)
}

// Guards against removing the row of an ended job by the inherited retention while the settings of its service, which may
// ask for a longer one, aren't known.
func TestRetentionWithUnknownService(t *testing.T) {
	const hour = time.Hour
	for _, c := range []struct {
		rows    []platform.Write
		ended   time.Duration
		removed bool
	}{
		{nil, 2 * hour, false},
		{nil, 31 * 24 * hour, true},
		{[]platform.Write{node(testService, "")}, 2 * hour, true},
	} {
		p, found := newTestPlanner(t, Record{State: Done, Finished: time.Now().Add(-c.ended)}, c.rows...)
		_, ended := p.queuedAndEnded()
		p.removeExpired(ended)
		assert.Equal(t, p.batch.removed[found.Key()], c.removed)
	}
}

// Guards against recording a job as lost although its task may have completed: its worker isn't in the inventory, for
// example because it was taken away since, and the reports of its data centre weren't read.
func TestReportsOfUnknownWorkerAreAwaited(t *testing.T) {
	p, found := newTestPlanner(t, Record{State: Running, Worker: testWorker, Attempt: 1}, node(testService, ""))
	task := &taskState{attempt: 1, lastPossibleRenewal: time.Now().Add(-35 * time.Second)}
	p.recordOutcome(found, task)
	assert.Equal(t, p.batch.job(found.Key()).State, Running)
	p.reportReads["worcester"] = &reportRead{startedAt: time.Now()}
	p.recordOutcome(found, task)
	assert.Equal(t, p.batch.job(found.Key()).State, Lost)
	// Without any report, the wait has a bound.
	p, found = newTestPlanner(t, Record{State: Running, Worker: testWorker, Attempt: 1}, node(testService, ""))
	task.lastPossibleRenewal = time.Now().Add(-30*time.Second - maxReportWait - callTimeout)
	p.recordOutcome(found, task)
	assert.Equal(t, p.batch.job(found.Key()).State, Lost)
}

// Guards against taking the lease of an unreachable task as expired because the settings have a shorter one now than when
// it was granted.
func TestShorterLeaseEndsNoGrantedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, found := newTestPlanner(t, Record{State: Running, Worker: testWorker, Attempt: 1}, node(testService, ""))
		job, task := found.Value, p.tasks[found.Key()]
		renewed := platform.RenewResult{Renewed: map[string]bool{job.Task(): true}}
		p.handleRenewResult(job.Task(), time.Hour, renewed, nil)
		time.Sleep(59 * time.Minute)
		assert.Assert(t, !p.leaseExpired(job, task))
		time.Sleep(2 * time.Minute)
		assert.Assert(t, p.leaseExpired(job, task))
		p.handleRenewResult(job.Task(), time.Hour, renewed, nil)
		p.handleRenewResult(job.Task(), 30*time.Second, renewed, nil)
		time.Sleep(time.Minute)
		assert.Assert(t, p.leaseExpired(job, task))
	})
}

// Guards against rejecting a job for good by the instance sizes of an inventory that may be out of date.
func TestSizesOfStaleInventory(t *testing.T) {
	inventory := instance.NewInventory()
	record := instance.Record{ID: "i1", DataCentre: "worcester", Pool: testPool, Size: platform.Size{MilliCores: 1000, MemoryMB: 1000}}
	_, err := inventory.Update(versionOne(rowset.Write(record.Key(), record)))
	assert.NilError(t, err)
	current := true
	s := &Service{SizesCurrent: func() bool { return current }}
	s.SetInstanceSizes(NewInstanceSizes(inventory))
	job := Record{Pool: testPool, Size: platform.Size{MilliCores: 2000, MemoryMB: 1000}}
	_, err = s.Submit(t.Context(), job)
	assert.Assert(t, fault.IsKind(err, fault.JobNeverFits), err)
	current = false
	_, err = s.Submit(t.Context(), job)
	assert.Assert(t, fault.IsKind(err, fault.NotReady), err)
	assert.Assert(t, fault.As(err).RetryAfter() > 0)
}

// Guards against stopping a run because the replica doesn't have its worker's instance yet.
func TestRunOnUnknownWorkerGoesOn(t *testing.T) {
	record := instance.Record{ID: "i1", DataCentre: "worcester", Pool: testPool, State: instance.Leaving}
	for _, c := range []struct {
		rows    []platform.Write
		stopped bool
	}{
		{nil, false},
		{[]platform.Write{rowset.Write(record.Key(), record)}, true},
	} {
		p, found := newTestPlanner(t, Record{State: Running, Repeatable: true, Worker: testWorker, Attempt: 1}, c.rows...)
		p.c.Loop = control.New(1)
		p.c.Client = &platform.Client{Call: func(context.Context, string, any, any) error { return nil }}
		stopped := make(chan bool, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- p.c.Loop.Run(ctx, func() { stopped <- p.reconcileTask(found, p.tasks[found.Key()]) })
		}()
		assert.Equal(t, <-stopped, c.stopped)
		cancel()
		assert.NilError(t, <-done)
	}
}
