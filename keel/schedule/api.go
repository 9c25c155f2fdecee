package schedule

import (
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// AddJob adds a job that this entry has just stored. It does nothing before the ledger is loaded; the job is then read
// from the store.
func (s *Scheduler) AddJob(j *work.Job, version uint64) {
	if !s.ready || s.epochEnded() {
		return
	}
	s.addSubmission(ledger.Submission{Job: j, Version: version, Digest: j.Digest}, ledger.JobRecord{}, "entry")
	s.schedulePlan()
}

// State returns the job's state as callers see it, or false if the leader doesn't know the job.
func (s *Scheduler) State(id string) (work.State, bool) {
	j := s.jobs[id]
	if !s.ready || j == nil {
		return "", false
	}
	return j.state(), true
}

// Tenant returns the name of the tenant that submitted the job, empty if it has none or the leader doesn't know the job.
func (s *Scheduler) Tenant(id string) string {
	j := s.jobs[id]
	if j == nil {
		return ""
	}
	return j.Tenant
}

// Cancel cancels the job and calls done on the control loop once that is stored. It returns false if the leader doesn't
// know the job.
func (s *Scheduler) Cancel(id string, done func()) bool {
	j := s.jobs[id]
	if !s.ready || j == nil {
		return false
	}
	if j.open() {
		s.endJob(j, work.Cancelled, "")
	}
	if j.stored {
		done()
		return true
	}
	j.onStored = append(j.onStored, done)
	return true
}

// cancelStored applies a cancel that another entry stored. It may arrive before the submission, since the store's
// tables are polled independently.
func (s *Scheduler) cancelStored(id string) {
	j := s.jobs[id]
	if j == nil {
		s.pendingCancels[id] = true
		return
	}
	if j.open() {
		s.endJob(j, work.Cancelled, "")
	}
}

// MaxWorkers returns the number of workers that there are if no instance is in a spare pool.
func (s *Scheduler) MaxWorkers() int { return max(len(s.workers), len(s.fleet.instances)) }

// PendingJobs returns the number of the queue's open jobs of which no worker is known to have begun a task.
func (s *Scheduler) PendingJobs(name string) int { return s.pending[name] }

// updatePending counts the job as pending, or no longer, after it was added, begun or ended.
func (s *Scheduler) updatePending(j *job) {
	pending := j.open() && !j.begun
	if pending == j.pending {
		return
	}
	j.pending = pending
	if pending {
		s.pending[j.Queue]++
	} else {
		s.pending[j.Queue]--
	}
}
