package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/work"
)

const (
	// minIsolationTime is the shortest survival from which others may run beside a suspected task.
	minIsolationTime = 200 * time.Millisecond
	// A task is certain to crash its workers after likelyWithSole crashes under runs that had begun and were the likeliest cause,
	// while no other worker crashed, one of them as the only possible one; after soleCrashes as the only possible cause among
	// crashesWithSole; or after maxLikely as the likeliest cause. The users' pages allow a job to be given up after two crashes.
	likelyWithSole  = 2
	soleCrashes     = 2
	crashesWithSole = 3
	maxLikely       = 4
	// crashesToAccuse is the number of crashes from which a task runs alone whether or not it is their likely cause.
	crashesToAccuse = 3
)

// crashHistory counts the crashes under a task, or under a gang.
type crashHistory struct {
	// runs lists the numbers of the runs that ended in a crash.
	runs []int64
	// suspect counts those that may have caused a confirmed crash, likely those that were its likeliest cause, sole those that were the
	// only possible one, begunLikely and begunSole those of both that are known to have begun, while no other worker crashed, and
	// unconfirmed those of which it isn't known whether the worker crashed.
	suspect, likely, sole, begunLikely, begunSole, unconfirmed int
	// longest is the longest survival of these runs.
	longest time.Duration
	// change is the number of the job's change that must be stored before the task starts again.
	change uint64
	// givenUp is set once it was logged that the task isn't started again while others of its job go on.
	givenUp bool
}

// suspicion is how far a task is kept apart from others.
type suspicion int

const (
	// unsuspected tasks run anywhere.
	unsuspected suspicion = iota
	// suspected tasks run beside other suspected ones only.
	suspected
	// accused tasks run alone.
	accused
)

func (h *crashHistory) suspicion() suspicion {
	switch {
	case h == nil:
		return unsuspected
	case h.likely > 1 || len(h.runs) >= crashesToAccuse:
		return accused
	case h.likely+h.unconfirmed > 0 || h.suspect > 1:
		return suspected
	}
	return unsuspected
}

// hasCrashedWorkers reports whether the task is certain to crash its workers.
func (h *crashHistory) hasCrashedWorkers() bool {
	if h == nil {
		return false
	}
	confirmed := len(h.runs) - h.unconfirmed
	switch {
	case h.begunSole > 0 && h.begunLikely >= likelyWithSole, h.sole >= soleCrashes && confirmed >= crashesWithSole:
		return true
	}
	return h.likely >= maxLikely
}

// isHeld reports whether the task may not start before it is known whether the workers of its runs have crashed.
func (h *crashHistory) isHeld() bool {
	return h != nil && len(h.runs) >= maxLikely && h.unconfirmed > 0
}

// isolationTime returns for how long a run must have lasted before others may run beside it.
func (h *crashHistory) isolationTime() time.Duration {
	return min(provenTime, max(minIsolationTime, 2*h.longest))
}

// history returns the crashes of the task, or of its gang; nil if there are none.
func (t *task) history() *crashHistory {
	if t.step.spec.Gang {
		return t.step.crashes
	}
	return t.crashes
}

// suspicion returns how far the task is kept apart from others.
func (t *task) suspicion() suspicion { return t.history().suspicion() }

// countCrash adds a crash to the history of the task, or of its gang, of which several members may be lost in one run.
func (t *task) countCrash(c work.CrashedRun) {
	h := t.history()
	if h == nil {
		h = &crashHistory{}
		if t.step.spec.Gang {
			t.step.crashes = h
		} else {
			t.crashes = h
		}
	}
	h.longest = max(h.longest, time.Duration(c.SurvivedMillis)*time.Millisecond)
	if slices.Contains(h.runs, c.Run) {
		return
	}
	h.runs = append(h.runs, c.Run)
	if c.Unconfirmed {
		h.unconfirmed++
		return
	}
	if c.Suspect {
		h.suspect++
	}
	if c.Likely {
		h.likely++
	}
	if c.Sole {
		h.sole++
	}
	if c.Likely && !c.Unanswered && !c.Common {
		h.begunLikely++
	}
	if c.Sole && !c.Unanswered {
		h.begunSole++
	}
}
