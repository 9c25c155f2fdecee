package job

import "slices"

// maxFailures bounds the failures that a worker's row lists.
const maxFailures = 16

// addFailure adds a failure, dropping the oldest beyond maxFailures.
func addFailure(failures []Failure, failure Failure) []Failure {
	next := append(slices.Clone(failures), failure)
	return next[max(0, len(next)-maxFailures):]
}

// workerAtFault reports whether the failures speak against the worker: limit different jobs of two services or more.
// One job that fails again and again, or one service that does, speaks against the job.
func workerAtFault(failures []Failure, limit int) bool {
	jobs := make(map[string]bool)
	services := make(map[string]bool)
	for _, failure := range failures {
		jobs[failure.Job] = true
		services[failure.Service] = true
	}
	return len(jobs) >= limit && len(services) > 1
}

// mayQuarantine reports whether one more of the pool's workers may be quarantined within the share.
func mayQuarantine(quarantined, workers int, share float64) bool {
	return float64(quarantined+1) <= share*float64(workers)
}

// clearFailures returns what a success changes in the worker's row, nil for nothing.
func clearFailures(worker Worker) func(*Worker) {
	if len(worker.Failures) == 0 {
		return nil
	}
	return func(next *Worker) { next.Failures = nil }
}
