package schedule

import (
	"time"

	"samphirekeel.example/keel/work"
)

// markTaskDone marks a task as done and readies the steps that depend on it.
func (s *Scheduler) markTaskDone(t *task) {
	if t == nil || t.done {
		return
	}
	if t.step.ready && t.needsRun() {
		t.step.addWaiting(-1)
	}
	t.done = true
	t.step.done++
	t.step.doneTasks = t.step.doneTasks.With(t.index)
	t.job().touch()
	if t.step.done < len(t.step.tasks) {
		return
	}
	o := t.step.occurrence
	o.done++
	if o.done == len(o.steps) {
		o.job.done++
		return
	}
	if o.index < o.job.released {
		s.updateReadySteps(o)
	}
}

// checkJobDone completes the job if all of its occurrences are done.
func (s *Scheduler) checkJobDone(j *job) {
	if j.open() && j.done == j.OccurrenceCount() {
		s.endJob(j, work.Completed, "")
	}
}

// endJob sets the job's outcome, stores it and stops the job's runs.
func (s *Scheduler) endJob(j *job, state work.State, reason string) {
	j.outcome = &work.Outcome{
		State: state, Queue: j.Queue, Tenant: j.Tenant, Digest: j.Digest, Ended: s.Wall().Milliseconds(), Reason: reason,
	}
	j.waiting = 0
	s.updatePending(j)
	s.removeFromPool(j)
	s.leaveTenant(j)
	s.markUrgent(j)
	s.stopAll(j, "the job is "+string(state))
}

func (s *Scheduler) stopAll(j *job, reason string) {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			for _, t := range step.tasks {
				for _, r := range t.runs {
					s.stop(r, reason)
				}
			}
		}
	}
}

// addOutcome adds an ended job, of which no submission is left, with its stored outcome.
func (s *Scheduler) addOutcome(id string, outcome *work.Outcome) {
	if s.jobs[id] != nil {
		return
	}
	s.jobs[id] = &job{Job: &work.Job{ID: id, Queue: outcome.Queue, Tenant: outcome.Tenant, Digest: outcome.Digest}, outcome: outcome, stored: true}
}

// release drops all of an ended job whose outcome is stored but what callers may still ask for. Its runs that are being stopped
// keep their tasks.
func (j *job) release() {
	*j = job{
		Job: &work.Job{ID: j.ID, Queue: j.Queue, Tenant: j.Tenant, Digest: j.Digest}, outcome: j.outcome, outcomeChange: j.outcomeChange, stored: j.stored,
		lastChange: j.lastChange, storedChange: j.storedChange, dirty: j.dirty, dirtySince: j.dirtySince, version: j.version, rows: j.rows,
		maybeIn: j.maybeIn,
	}
}

// objective returns the time by which the job should be completed, by the scheduler's clock.
func (j *job) objective() time.Duration {
	if j.queue == nil {
		return j.arrived
	}
	return j.arrived + j.queue.LatencyTarget + time.Duration(j.queue.Stretch*float64(j.criticalPath))
}

// lateness returns the time by which at exceeds the job's objective. It is 0 for long-running jobs, which have none,
// and for jobs without a queue.
func (j *job) lateness(at time.Duration) time.Duration {
	if j.queue == nil || j.LongRunning() {
		return 0
	}
	return max(0, at-j.objective())
}
