package schedule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// job is the state of an open job, or the outcome of an ended one.
type job struct {
	*work.Job
	// queue is nil if the job's queue isn't known.
	queue *queue.Queue
	pool  *pool
	// tenant is nil for a job of no tenant. beyond is set if the tenant had sent more than it is owed when the job arrived.
	tenant *tenantState
	beyond bool
	// overShare is set if the tenant had sent more work than its share of the pool when the job arrived.
	overShare bool
	// mayPassCap is set while the job may start tasks although others before it wait for room under their tenant's cap.
	mayPassCap bool
	// version is the version of the submission's row, 0 if there may be none; rows holds the keys and versions of the job's rows
	// in the ledger, and maybeIn the partitions in which a write of its row had an unknown outcome.
	version uint64
	rows    []table.Condition
	maybeIn []string
	// inherited is set if an earlier leader may have started tasks of the job.
	inherited bool
	// arrived is when the job was accepted, by the scheduler's clock.
	arrived     time.Duration
	occurrences []*occurrence
	// released is the number of occurrences whose scheduled time has passed; done is the number of completed ones.
	released int
	done     int
	// begun is set once a worker is known to have begun a task: an order to start one may be lost or rejected.
	begun bool
	// pending is set while the job is counted as pending.
	pending bool
	// outcome is set once the job's result is decided, in change number outcomeChange; stored is set once it is in the
	// ledger.
	outcome       *work.Outcome
	outcomeChange uint64
	stored        bool
	// lastChange is the number of the last change; storedChange is the number of the last change in the ledger.
	lastChange, storedChange uint64
	// rejections counts the transactions with nothing but the job's row that the store has rejected as invalid since it stored
	// the whole record; omittedRuns is the number of failed and crashed runs that the latest row leaves out.
	rejections, omittedRuns int
	// dirty is set while a change waits for the ledger, the first since dirtySince.
	dirty      bool
	dirtySince time.Duration
	// remoteDataCentres holds the data centres other than the job's home in which tasks may run, with the number of the
	// change that must be stored before the first task starts there.
	remoteDataCentres map[string]uint64
	failures          []work.FailedRun
	// failureSet holds the same without the instances.
	failureSet map[work.FailedRun]bool
	// crashes lists the runs that ended with a worker that crashed.
	crashes     []work.CrashedRun
	checkpoints map[string]string
	// waiting is the number of tasks that need a run and whose step is ready.
	waiting int
	// maySpeculate is set if some task may need a speculative run.
	maySpeculate bool
	// entry is what the backlog of the job's pool counts for it; touched is set while that may be out of date.
	entry   backlogEntry
	touched bool
	// estimates holds the expected duration of a task of each step.
	estimates []time.Duration
	// criticalPath is the estimated duration of the longest chain of dependent steps.
	criticalPath time.Duration
	// onStored holds callbacks to run once the outcome is stored.
	onStored []func()
}

// occurrence is one execution of all steps of a job; a timed job has several.
type occurrence struct {
	job   *job
	index int
	steps []*stepState
	done  int
}

// stepState is the state of one step in one occurrence.
type stepState struct {
	occurrence *occurrence
	index      int
	spec       *work.Step
	tasks      []*task
	done       int
	// doneTasks is the set of the tasks that are done.
	doneTasks work.BitSet
	ready     bool
	// estimate is the expected duration of a task.
	estimate time.Duration
	// waiting is the number of tasks that need a run; it is 0 until the step is ready.
	waiting int
	// criticalPath is the estimated time from the step's start to the end of the longest chain of steps that depend on
	// it.
	criticalPath time.Duration
	// crashes counts the crashes under a gang, nil if there are none.
	crashes *crashHistory
	// checkpoint is the latest one of a gang, empty for none.
	checkpoint string
	// tickets holds the tickets of the queue's placement policy.
	tickets stepTickets
}

// task is one task of a step.
type task struct {
	step  *stepState
	index int
	done  bool
	// runs holds the runs that may be in progress.
	runs []*run
	// nextRun is the number for the task's next run.
	nextRun  int64
	failures int
	// failuresKnownTo is the number of the run up to which all failed runs are recorded, though not under their own numbers.
	failuresKnownTo int64
	// crashes counts the crashes under the task, nil if there are none or for a member of a gang.
	crashes *crashHistory
	// failedOn counts the task's failures by instance ID.
	failedOn map[string]int
	// crashedOn holds the instances whose worker has booted again under the task.
	crashedOn map[string]bool
	// checkpoint is the latest one of the task, empty for none and for a member of a gang.
	checkpoint string
	// readySince is when the task last became able to start: an order that failed, or had no effect, doesn't change it. notBefore is
	// the end of its back-off after a failure.
	readySince time.Duration
	notBefore  time.Duration
	// servingAt is when the long-running task was last known to serve, 0 if this leader hasn't seen it serve.
	servingAt time.Duration
}

