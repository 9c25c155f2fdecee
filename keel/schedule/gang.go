package schedule

import "samphirekeel.example/keel/work"

// placeGang starts all tasks of a gang step in one pass, or none.
func (pl *planner) placeGang(step *stepState) {
	if !pl.s.ensureTickets(step, pl) {
		return
	}
	if !pl.s.starts.open() || !pl.s.caps.allows(step) {
		return
	}
	if step.crashes.suspicion() > unsuspected {
		pl.placeSuspectedGang(step)
		return
	}
	pl.startGang(step, nil)
}

// startGang starts all members of the gang on the given workers, or on the pool's usable ones if none are given, and reports
// whether it did.
func (pl *planner) startGang(step *stepState, from *candidates) bool {
	// All members get the same run number.
	number := step.nextRun()
	reserved := make(reservations)
	selected := make([]*workerState, len(step.tasks))
	for i, t := range step.tasks {
		if !t.needsRun() || pl.now < t.notBefore {
			return false
		}
		var w *workerState
		if from != nil {
			w = pl.selectFrom(from, step, t, reserved)
		} else {
			w = pl.selectWorker(step, t, reserved)
		}
		if w == nil {
			pl.allowDataCentres(step, 1)
			pl.addMissing(step, len(step.tasks)-i)
			return false
		}
		reserved.add(w, step.size())
		selected[i] = w
	}
	if from != nil && !pl.s.verifyAll(selected) {
		return false
	}
	for i, t := range step.tasks {
		pl.s.start(t, selected[i], number, step.tickets.forWorker(selected[i]))
	}
	return true
}

// nextRun returns the number for the next run of the gang, the highest that one of its members needs.
func (st *stepState) nextRun() int64 {
	number := int64(0)
	for _, t := range st.tasks {
		number = max(number, t.nextRun)
	}
	return number
}

// reservations holds what the members of a gang take on each worker before any of them starts.
type reservations map[*workerState]reservation

type reservation struct {
	size  work.Size
	tasks int
}

func (r reservations) add(w *workerState, size work.Size) {
	r[w] = reservation{size: r[w].size.Plus(size), tasks: r[w].tasks + 1}
}
