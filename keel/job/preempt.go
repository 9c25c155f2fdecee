package job

import (
	"cmp"
	"slices"

	"samphirekeel.example/keel/platform"
)

// Preemptible is a running job that may be stopped to free its capacity for another.
type Preemptible struct {
	Key  string
	Size platform.Size
}

// Victims returns the jobs to stop so that the size fits, those with the fewest cores first, and false if the size
// doesn't fit even if all are stopped.
//
// As in YARN's FairScheduler since YARN-4752, it preempts only what the waiting job needs.
func Victims(free, size platform.Size, jobs []Preemptible) ([]Preemptible, bool) {
	sorted := slices.Clone(jobs)
	slices.SortFunc(sorted, func(a, b Preemptible) int {
		return cmp.Or(cmp.Compare(a.Size.MilliCores, b.Size.MilliCores), cmp.Compare(a.Key, b.Key))
	})
	var chosen []Preemptible
	for _, job := range sorted {
		if size.Fits(free) {
			break
		}
		chosen = append(chosen, job)
		free = free.Plus(job.Size)
	}
	if !size.Fits(free) {
		return nil, false
	}
	return dropUnneeded(free, size, chosen), true
}

// dropUnneeded returns the chosen jobs without those, the largest first, that needn't be stopped for the size to fit.
func dropUnneeded(free, size platform.Size, chosen []Preemptible) []Preemptible {
	var needed []Preemptible
	for _, job := range slices.Backward(chosen) {
		without := subtract(free, job.Size)
		if size.Fits(without) {
			free = without
			continue
		}
		needed = append(needed, job)
	}
	return needed
}

// preemptibleJobs returns the jobs on the worker that may be stopped for the waiting job. They are running, repeatable
// and not urgent. If the waiting job isn't urgent, only jobs of services that use more than their quota qualify, and
// only as many as leave the service using its whole quota.
func (s *poolScheduler) preemptibleJobs(worker string, waiting Record, usage map[string]*ServiceUsage) []Preemptible {
	remaining := make(map[string]ServiceUsage)
	row, _ := s.workers.Get(WorkerKey(s.pool, worker))
	var jobs []Preemptible
	for _, key := range sortedKeys(row.Value.Tasks) {
		job, ok := s.jobs.Get(key)
		if !ok || job.Value.State != Running || !job.Value.Repeatable || job.Value.Urgent {
			continue
		}
		service, seen := remaining[job.Value.Service]
		if !seen {
			service = *usage[job.Value.Service]
		}
		service.Used = subtract(service.Used, job.Value.Reserved)
		remaining[job.Value.Service] = service
		if waiting.Urgent || service.DominantShare() >= 1 {
			jobs = append(jobs, Preemptible{Key: key, Size: row.Value.Tasks[key]})
		}
	}
	return jobs
}

// choosePreemptionWorker returns the instance key of the worker on which the fewest cores must be preempted for the
// size, and false if preemption makes the size fit on no worker.
func (s *poolScheduler) choosePreemptionWorker(waiting Record, size platform.Size) (string, bool) {
	best, bestCores := "", int64(0)
	usage := s.usageByService(nil)
	for _, worker := range sortedKeys(s.instanceVersions) {
		candidate, ok := s.index.Get(worker)
		if _, reserved := s.reservations[worker]; !ok || reserved {
			continue
		}
		victims, ok := Victims(candidate.Free, size, s.preemptibleJobs(worker, waiting, usage))
		var cores int64
		for _, victim := range victims {
			cores += victim.Size.MilliCores
		}
		if ok && (best == "" || cores < bestCores) {
			best, bestCores = worker, cores
		}
	}
	return best, best != ""
}

// isVictim reports whether the job must be stopped for the job that its worker is reserved for. It deletes the
// reservation if that job is no longer queued or the worker no longer takes jobs.
func (s *poolScheduler) isVictim(key string) bool {
	found, _ := s.jobs.Get(key)
	worker := found.Value.Worker
	waiting, ok := s.jobs.Get(s.reservations[worker])
	candidate, listed := s.index.Get(worker)
	if !ok || !listed || waiting.Value.State != Queued {
		delete(s.reservations, worker)
		return false
	}
	victims, _ := Victims(candidate.Free, waiting.Value.Size, s.preemptibleJobs(worker, waiting.Value, s.usageByService(nil)))
	return slices.ContainsFunc(victims, func(v Preemptible) bool { return v.Key == key })
}
