package job

import (
	"slices"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

const (
	// crashesToIsolate is the number of workers that crash under a job after which it runs on workers without other jobs.
	crashesToIsolate = 2
	// maxCrashes is the number of workers that crash under a job, the last one without other jobs, after which the job fails.
	maxCrashes = 3
)

// recordLapsed records that the task's lease has expired. If its worker crashed, that counts against the job.
func (p *planner) recordLapsed(found rowset.Versioned[Record]) {
	if !p.workerCrashed(found.Value) {
		p.recordInterrupted(found, "lease lapsed")
		return
	}
	job := found.Value
	job.CrashedOn = append(slices.Clone(job.CrashedOn), job.Worker)
	found.Value = job
	p.addDecision(event.JobSuspected, event.Fields{"job": job.ID, "worker": job.Worker, "crashes": len(job.CrashedOn)})
	if len(job.CrashedOn) >= maxCrashes {
		p.finish(found, Failed, "workers have crashed under the job")
		return
	}
	p.recordInterrupted(found, "lease lapsed")
}

// workerCrashed reports whether the job's worker is known to have crashed for a reason of its own: it is down or has booted again,
// was neither leaving nor rebooted on purpose, and no other of its rack has. A worker that is only silent hasn't.
func (s *poolScheduler) workerCrashed(job Record) bool {
	listing, listed := s.c.View.InstanceList().Get(job.Worker)
	inst, known := s.c.View.Inventory().Get(job.Worker)
	if !listed || !known || inst.Value.State == instance.Leaving || inst.Value.State == instance.Drained || len(inst.Value.Waves) > 0 {
		return false
	}
	crashed := listing.Liveness == platform.Down || job.Boot != 0 && listing.Boot > job.Boot
	return crashed && !s.rackCrashed(job.Worker, inst.Value)
}

// rackCrashed reports whether another worker of the instance's rack is down or has booted since it was last seen in service.
func (s *poolScheduler) rackCrashed(key string, inst instance.Record) bool {
	for other := range s.c.View.Inventory().All {
		if other.Key() == key || other.Value.Rack != inst.Rack || other.Value.DataCentre != inst.DataCentre || inst.Rack == "" {
			continue
		}
		listing, listed := s.c.View.InstanceList().Get(other.Key())
		if other.Value.State == instance.Failed || listed && (listing.Liveness == platform.Down || listing.Boot > other.Value.Boot) {
			return true
		}
	}
	return false
}

// isSuspected reports whether the job runs on workers without other jobs.
func (r Record) isSuspected() bool { return len(r.CrashedOn) >= crashesToIsolate }

// maySuspect reports whether the candidate may get the job as far as crashes under it are concerned: a suspected job needs a worker
// without others, unless it has waited for too long.
func (p *planner) maySuspect(job Record, candidate *Candidate) bool {
	return !job.isSuspected() || candidate.Free == candidate.Capacity || p.starved(job)
}

// reportsRoom reports whether the worker has room for the size by the capacity that it reports now, which may be less than that of
// its row.
func (p *planner) reportsRoom(candidate *Candidate, size platform.Size) bool {
	listing, listed := p.c.View.InstanceList().Get(candidate.Name)
	used := subtract(candidate.Capacity, candidate.Free)
	return !listed || used.Plus(size).Fits(listing.Size)
}
