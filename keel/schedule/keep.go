package schedule

import "samphirekeel.example/keel/work"

// maxKeptShare is the part of a pool's workers that a pass may keep free of tasks beyond what their tenants are owed.
const maxKeptShare = 0.25

// keptWorkers holds the workers on which a pass starts no task beyond what its tenant is owed, since owed tasks wait for room in one
// piece there, which small tasks would take as it comes.
type keptWorkers struct {
	// wanted is set if jobs beyond what is owed wait.
	wanted  bool
	workers map[*workerState]bool
}

// keepFor keeps workers for n tasks of the step that found no room: those with the most room already, so that each pass keeps the
// same ones.
func (pl *planner) keepFor(step *stepState, n int) {
	if !pl.kept.wanted || step.occurrence.job.entry.waiting.class > classOnTime {
		return
	}
	limit := max(1, int(maxKeptShare*float64(len(pl.candidates.workers))))
	for n > 0 && len(pl.kept.workers) < limit {
		w := pl.mostRoom(step)
		if w == nil {
			return
		}
		if pl.kept.workers == nil {
			pl.kept.workers = make(map[*workerState]bool)
		}
		pl.kept.workers[w] = true
		n -= tasksIn(w.Capacity, step.size())
	}
}

// mostRoom returns the worker with the most free processor capacity that could run a task of the step if it were empty, of those
// that aren't kept yet, or nil.
func (pl *planner) mostRoom(step *stepState) *workerState {
	var best *workerState
	j, size := step.occurrence.job, step.size()
	for _, w := range pl.candidates.workers {
		if pl.kept.workers[w] || !w.Capacity.Holds(size) || !step.permits(w, 1) || !j.mayRunIn(w.DataCentre) || !step.tickets.allows(w, pl.now) {
			continue
		}
		if best == nil || w.free().MilliCores > best.free().MilliCores || w.free().MilliCores == best.free().MilliCores && w.ID < best.ID {
			best = w
		}
	}
	return best
}

// tasksIn returns how many tasks of the size an empty worker holds, at least 1.
func tasksIn(capacity, size work.Size) int {
	n := int64(maxTasksKept)
	if size.MilliCores > 0 {
		n = min(n, capacity.MilliCores/size.MilliCores)
	}
	if size.MemoryMB > 0 {
		n = min(n, capacity.MemoryMB/size.MemoryMB)
	}
	return int(max(1, n))
}

// maxTasksKept bounds the tasks for which one worker is kept.
const maxTasksKept = 1000

// isKeptFrom reports whether the worker is kept free of the job's tasks.
func (pl *planner) isKeptFrom(w *workerState, j *job) bool { return j.beyond && pl.kept.workers[w] }
