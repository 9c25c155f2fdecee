package schedule

import (
	"slices"
	"strconv"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
)

// checkAttempts fails the job if a task has crashed its workers, or has failed as often as the job's queue allows. It is called
// when a failed run or a crash is recorded and when the queue becomes known or changes. Without a queue only crashes count. Without a configuration the limit
// is only that of the job's acceptance, so the job is held until there is one.
func (s *Scheduler) checkAttempts(j *job) {
	if !j.open() {
		return
	}
	deadly := s.deadlyTask(j)
	if deadly != nil && s.mayEnd(j) {
		s.failForCrashes(deadly)
		return
	}
	if deadly != nil {
		s.giveUp(deadly)
	}
	if j.queue == nil {
		return
	}
	t := s.exhaustedTask(j)
	if t == nil {
		return
	}
	if s.Config == nil {
		s.unrouted[j] = true
		s.setPool(j, nil)
		return
	}
	s.Log.WriteFunc(event.AttemptsExhausted, func() event.Fields { return s.exhaustedFields(t) })
	s.endJob(j, work.Failed, "task "+t.id().String()+" has failed as often as its queue allows")
}

// mayEnd reports whether the job may be ended by the scheduler: no task with a disruption budget is at work, which an order to stop
// it would make unavailable beside the one that has crashed its workers. A worker that this leader hasn't heard yet may run one.
func (s *Scheduler) mayEnd(j *job) bool {
	for _, w := range s.unheard {
		if j.inherited && j.LongRunning() && j.mayHaveRunIn(w.DataCentre) {
			return false
		}
	}
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.spec.LongRunning && step.spec.HasDisruptionBudget && slices.ContainsFunc(step.tasks, (*task).mayBeAtWork) {
				return false
			}
		}
	}
	return true
}

// mayBeAtWork reports whether some run of the task may be in progress and isn't being stopped.
func (t *task) mayBeAtWork() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return !r.stopping })
}

// giveUp keeps a task that has crashed its workers from being started again, while the other tasks of its job go on. The job fails
// once none of them is at work.
func (s *Scheduler) giveUp(t *task) {
	h := t.history()
	s.givenUp[t.job()] = true
	if h.givenUp {
		return
	}
	h.givenUp = true
	s.logExhausted(t, true)
}

// checkGivenUp fails the jobs with a task that was given up of which no other task is at work any more.
func (s *Scheduler) checkGivenUp() {
	for j := range s.givenUp {
		if !j.open() {
			delete(s.givenUp, j)
			continue
		}
		s.checkAttempts(j)
	}
}

func (s *Scheduler) logExhausted(t *task, held bool) {
	j, h := t.job(), t.history()
	s.Log.WriteFunc(event.CrashesExhausted, func() event.Fields {
		return event.Fields{
			"job": j.ID, "task": t.id().String(), "crashes": len(h.runs), "crashes_sole": h.sole, "unconfirmed": h.unconfirmed, "queue": j.Queue,
			"held": held,
		}
	})
}

// failForCrashes ends the job of a task that has crashed its workers.
func (s *Scheduler) failForCrashes(t *task) {
	j, h := t.job(), t.history()
	s.logExhausted(t, false)
	s.endJob(j, work.Failed, "task "+t.id().String()+" has crashed "+strconv.Itoa(len(h.runs)-h.unconfirmed)+" workers")
}

// exhaustedTask returns a task of the job that has failed as often as the queue allows, or nil. Long-running tasks have no
// limit, and failures of a task that is done don't count.
func (s *Scheduler) exhaustedTask(j *job) *task {
	for _, failed := range j.failures {
		t := s.task(j, work.TaskID{Job: j.ID, Occurrence: failed.Occurrence, Step: failed.Step, Index: failed.Index})
		if t != nil && !t.done && !t.step.spec.LongRunning && t.failedRuns() >= j.queue.MaxAttempts {
			return t
		}
	}
	return nil
}

// failedRuns returns the number of the task's failed runs, those of the whole gang for a member of a gang. Several members
// that fail in one run of the gang count once.
func (t *task) failedRuns() int {
	if !t.step.spec.Gang {
		return t.failures
	}
	numbers := make(map[int64]bool)
	for _, failed := range t.job().failures {
		if failed.Step == t.step.index && failed.Occurrence == t.step.occurrence.index {
			numbers[failed.Run] = true
		}
	}
	return len(numbers)
}

// knownLimit returns the number of failed runs that the job's queue allows a task, 0 if the queue isn't known.
func (j *job) knownLimit() int {
	if j.queue == nil {
		return 0
	}
	return j.queue.MaxAttempts
}

// failureFields returns the fields of the line about a failed run.
func (s *Scheduler) failureFields(t *task, w *workerState, run int64) event.Fields {
	j := t.job()
	return event.Fields{
		"task": t.id().String(), "run": run, "worker": w.ID, "failures": t.failedRuns(), "limit": j.knownLimit(), "queue": j.Queue,
		"config": s.Config.VersionOrZero(), "earlier_epoch": run <= s.runBase,
	}
}

// exhaustedFields returns the fields of the line about a job that fails because of the task.
func (s *Scheduler) exhaustedFields(t *task) event.Fields {
	j, earlier := t.job(), 0
	for _, f := range j.failures {
		sameTask := f.Index == t.index || t.step.spec.Gang
		if f.Step == t.step.index && f.Occurrence == t.step.occurrence.index && sameTask && f.Run <= s.runBase {
			earlier++
		}
	}
	return event.Fields{
		"job": j.ID, "task": t.id().String(), "failures": t.failedRuns(), "limit": j.knownLimit(), "queue": j.Queue,
		"config": s.Config.VersionOrZero(), "earlier_epochs": earlier,
	}
}
