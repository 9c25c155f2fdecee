package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// applyEnd applies the end of a run that the worker reports. The worker keeps the end until the change that follows
// from it is stored.
func (s *Scheduler) applyEnd(w *workerState, end worker.End) {
	s.Log.WriteFunc(event.TaskEnded, func() event.Fields {
		return event.Fields{"task": end.Task.String(), "run": end.Run, "worker": w.ID, "kind": string(end.Kind), "number": end.Number}
	})
	j := s.jobs[end.Task.Job]
	t := s.task(j, end.Task)
	pending := pendingEnd{number: end.Number}
	r := w.runs[end.Task]
	if r != nil && r.number == end.Run {
		s.recordBegun(r)
		s.removeRun(r, string(end.Kind))
	}
	switch {
	case t != nil && j.open():
		pending.job, pending.change = s.applyOpenJobEnd(w, t, end, r)
	case j != nil && !j.stored:
		// Until the outcome is stored the next leader may continue the job, and needs this end.
		pending.job, pending.change = j, j.outcomeChange
	}
	if w.orphans[end.Task] == end.Run {
		delete(w.orphans, end.Task)
	}
	w.ends = append(w.ends, pending)
}

// applyOpenJobEnd applies the end to its open job. It returns the job with the number of the change to be stored, or
// nil if nothing needs to be stored.
func (s *Scheduler) applyOpenJobEnd(w *workerState, t *task, end worker.End, r *run) (*job, uint64) {
	j := t.job()
	t.nextRun = max(t.nextRun, end.Run+1)
	s.recordJobBegun(j)
	s.endTrial(t, end.Run)
	t.setCheckpoint(end.Checkpoint)
	if t.step.spec.LongRunning {
		s.endLongRunning(w, t, end, r)
		return nil, 0
	}
	switch end.Kind {
	case worker.Done:
		s.recordSuccess(w, r)
		s.completeTask(t)
		return j, j.lastChange
	case worker.Failed:
		failed := work.FailedRun{Step: end.Task.Step, Occurrence: end.Task.Occurrence, Index: end.Task.Index, Run: end.Run, Instance: w.Instance}
		if s.recordFailure(t, failed) {
			s.Log.WriteFunc(event.TaskFailed, func() event.Fields { return s.failureFields(t, w, end.Run) })
			s.recordWorkerFailure(w, t)
			s.markDirty(j)
			s.checkAttempts(j)
		}
		return j, j.lastChange
	}
	return nil, 0
}

// endLongRunning applies the end of a run of a long-running task, which is restarted however it ends. Its failures are only
// counted: they decide nothing, and a service may fail without end, so that a record of each would outgrow the job's row.
func (s *Scheduler) endLongRunning(w *workerState, t *task, end worker.End, r *run) {
	switch end.Kind {
	case worker.Done:
		s.recordSuccess(w, r)
	case worker.Failed:
		s.countFailure(t, w.Instance)
		s.Log.WriteFunc(event.TaskFailed, func() event.Fields { return s.failureFields(t, w, end.Run) })
		if r != nil && r.number == end.Run && r.isLong() {
			r.recordLongRun()
			return
		}
		s.recordWorkerFailure(w, t)
	}
}

// completeTask marks a task as done, and the whole gang for a member of a gang.
func (s *Scheduler) completeTask(t *task) {
	j := t.job()
	if t.step.spec.Gang {
		// The first member to end completes the gang; the other members end by themselves.
		for _, m := range t.step.tasks {
			s.markTaskDone(m)
		}
	} else {
		s.markTaskDone(t)
		for _, other := range t.runs {
			s.stop(other, "another run of the task has completed")
		}
	}
	s.checkJobDone(j)
	if j.open() {
		s.markDirty(j)
	}
}

// recordFailure records a failed run and returns false if it was known already. Whether the job has run out of attempts is
// decided by checkAttempts.
func (s *Scheduler) recordFailure(t *task, failed work.FailedRun) bool {
	j := t.job()
	key := failed
	key.Instance = ""
	if t.failuresKnownTo > 0 && failed.Run <= t.failuresKnownTo || j.failureSet[key] {
		return false
	}
	if j.failureSet == nil {
		j.failureSet = make(map[work.FailedRun]bool)
	}
	j.failureSet[key] = true
	j.failures = append(j.failures, failed)
	t.nextRun = max(t.nextRun, failed.Run+1)
	s.countFailure(t, failed.Instance)
	return true
}

// countFailure counts a failed run of the task on the instance and delays the next one.
func (s *Scheduler) countFailure(t *task, instance string) {
	t.failures++
	if t.failedOn == nil {
		t.failedOn = make(map[string]int)
	}
	t.failedOn[instance]++
	t.notBefore = s.Now() + failureBackoff*time.Duration(min(t.failures, maxFailureBackoffs))
}
