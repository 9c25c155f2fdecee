package job

import (
	"cmp"
	"slices"

	"samphirekeel.example/keel/platform"
)

// Preemptible is a job that may be stopped to make room.
type Preemptible struct {
	Key  string
	Size platform.Size
}

// Victims returns the jobs to stop so that the size fits, the fewest cores first, and false if all don't suffice.
//
// Only what the waiting job needs is taken back, as the overhaul of YARN's FairScheduler has it (YARN-4752).
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

// dropUnneeded drops the jobs, the largest first, without which the size fits all the same.
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

// preemptibleJobs returns the jobs on the worker that may be stopped for the waiting job: for an urgent one all that may
// be repeated, for another one those whose teams hold more than their quotas and keep their quotas without them.
func (s *poolScheduler) preemptibleJobs(worker string, waiting Record, teams map[string]*ServiceUsage) []Preemptible {
	left := make(map[string]ServiceUsage)
	row, _ := s.workers.Get(WorkerKey(s.pool, worker))
	var jobs []Preemptible
	for _, key := range sortedKeys(row.Value.Tasks) {
		job, ok := s.jobs.Get(key)
		if !ok || job.Value.State != Running || !job.Value.Repeatable || job.Value.Urgent {
			continue
		}
		team, seen := left[job.Value.Service]
		if !seen {
			team = *teams[job.Value.Service]
		}
		team.Used = subtract(team.Used, job.Value.Reserved)
		left[job.Value.Service] = team
		if waiting.Urgent || team.DominantShare() >= 1 {
			jobs = append(jobs, Preemptible{Key: key, Size: row.Value.Tasks[key]})
		}
	}
	return jobs
}

// choosePreemptionWorker returns the worker on which the fewest cores have to be stopped for the size.
func (s *poolScheduler) choosePreemptionWorker(waiting Record, size platform.Size) (string, bool) {
	best, bestCores := "", int64(0)
	teams := s.usageByService(nil)
	for _, worker := range sortedKeys(s.instanceVersions) {
		slot, ok := s.index.Get(worker)
		if _, kept := s.reservations[worker]; !ok || kept {
			continue
		}
		victims, ok := Victims(slot.Free, size, s.preemptibleJobs(worker, waiting, teams))
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

// isVictim reports whether the job is to be stopped for the job that its worker is reserved for.
func (s *poolScheduler) isVictim(key string) bool {
	found, _ := s.jobs.Get(key)
	worker := found.Value.Worker
	waiting, ok := s.jobs.Get(s.reservations[worker])
	slot, listed := s.index.Get(worker)
	if !ok || !listed || waiting.Value.State != Queued {
		delete(s.reservations, worker)
		return false
	}
	victims, _ := Victims(slot.Free, waiting.Value.Size, s.preemptibleJobs(worker, waiting.Value, s.usageByService(nil)))
	return slices.ContainsFunc(victims, func(v Preemptible) bool { return v.Key == key })
}