func (t *task) id() work.TaskID {
	return work.TaskID{Job: t.step.occurrence.job.ID, Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index}
}

// recordRow records a row of the job in the ledger.
func (j *job) recordRow(row table.Condition) {
	i := slices.IndexFunc(j.rows, func(known table.Condition) bool { return known.Key == row.Key })
	if i < 0 {
		j.rows = append(j.rows, row)
		return
	}
	j.rows[i].Version = max(j.rows[i].Version, row.Version)
}

func (t *task) job() *job { return t.step.occurrence.job }

// needsRun reports whether the task is unfinished and has no run in progress.
func (t *task) needsRun() bool { return !t.done && len(t.runs) == 0 }

// open reports whether the job's outcome is still undecided.
func (j *job) open() bool { return j.outcome == nil }

// mayRunIn reports whether the stored ledger permits the job's tasks in the data centre.
func (j *job) mayRunIn(dataCentre string) bool {
	if j.Home == "" || j.Home == dataCentre {
		return true
	}
	change, ok := j.remoteDataCentres[dataCentre]
	return ok && j.storedChange >= change
}

// mayRequest reports whether the job's tasks could get permission to run in a data centre for which the ledger has none
// yet.
func (j *job) mayRequest(dataCentre string) bool {
	_, requested := j.remoteDataCentres[dataCentre]
	return dataCentre != j.Home && !requested
}

// mayHaveRunIn reports whether an earlier leader may have started tasks of the job in the data centre. An empty name is
// an unknown data centre.
func (j *job) mayHaveRunIn(dataCentre string) bool {
	_, remote := j.remoteDataCentres[dataCentre]
	return j.Home == "" || j.Home == dataCentre || remote || dataCentre == ""
}

func (j *job) allowDataCentre(dataCentre string, change uint64) {
	if j.remoteDataCentres == nil {
		j.remoteDataCentres = make(map[string]uint64)
	}
	j.remoteDataCentres[dataCentre] = change
}

// state returns the job's state as callers see it.
func (j *job) state() work.State {
	switch {
	case j.outcome != nil && j.stored:
		return j.outcome.State
	case j.begun:
		return work.Running
	}
	return work.Queued
}

// recordBegun records that the worker has begun the run.
func (s *Scheduler) recordBegun(r *run) {
	r.begun = true
	s.recordJobBegun(r.task.job())
}

// recordJobBegun records that a worker has begun a task of the job.
func (s *Scheduler) recordJobBegun(j *job) {
	if j.begun || !j.open() {
		return
	}
	j.begun = true
	s.updatePending(j)
	s.markDirty(j)
}

// addSubmission adds a submitted job with what the ledger holds of it.
func (s *Scheduler) addSubmission(submission ledger.Submission, record ledger.JobRecord, source string) {
	if s.jobs[submission.Job.ID] != nil || s.unreadable[submission.Job.ID] && record.Outcome == nil {
		return
	}
	j := &job{Job: submission.Job, version: submission.Version, inherited: submission.Version < s.minGuard}
	j.arrived = s.Now() - max(0, s.Wall()-time.Duration(j.Accepted)*time.Millisecond)
	s.jobs[j.ID] = j
	if record.Outcome != nil {
		// The earlier leader has not replaced the submission with a stub.
		j.outcome, j.stored = record.Outcome, true
		j.release()
		s.ledger.pendingStubs = append(s.ledger.pendingStubs, j)
		return
	}
	s.Log.WriteFunc(event.JobTaken, func() event.Fields {
		return event.Fields{"job": j.ID, "queue": j.Queue, "tasks": j.Tasks(), "source": source, "version": j.version, "shape": formatSteps(j.Job)}
	})
	s.estimate(j)
	s.setTenant(j)
	s.route(j)
	j.occurrences = make([]*occurrence, j.OccurrenceCount())
	s.releaseOccurrences(j)
	if j.released < j.OccurrenceCount() {
		s.timed[j] = true
	}
	if record.Progress != nil {
		s.restore(j, record.Progress)
	}
	s.setShare(j)
	s.countArrival(j, source == sourceLedger)
	s.updatePending(j)
	if s.pendingCancels[j.ID] {
		delete(s.pendingCancels, j.ID)
		s.cancelStored(j.ID)
	}
}

