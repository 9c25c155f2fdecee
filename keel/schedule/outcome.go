package schedule

import (
	"time"

	"samphirekeel.example/keel/work"
)

// finishTask notes that a task is done.
func (s *Scheduler) finishTask(t *task) {
	if t == nil || t.done {
		return
	}
	if t.step.ready && t.waitsForStart() {
		t.step.addWaiting(-1)
	}
	t.done = true
	t.step.done++
	if t.step.done < len(t.step.tasks) {
		return
	}
	o := t.step.occ
	o.done++
	if o.done == len(o.steps) {
		o.job.done++
		return
	}
	if o.index < o.job.due {
		s.readySteps(o)
	}
}

// checkFinished decides the job's end if all of its tasks are done.
func (s *Scheduler) checkFinished(j *job) {
	if j.open() && j.done == j.OccurrenceCount() {
		s.finish(j, work.Completed, "")
	}
}

// finish decides the job's end, stops what runs and stores the outcome.
func (s *Scheduler) finish(j *job, state work.State, reason string) {
	j.outcome = &work.Outcome{
		State: state, Queue: j.Queue, Digest: j.Digest, Ended: s.Wall().Milliseconds(), Reason: reason,
	}
	j.waiting = 0
	s.forgetWaiting(j)
	s.markUrgent(j)
	s.stopAll(j, "the job is "+string(state))
}

// stopAll stops every run of the job.
func (s *Scheduler) stopAll(j *job, reason string) {
	for _, o := range j.occs {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			for _, t := range step.tasks {
				for _, r := range t.runs {
					s.stop(r, reason)
				}
			}
		}
	}
}

// takeOutcome takes in the end of a job whose submission is a stub.
func (s *Scheduler) takeOutcome(id string, outcome *work.Outcome) {
	if s.jobs[id] != nil {
		return
	}
	s.jobs[id] = &job{Job: &work.Job{ID: id, Queue: outcome.Queue, Digest: outcome.Digest}, outcome: outcome, stored: true, stubbed: true, ended: s.Now()}
}

// objective returns when the job should be completed, by the scheduler's clock.
func (j *job) objective() time.Duration {
	if j.queue == nil {
		return j.arrived
	}
	return j.arrived + j.queue.LatencyTarget + time.Duration(j.queue.Stretch*float64(j.chain))
}

// lateness returns how far a time is past the job's objective, 0 if it isn't or nothing is due.
func (j *job) lateness(at time.Duration) time.Duration {
	if j.queue == nil || j.LongRunning() {
		return 0
	}
	return max(0, at-j.objective())
}

// tailsOf returns for each step the estimated time from its start to the end of the longest chain that it is in.
func tailsOf(steps []work.Step) []time.Duration {
	tails := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		tails[i] += steps[i].Estimate
		for _, earlier := range steps[i].After {
			tails[earlier] = max(tails[earlier], tails[i])
		}
	}
	return tails
}

func chainOf(steps []work.Step) time.Duration {
	longest := time.Duration(0)
	for _, t := range tailsOf(steps) {
		longest = max(longest, t)
	}
	return longest
}
