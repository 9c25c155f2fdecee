package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// takeEnd takes in the end of a run.
func (s *Scheduler) takeEnd(h *host, end worker.End) {
	s.Log.Write(event.TaskEnded, event.Fields{"task": end.Task.String(), "run": end.Run, "worker": h.ID, "kind": string(end.Kind), "number": end.Number})
	j := s.jobs[end.Task.Job]
	t := s.task(j, end.Task)
	pending := pendingEnd{number: end.Number}
	r := h.runs[end.Task]
	if r != nil && r.number == end.Run {
		s.removeRun(r, string(end.Kind))
	}
	if t != nil && j.open() {
		pending.job, pending.change = s.takeOpenEnd(h, t, end, r)
	}
	if h.strangers[end.Task] == end.Run {
		delete(h.strangers, end.Task)
	}
	h.ends = append(h.ends, pending)
}

// takeOpenEnd changes the open job that the end concerns, and returns the change that has to be stored.
func (s *Scheduler) takeOpenEnd(h *host, t *task, end worker.End, r *run) (*job, uint64) {
	j := t.job()
	t.nextRun = max(t.nextRun, end.Run+1)
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	switch end.Kind {
	case worker.Done:
		s.worked(h, t, r)
		s.done(t)
		return j, j.change
	case worker.Failed:
		a := work.FailedRun{Step: end.Task.Step, Occurrence: end.Task.Occurrence, Index: end.Task.Index, Run: end.Run, Instance: h.Instance}
		if s.recordFailure(t, a) {
			s.blameFailure(h, t)
			return j, s.markDirty(j)
		}
	}
	return nil, 0
}

// done notes that a task has ended well, and with a gang's member the whole gang.
func (s *Scheduler) done(t *task) {
	j := t.job()
	if t.step.spec.LongRunning {
		// A lasting task that ends is started again.
		s.markDirty(j)
		return
	}
	if t.step.spec.Gang {
		// One member's end stands for all of them, which end by themselves.
		for _, m := range t.step.tasks {
			s.finishTask(m)
		}
	} else {
		s.finishTask(t)
		for _, other := range t.runs {
			s.stop(other, "another run of the task is done")
		}
	}
	s.checkFinished(j)
	if j.open() {
		s.markDirty(j)
	}
}

// recordFailure counts a failed run once, and fails the job if the task has no attempts left.
func (s *Scheduler) recordFailure(t *task, a work.FailedRun) bool {
	j := t.job()
	for _, known := range j.failures {
		if known == a || known.Run == a.Run && known.Step == a.Step && known.Index == a.Index && known.Occurrence == a.Occurrence {
			return false
		}
	}
	j.failures = append(j.failures, a)
	t.failures++
	t.nextRun = max(t.nextRun, a.Run+1)
	if t.failedOn == nil {
		t.failedOn = make(map[string]int)
	}
	t.failedOn[a.Instance]++
	t.notBefore = s.Now() + failureBackoff*time.Duration(min(t.failures, maxBackoffs))
	limit := 1
	if j.queue != nil {
		limit = j.queue.MaxAttempts
	}
	if !t.step.spec.LongRunning && t.failures >= limit && j.open() && !t.done {
		s.finish(j, work.Failed, "task "+t.id().String()+" has failed as often as its queue allows")
	}
	return true
}
