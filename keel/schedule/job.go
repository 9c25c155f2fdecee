package schedule

import (
	"fmt"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
)

// job is an open job, or one whose outcome is known.
type job struct {
	*work.Job
	// queue is the queue's present configuration, nil while the configuration doesn't name it.
	queue *queue.Queue
	pool  *pool
	// version is that of the submission's row.
	version uint64
	// inherited reports that an earlier leader may have started tasks of the job.
	inherited bool
	// arrived is when the job was taken in, by the scheduler's clock.
	arrived time.Duration
	occs    []*occurrence
	// due is the number of occurrences whose time has come.
	due     int
	done    int
	started bool
	// outcome is set once the job's end is decided, by the change outcomeFrom; stored is set once that is in the ledger.
	outcome     *work.Outcome
	outcomeFrom uint64
	stored      bool
	// change counts changes to be stored, kept the last change that is.
	change, kept uint64
	dirty        bool
	// away holds the data centres outside of the job's home where tasks may run, with the change that must be stored
	// before the first does.
	away     map[string]uint64
	failures []work.FailedRun
	saved    map[string]string
	// waiting is the number of tasks that could start.
	waiting int
	// copies reports that a task may want a second run.
	copies bool
	// chain is the estimated time of the longest chain of steps.
	chain time.Duration
	// onStored is called once the outcome is stored.
	onStored []func()
	stubbed  bool
	ended    time.Duration
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	job   *job
	index int
	steps []*stepState
	done  int
}

// stepState is a step of one occurrence.
type stepState struct {
	occ   *occurrence
	index int
	spec  *work.Step
	tasks []*task
	done  int
	ready bool
	// waiting is the number of tasks that could start.
	waiting int
	// tail is the estimated time from the step's start to the end of the longest chain.
	tail time.Duration
	// gangRun is the run number that a gang's members share.
	advice adviceState
}

// task is one task of a step.
type task struct {
	step  *stepState
	index int
	done  bool
	// runs holds the runs that may be going on.
	runs []*run
	// nextRun is the number of the next run.
	nextRun  int64
	failures int
	// failedOn holds the instances on which the task failed.
	failedOn   map[string]int
	checkpoint string
	// readySince is when the task could first start; notBefore keeps a failed task from starting at once.
	readySince time.Duration
	notBefore  time.Duration
	// lastRun is when the task's last run ended, for tasks that last.
	lastRun time.Duration
}

func (t *task) id() work.TaskID {
	return work.TaskID{Job: t.step.occ.job.ID, Occurrence: t.step.occ.index, Step: t.step.index, Index: t.index}
}

func (t *task) job() *job { return t.step.occ.job }

// waitsForStart reports whether a run of the task is wanted and none goes on.
func (t *task) waitsForStart() bool { return !t.done && len(t.runs) == 0 }

// open reports whether the job's end isn't decided.
func (j *job) open() bool { return j.outcome == nil }

// mayUse reports whether the ledger says that the job's tasks may run in the data centre.
func (j *job) mayUse(dataCentre string) bool {
	if j.Home == "" || j.Home == dataCentre {
		return true
	}
	change, ok := j.away[dataCentre]
	return ok && j.kept >= change
}

// mayHaveUsed reports whether an earlier leader may have started tasks of the job in the data centre.
func (j *job) mayHaveUsed(dataCentre string) bool {
	_, away := j.away[dataCentre]
	return j.Home == "" || j.Home == dataCentre || away || dataCentre == ""
}

func (j *job) setAway(dataCentre string, change uint64) {
	if j.away == nil {
		j.away = make(map[string]uint64)
	}
	j.away[dataCentre] = change
}

// state returns what callers are shown.
func (j *job) state() work.State {
	switch {
	case j.outcome != nil && j.stored:
		return j.outcome.State
	case j.started:
		return work.Running
	}
	return work.Queued
}

// takeSubmission takes in a job.
func (s *Scheduler) takeSubmission(submission ledger.Submission, entry ledger.JobRecord, source string) {
	if s.jobs[submission.Job.ID] != nil {
		return
	}
	j := &job{Job: submission.Job, version: submission.Version, inherited: submission.Version < s.guard, chain: chainOf(submission.Job.Steps)}
	j.arrived = s.Now() - max(0, s.Wall()-time.Duration(j.Accepted)*time.Millisecond)
	s.jobs[j.ID] = j
	if entry.Outcome != nil {
		j.outcome, j.stored, j.ended = entry.Outcome, true, s.Now()
		return
	}
	s.Log.Write(event.JobTaken, event.Fields{"job": j.ID, "queue": j.Queue, "tasks": j.Tasks(), "source": source, "version": j.version, "shape": shapeOf(j.Job)})
	s.route(j)
	j.occs = make([]*occurrence, j.OccurrenceCount())
	s.release(j)
	if entry.Progress != nil {
		s.restore(j, entry.Progress)
	}
	s.countArrival(j)
	if s.cancelled[j.ID] {
		delete(s.cancelled, j.ID)
		s.cancelStored(j.ID)
	}
}

