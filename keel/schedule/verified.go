package schedule

import (
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// verifiedTime is how long before the order to start a run its worker must have responded for a crash to count fully against the task
// if the order gets no response. A worker that had been silent for longer may have ended before.
const verifiedTime = 200 * time.Millisecond

// isUnverified reports whether the run isn't known to have begun, and its worker may have ended before it was ordered.
func (r *run) isUnverified() bool { return !r.begun && r.worker.aliveAt < r.ordered-verifiedTime }

// verify reports whether a suspected task may start on the worker, and requests a response if it may be gone unnoticed: idle workers are
// renewed rarely, and a crash there shows nothing unless they lived when the task was ordered.
func (s *Scheduler) verify(w *workerState) bool {
	if !w.isEmpty() || s.Now()-w.aliveAt <= verifiedTime {
		return true
	}
	s.renew(w)
	return false
}

// verifyAll is verify for the workers of a gang.
func (s *Scheduler) verifyAll(workers []*workerState) bool {
	all := true
	for _, w := range workers {
		all = s.verify(w) && all
	}
	return all
}

// retractCrash forgets the crash under a run that was removed with its worker, if the response to its only order shows that the run
// never began.
func (s *Scheduler) retractCrash(r *run, reply worker.Reply, err error) {
	notBegun := err != nil && fault.As(err).Outcome() == fault.NotRun || err == nil && reply.Refusal == worker.OtherBoot
	j, id := r.task.job(), r.task.id()
	if !notBegun || r.begun || r.repeats > 0 || !j.open() || r.task.history() == nil {
		return
	}
	lost := work.CrashedRun{Step: id.Step, Occurrence: id.Occurrence, Index: id.Index, Run: r.number}
	s.keepCrashes(j, func(c *work.CrashedRun) bool { return !c.IsSameRun(lost) })
	s.schedulePlan()
}
