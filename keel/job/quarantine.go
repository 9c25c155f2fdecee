package job

import "slices"

// maxFailures limits the failures listed in a worker's row.
const maxFailures = 16

// addFailure returns the failures with one more, without the oldest beyond maxFailures.
func addFailure(failures []Failure, failure Failure) []Failure {
	next := append(slices.Clone(failures), failure)
	return next[max(0, len(next)-maxFailures):]
}

// workerAtFault reports whether the failures suggest a fault of the worker: at least limit different jobs, of two or
// more services, failed there. Repeated failures of one job or one service suggest a fault of the job instead.
func workerAtFault(failures []Failure, limit int) bool {
	jobs := make(map[string]bool)
	services := make(map[string]bool)
	for _, failure := range failures {
		jobs[failure.Job] = true
		services[failure.Service] = true
	}
	return len(jobs) >= limit && len(services) > 1
}

// mayQuarantine reports whether one more worker may be quarantined without exceeding the share of the pool's workers.
func mayQuarantine(quarantined, workers int, share float64) bool {
	return float64(quarantined+1) <= share*float64(workers)
}

// clearFailures returns the update of the worker's row after a successful job, or nil if there is nothing to update.
func clearFailures(worker Worker) func(*Worker) {
	if len(worker.Failures) == 0 {
		return nil
	}
	return func(next *Worker) { next.Failures = nil }
}
