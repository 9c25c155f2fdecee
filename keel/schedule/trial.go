package schedule

import (
	"slices"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/work"
)

// trialKey returns the task by which the trial of a task is recorded: the first one of a gang.
func (t *task) trialKey() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// trial returns the index of the record of the task's latest trial, -1 if there is none.
func (j *job) trial(t *task) int {
	id := t.trialKey().id()
	return slices.IndexFunc(j.crashes, func(c work.CrashedRun) bool {
		return c.Trial && c.Index == id.Index && c.Step == id.Step && c.Occurrence == id.Occurrence
	})
}

// removeTrial removes the record of the task's latest trial, if there is one.
func (j *job) removeTrial(t *task) {
	i := j.trial(t)
	if i >= 0 {
		j.crashes = slices.Delete(j.crashes, i, i+1)
	}
}

// mayStartTrial reports whether the record of the run is stored, without which a suspected task isn't started: the next leader
// would not know of a crash under it. It stores the record if necessary.
func (s *Scheduler) mayStartTrial(t *task, number int64) bool {
	j := t.job()
	i := j.trial(t)
	if i >= 0 && j.crashes[i].Run == number {
		return j.storedChange >= t.history().change
	}
	j.removeTrial(t)
	id := t.trialKey().id()
	j.crashes = append(j.crashes, work.CrashedRun{Step: id.Step, Occurrence: id.Occurrence, Index: id.Index, Run: number, Trial: true})
	t.history().change = s.markDirty(j)
	s.ledger.flush()
	return false
}

// countLostTrial counts a trial of an earlier leader that no worker lists as a crash. It is called when no worker may be running
// the task.
func (s *Scheduler) countLostTrial(t *task) {
	j := t.job()
	i := j.trial(t)
	if i < 0 || j.crashes[i].Run > s.runBase {
		return
	}
	c := j.crashes[i]
	// The leader may have ended before it sent the order, so that this counts for the isolation only.
	c.Trial, c.Suspect, c.Unanswered = false, true, true
	s.addCrash(t.trialKey(), c)
	s.Log.Write(event.TrialLost, event.Fields{"task": t.id().String(), "run": c.Run, "crashes": len(t.history().runs)})
	// The backlog may not change during a placement pass.
	s.after(0, func() { s.checkAttempts(j) })
}

// endTrial removes the record of a trial of which a worker has listed the end.
func (s *Scheduler) endTrial(t *task, number int64) {
	j := t.job()
	i := j.trial(t)
	if i >= 0 && j.crashes[i].Run == number {
		j.removeTrial(t)
		s.markDirty(j)
	}
}
