package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
)

const (
	// blameFailures is the number of failures of different jobs without a success between after which a worker is avoided.
	blameFailures = 2
	// avoidFirst is how long a worker that fails its tasks is avoided at first; the time doubles with each turn.
	avoidFirst = 2500 * time.Millisecond
	// avoidMost bounds that time.
	avoidMost = 20 * time.Second
	// copyFactor times the estimate and copyAfter is how long a run may take before a second one starts.
	copyFactor = 2
	copyAfter  = 300 * time.Millisecond
	// stallTime is how long a run may make no progress, beyond which its worker is taken to hang; a sound worker
	// lists progress at each look.
	stallTime = 900 * time.Millisecond
)

// blame is what speaks against a worker.
type blame struct {
	// jobs holds the jobs that failed there since the last success.
	jobs  map[string]bool
	turns int
}

// worked notes that a task was done on the worker.
func (s *Scheduler) worked(h *host, t *task, r *run) {
	h.blame.jobs = nil
	h.blame.turns = 0
	if r != nil && r.known != 0 {
		s.learn(t.step, s.Now()-r.known)
	}
}

// blameFailure notes that a task failed on the worker; a task that has failed on other workers too is to blame itself.
func (s *Scheduler) blameFailure(h *host, t *task) {
	if len(t.failedOn) > 1 {
		return
	}
	if h.blame.jobs == nil {
		h.blame.jobs = make(map[string]bool)
	}
	h.blame.jobs[t.job().ID] = true
	if len(h.blame.jobs) >= blameFailures {
		s.avoidLonger(h, "tasks of several jobs failed there without a success between")
	}
}

func (s *Scheduler) avoidLonger(h *host, reason string) {
	length := min(avoidMost, avoidFirst<<min(h.blame.turns, 4))
	h.blame.turns++
	h.blame.jobs = nil
	s.avoid(h, reason, length)
}

// avoid keeps a worker from getting tasks for a while.
func (s *Scheduler) avoid(h *host, reason string, length time.Duration) {
	until := s.Now() + length
	if until <= h.avoidUntil {
		return
	}
	again := s.Now() < h.avoidUntil
	h.avoidUntil = until
	if again {
		return
	}
	s.Log.Write(event.WorkerAvoided, event.Fields{"worker": h.ID, "reason": reason, "until_ms": length.Milliseconds()})
	s.after(length, s.soon)
}

// checkRuns looks for runs that make no progress.
func (s *Scheduler) checkRuns(now time.Duration) {
	for _, h := range s.workers {
		if h.silent != 0 {
			continue
		}
		for _, r := range sortedRuns(h.runs) {
			s.checkRun(h, r)
			r.checkCopy(now)
		}
	}
}

// checkRun stops a run that stands still, so that it starts elsewhere, and avoids its worker.
func (s *Scheduler) checkRun(h *host, r *run) {
	if r.known == 0 || r.stopping || r.task.step.spec.LongRunning || r.pace == 0 || r.looked-r.moved < stallTime {
		return
	}
	s.avoidLonger(h, "a run makes no progress there")
	s.stop(r, "it makes no progress")
}

// evacuate moves lasting tasks off a worker that leaves.
func (s *Scheduler) evacuate(h *host) {
	for _, r := range sortedRuns(h.runs) {
		if r.task.step.spec.LongRunning {
			s.stop(r, "its worker is draining")
		}
	}
}

// copySilent looks for second runs of tasks that may have several, where their worker doesn't answer.
func (s *Scheduler) copySilent(h *host) {
	for _, r := range h.runs {
		if r.task.step.spec.Speculative {
			r.task.job().copies = true
		}
	}
	s.soon()
}

// wantsCopy reports whether a second run of the task should start: its step allows several, and the only run is on a
// worker that doesn't answer, or takes much longer than estimated.
func (t *task) wantsCopy(now time.Duration) bool {
	spec := t.step.spec
	if !spec.Speculative || t.done || len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	return r.host.silent != 0 || r.known != 0 && now-r.known > copyFactor*spec.Estimate+copyAfter
}

// checkCopy notes that the job's tasks should be looked at for second runs.
func (r *run) checkCopy(now time.Duration) {
	if r.task.wantsCopy(now) {
		r.task.job().copies = true
	}
}