// shapeOf describes the steps of a job for the log, the tasks of each with what binds them.
func shapeOf(j *work.Job) string {
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

// restore takes in what earlier leaders stored of the job.
func (s *Scheduler) restore(j *job, p *work.Progress) {
	j.started = p.Started
	for _, dataCentre := range p.RemoteDataCentres {
		j.setAway(dataCentre, 0)
	}
	for k, steps := range p.Done {
		for i, bits := range steps {
			if k >= len(j.occs) || i >= len(j.Steps) {
				continue
			}
			for index := range j.Steps[i].Count {
				if bits.Has(index) {
					s.finishTask(s.task(j, work.TaskID{Job: j.ID, Occurrence: k, Step: i, Index: index}))
				}
			}
		}
	}
	for _, a := range p.Failures {
		t := s.task(j, work.TaskID{Job: j.ID, Occurrence: a.Occurrence, Step: a.Step, Index: a.Index})
		if t != nil {
			s.recordFailure(t, a)
		}
	}
	for name, checkpoint := range p.Checkpoints {
		id, ok := work.ParseTaskID(j.ID + "." + name)
		t := s.task(j, id)
		if ok && t != nil {
			t.checkpoint = checkpoint
		}
	}
	s.checkFinished(j)
}

// task returns a task of the job, or nil if the job has none such; it prepares the occurrence.
func (s *Scheduler) task(j *job, id work.TaskID) *task {
	if j == nil || id.Occurrence >= len(j.occs) || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Count {
		return nil
	}
	return s.occurrence(j, id.Occurrence).steps[id.Step].tasks[id.Index]
}

// occurrence returns the job's occurrence, prepared.
func (s *Scheduler) occurrence(j *job, k int) *occurrence {
	if j.occs[k] != nil {
		return j.occs[k]
	}
	o := &occurrence{job: j, index: k}
	tails := tailsOf(j.Steps)
	for i := range j.Steps {
		step := &stepState{occ: o, index: i, spec: &j.Steps[i], tail: tails[i]}
		for n := range j.Steps[i].Count {
			step.tasks = append(step.tasks, &task{step: step, index: n, nextRun: s.runSeed + 1})
		}
		o.steps = append(o.steps, step)
	}
	j.occs[k] = o
	return o
}

// release makes the steps ready of the occurrences whose time has come.
func (s *Scheduler) release(j *job) {
	for j.due < j.OccurrenceCount() && s.Wall() >= j.Due(j.due) {
		o := s.occurrence(j, j.due)
		j.due++
		s.readySteps(o)
	}
}

// releaseDue releases the occurrences whose time has come.
func (s *Scheduler) releaseDue(time.Duration) {
	for _, j := range s.jobs {
		if j.HasDueTimes() && j.open() && j.due < j.OccurrenceCount() {
			s.release(j)
		}
	}
}

// readySteps makes the steps ready whose earlier steps are done.
func (s *Scheduler) readySteps(o *occurrence) {
	now := s.Now()
	for _, step := range o.steps {
		if step.ready || !step.afterDone() {
			continue
		}
		step.ready = true
		for _, t := range step.tasks {
			t.readySince = now
			if t.waitsForStart() {
				step.addWaiting(1)
			}
		}
	}
}

// addWaiting counts tasks that could start, or no longer.
func (st *stepState) addWaiting(n int) {
	st.waiting += n
	st.occ.job.waiting += n
}

func (st *stepState) afterDone() bool {
	for _, earlier := range st.spec.After {
		other := st.occ.steps[earlier]
		if other.done < len(other.tasks) {
			return false
		}
	}
	return true
}

// routeJobs finds the queues of all jobs anew.
func (s *Scheduler) routeJobs() {
	for _, j := range s.jobs {
		if j.open() {
			s.route(j)
		}
	}
}

// route finds the job's queue and pool in the configuration in force.
func (s *Scheduler) route(j *job) {
	j.queue = s.Config.QueueByName(j.Queue)
	if j.queue == nil {
		s.setPool(j, nil)
		return
	}
	s.setPool(j, s.pool(j.queue.Pool))
}

func (s *Scheduler) setPool(j *job, p *pool) {
	if j.pool == p {
		return
	}
	if j.pool != nil {
		delete(j.pool.jobs, j)
	}
	j.pool = p
	if p != nil {
		p.jobs[j] = true
	}
}

// forgetWaiting takes an ended job off its pool.
func (s *Scheduler) forgetWaiting(j *job) { s.setPool(j, nil) }