// formatSteps formats the size and constraints of each step for the log.
func formatSteps(j *work.Job) string {
	var text strings.Builder
	for i, step := range j.Steps {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%dx%dm/%dMB/%dms", step.Count, step.Size.MilliCores, step.Size.MemoryMB, step.Estimate.Milliseconds())
		if step.LongRunning {
			fmt.Fprintf(&text, ",lasting,budget=%d", step.DisruptionBudget)
		}
		if step.MaxPerWorker > 0 {
			fmt.Fprintf(&text, ",per_worker=%d", step.MaxPerWorker)
		}
		if step.LatencyTarget > 0 {
			fmt.Fprintf(&text, ",tail=%dms", step.LatencyTarget.Milliseconds())
		}
		for _, flag := range []struct {
			on   bool
			name string
		}{{step.BestEffort, "fills"}, {step.Gang, "gang"}, {step.Speculative, "speculative"}, {step.Checkpoints, "checkpoints"}, {step.SameRack, "same_rack"}, {step.Label != "", "label"}, {step.DataRack != "", "data"}} {
			if flag.on {
				text.WriteString("," + flag.name)
			}
		}
	}
	return text.String()
}

// task returns the task with the ID, or nil if the job has no such task. It creates the occurrence's state if
// necessary.
func (s *Scheduler) task(j *job, id work.TaskID) *task {
	if min(id.Occurrence, id.Step, id.Index) < 0 {
		return nil
	}
	if j == nil || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	return s.occurrence(j, id.Occurrence).steps[id.Step].tasks[id.Index]
}

// occurrence returns the state of the job's occurrence k, which it creates if necessary.
func (s *Scheduler) occurrence(j *job, k int) *occurrence {
	if j.occurrences[k] != nil {
		return j.occurrences[k]
	}
	o := &occurrence{job: j, index: k, steps: make([]*stepState, 0, len(j.Steps))}
	if j.estimates == nil {
		s.estimate(j)
	}
	paths := criticalPaths(j.Steps, j.estimates)
	for i := range j.Steps {
		step := &stepState{occurrence: o, index: i, spec: &j.Steps[i], estimate: j.estimates[i], criticalPath: paths[i]}
		step.addTasks(s.runBase + 1)
		o.steps = append(o.steps, step)
	}
	j.occurrences[k] = o
	return o
}

// addTasks adds the step's tasks, whose first runs get the number. Their memory is allocated together, with room for one
// run of each.
func (st *stepState) addTasks(firstRun int64) {
	count := st.spec.Count
	tasks, runs := make([]task, count), make([]*run, count)
	st.tasks = make([]*task, count)
	for n := range tasks {
		tasks[n] = task{step: st, index: n, nextRun: firstRun, runs: runs[n : n : n+1]}
		st.tasks[n] = &tasks[n]
	}
}

// releaseOccurrences marks steps ready in each occurrence whose scheduled time has passed.
func (s *Scheduler) releaseOccurrences(j *job) {
	for j.released < j.OccurrenceCount() && s.Wall() >= j.Due(j.released) {
		o := s.occurrence(j, j.released)
		j.released++
		s.updateReadySteps(o)
	}
}

// releaseDue releases occurrences of all timed jobs.
func (s *Scheduler) releaseDue() {
	for j := range s.timed {
		if j.open() {
			s.releaseOccurrences(j)
		}
		if !j.open() || j.released == j.OccurrenceCount() {
			delete(s.timed, j)
		}
	}
}

// updateReadySteps marks each step ready whose dependencies are done.
func (s *Scheduler) updateReadySteps(o *occurrence) {
	now := s.Now()
	for _, step := range o.steps {
		if step.ready || !step.dependenciesDone() {
			continue
		}
		step.ready = true
		o.job.touch()
		for _, t := range step.tasks {
			t.readySince = now
			if t.needsRun() {
				step.addWaiting(1)
			}
		}
	}
}

// addWaiting adds n, which may be negative, to the number of waiting tasks.
func (st *stepState) addWaiting(n int) {
	st.waiting += n
	st.occurrence.job.waiting += n
	st.occurrence.job.touch()
}

func (st *stepState) dependenciesDone() bool {
	for _, earlier := range st.spec.After {
		other := st.occurrence.steps[earlier]
		if other.done < len(other.tasks) {
			return false
		}
	}
	return true
}
