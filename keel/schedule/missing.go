package schedule

import (
	"slices"
	"time"

	"samphirekeel.example/keel/provider"
)

// missing is a number of additional workers that unplaced tasks need because their steps' constraints, or the
// fragmentation of free capacity, keep them off the present ones, with these steps.
type missing struct {
	workers int
	// longRunning is the part of workers for long-running tasks.
	longRunning int
	steps       []missingStep
}

// missingStep is a step with the additional workers that it needs.
type missingStep struct {
	*stepState
	workers int
}

// maxMissingSteps is the maximum number of steps for which additional workers are counted in one pass: the first in
// scheduling order.
const maxMissingSteps = 16

// full reports whether no further step is counted.
func (m *missing) full() bool { return len(m.steps) >= maxMissingSteps }

// add counts the workers that a step needs, if it needs any.
func (m *missing) add(step *stepState, workers int) {
	if workers > 0 {
		m.workers = max(m.workers, workers)
		m.steps = append(m.steps, missingStep{step, workers})
		if step.spec.LongRunning {
			m.longRunning = max(m.longRunning, workers)
		}
	}
}

// merge adds what an earlier pass lacked for steps that still wait.
func (m *missing) merge(earlier missing) {
	for _, e := range earlier.steps {
		known := slices.ContainsFunc(m.steps, func(step missingStep) bool { return step.stepState == e.stepState })
		if e.waiting > 0 && !m.full() && !known {
			m.add(e.stepState, e.workers)
		}
	}
}

// suits reports whether a new worker of the instance could run a task of one of the steps.
func (m *missing) suits(i provider.Instance) bool {
	return slices.ContainsFunc(m.steps, func(step missingStep) bool { return step.suits(i) })
}

// suitsLongRunning reports whether a new worker of the instance could run a task of one of the long-running steps.
func (m *missing) suitsLongRunning(i provider.Instance) bool {
	return slices.ContainsFunc(m.steps, func(step missingStep) bool { return step.spec.LongRunning && step.suits(i) })
}

// addMissing counts the additional workers that the unplaced tasks of the step need, unless no instance could run them.
func (pl *planner) addMissing(step *stepState, tasks int) {
	if !pl.missing.full() && pl.s.fleet.mayRun(step) {
		pl.missing.add(step, pl.workersFor(step, tasks))
	}
}

// workersFor returns how many additional workers the unplaced tasks need because of the step's constraints. Tasks that
// only lack capacity count for none, because forecast.Want covers them, unless one has waited for longer than that
// takes: then no worker has the free capacity in one piece, or the label.
func (pl *planner) workersFor(step *stepState, tasks int) int {
	switch {
	case step.spec.MaxPerWorker > 0:
		return (tasks + step.spec.MaxPerWorker - 1) / step.spec.MaxPerWorker
	case step.spec.LongRunning:
		return 1
	case !step.hasWaited(backlogClearTime, pl.now):
		return 0
	case step.spec.Gang:
		perWorker := int(max(1, pl.s.instanceCapacity()/max(1, step.size().MilliCores)))
		return (tasks + perWorker - 1) / perWorker
	}
	return 1
}

// hasWaited reports whether a task of the step has been able to start for longer than the duration.
func (st *stepState) hasWaited(duration, now time.Duration) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool {
		return t.needsRun() && now >= t.notBefore && now-t.readySince > duration
	})
}

// suits reports whether an idle worker of the instance could run a task of the step.
func (st *stepState) suits(i provider.Instance) bool {
	return i.Capacity.Holds(st.size()) && (st.spec.Label == "" || slices.Contains(i.Labels, st.spec.Label))
}
