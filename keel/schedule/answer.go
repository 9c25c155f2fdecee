package schedule

import (
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// AddJob takes in a job that an entry has just stored.
func (s *Scheduler) AddJob(j *work.Job, version uint64) {
	if !s.ready || s.ended() {
		return
	}
	s.takeSubmission(ledger.Submission{Job: j, Version: version, Digest: j.Digest}, ledger.JobRecord{}, "entry")
	s.soon()
}

// State returns what a caller is shown of the job, and false if the leader doesn't know it.
func (s *Scheduler) State(id string) (work.State, bool) {
	j := s.jobs[id]
	if !s.ready || j == nil {
		return "", false
	}
	return j.state(), true
}

// Cancel cancels the job and calls done once that is stored; it returns false if the leader doesn't know the job.
func (s *Scheduler) Cancel(id string, done func()) bool {
	j := s.jobs[id]
	if !s.ready || j == nil {
		return false
	}
	if j.open() {
		s.finish(j, work.Cancelled, "")
	}
	if j.stored {
		done()
		return true
	}
	j.onStored = append(j.onStored, done)
	return true
}

// cancelStored cancels a job whose cancel another entry has stored. The submission may come later, since the tables of
// the store are followed one by one.
func (s *Scheduler) cancelStored(id string) {
	j := s.jobs[id]
	if j == nil {
		s.cancelled[id] = true
		return
	}
	if j.open() {
		s.finish(j, work.Cancelled, "")
	}
}

// PendingJobs returns the number of the queue's jobs of which no task has started.
func (s *Scheduler) PendingJobs(name string) int {
	n := 0
	for _, j := range s.jobs {
		if j.Queue == name && j.open() && !j.started {
			n++
		}
	}
	return n
}
