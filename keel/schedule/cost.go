package schedule

import "samphirekeel.example/keel/work"

const (
	// rackMismatchCost penalises a worker outside the rack of the step's data or of its other tasks. Placement costs
	// are in units of a worker's whole capacity: 1 is the difference between a full and an empty worker.
	rackMismatchCost = 4.0
	// remoteDataCentreCost keeps tasks in the job's home data centre, so that the loss of a data centre affects few
	// jobs.
	remoteDataCentreCost = 1.0
	// maintenanceDueCost keeps long-running tasks off instances that they would soon have to leave for maintenance.
	maintenanceDueCost = 2.0
	// crowdingCost spreads a step's best-effort tasks over the workers.
	crowdingCost = 2.0
	// throttledCost keeps best-effort tasks off workers where they are throttled for the sake of another task.
	throttledCost = 10.0
)

// cost returns the placement cost of the step on the worker; the lowest cost is selected.
func (pl *planner) cost(step *stepState, w *workerState, free work.Size, reserved reservations) float64 {
	spec := step.spec
	cost := share(free.MilliCores, w.Capacity.MilliCores)
	if spec.BestEffort {
		// Best-effort tasks use idle processor time, so the emptiest worker is preferred.
		cost = crowdingCost*float64(w.perStep[step]) - cost
		if w.pace.strained() {
			cost += throttledCost
		}
	}
	if len(pl.s.separation.conflicts[spec.Image]) > 0 {
		cost = separatedShare*cost + pl.s.separationCost(step, w)
	}
	if home := step.occurrence.job.Home; home != "" && home != w.DataCentre {
		cost += remoteDataCentreCost
	}
	if spec.DataRack != "" && spec.DataRack != w.Rack {
		cost += rackMismatchCost
	}
	if spec.SameRack && !sameRack(step, w, reserved) {
		cost += rackMismatchCost
	}
	if spec.LongRunning && pl.s.maintenanceDue(w.Instance) {
		cost += maintenanceDueCost
	}
	return cost
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// sameRack reports whether the worker is on the same rack as every running or reserved task of the step.
func sameRack(step *stepState, w *workerState, reserved reservations) bool {
	for other := range reserved {
		if other.Rack != w.Rack {
			return false
		}
	}
	for _, t := range step.tasks {
		for _, r := range t.runs {
			if r.worker.Rack != w.Rack {
				return false
			}
		}
	}
	return true
}
