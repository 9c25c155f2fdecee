package schedule

import (
	"cmp"
	"slices"
	"time"
)

// pool holds a pool's workers and the open jobs of its queues.
type pool struct {
	name     string
	workers  map[*workerState]bool
	jobs     map[*job]bool
	arrivals arrivals
	// missing is what the latest placement pass lacked although the pool may have capacity for it.
	missing missing
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, workers: make(map[*workerState]bool), jobs: make(map[*job]bool)}
		s.pools[name] = p
	}
	return p
}

// waitingJobs returns the jobs that have tasks to start, in scheduling order.
func (p *pool) waitingJobs(now time.Duration) []*job {
	var waiting []rankedJob
	for j := range p.jobs {
		if (j.waiting > 0 || j.maySpeculate) && j.queue != nil {
			waiting = append(waiting, j.rank(now))
		}
	}
	slices.SortFunc(waiting, compareJobs)
	jobs := make([]*job, len(waiting))
	for i, r := range waiting {
		jobs[i] = r.job
	}
	return jobs
}

// classLate is the service class of jobs that can no longer meet their objective.
const classLate = 2

const (
	// estimateError is the assumed relative error of task estimates: half of the error that is specified for
	// deployments with short tasks.
	estimateError = 0.1
	// outcomeDelay is the time from a task's end until the caller sees the job's outcome: a lease renewal, the ledger's
	// flush delay and a transaction.
	outcomeDelay = 100 * time.Millisecond
)

// serviceClass ranks long-running jobs first, then jobs that can still meet their objective, then late jobs.
func (j *job) serviceClass(now time.Duration) int {
	switch {
	case j.LongRunning():
		return 0
	case now+time.Duration((1+estimateError)*float64(j.remaining()))+outcomeDelay <= j.objective():
		return 1
	}
	return classLate
}

// remaining returns the estimated time until the job is done if its remaining tasks start now.
func (j *job) remaining() time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.done < len(step.tasks) {
				longest = max(longest, step.criticalPath)
			}
		}
	}
	return longest
}

// rankedJob is a job with what decides its place in the scheduling order.
type rankedJob struct {
	*job
	class int
	// key orders the jobs of a class: the arrival of late jobs, and the slack of the others to their objective.
	key time.Duration
}

// rank returns the job with its place in the scheduling order.
func (j *job) rank(now time.Duration) rankedJob {
	r := rankedJob{job: j, class: j.serviceClass(now)}
	if r.class == classLate {
		r.key = j.arrived
	} else {
		r.key = j.objective() - j.remaining()
	}
	return r
}

// compareJobs orders jobs by service class; late jobs by arrival and the others by the slack to their objective.
func compareJobs(a, b rankedJob) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.key, b.key), cmp.Compare(a.ID, b.ID))
}
