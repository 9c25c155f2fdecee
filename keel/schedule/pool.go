package schedule

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/provider"
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

// missing is a number of additional workers that unplaced tasks need because their steps' constraints, or the
// fragmentation of free capacity, keep them off the present ones, with these steps.
type missing struct {
	workers int
	// longRunning is the part of workers for long-running tasks.
	longRunning int
	steps       []*stepState
}

// maxMissingSteps is the maximum number of steps for which additional workers are counted in one pass: the first in
// scheduling order.
const maxMissingSteps = 16

// full reports whether no further step is counted.
func (m *missing) full() bool { return len(m.steps) >= maxMissingSteps }

func (m *missing) add(step *stepState, workers int) {
	if workers > 0 {
		m.workers = max(m.workers, workers)
		m.steps = append(m.steps, step)
		if step.spec.LongRunning {
			m.longRunning = max(m.longRunning, workers)
		}
	}
}

// merge adds what an earlier pass lacked for steps that still wait.
func (m *missing) merge(earlier missing) {
	for _, step := range earlier.steps {
		if step.waiting > 0 && !m.full() && !slices.Contains(m.steps, step) {
			m.workers = max(m.workers, earlier.workers)
			m.longRunning = max(m.longRunning, earlier.longRunning)
			m.steps = append(m.steps, step)
		}
	}
}

// suits reports whether a new worker of the instance could run a task of one of the steps.
func (m *missing) suits(i provider.Instance) bool {
	return slices.ContainsFunc(m.steps, func(step *stepState) bool { return step.suits(i) })
}

// suitsLongRunning reports whether a new worker of the instance could run a task of one of the long-running steps.
func (m *missing) suitsLongRunning(i provider.Instance) bool {
	return slices.ContainsFunc(m.steps, func(step *stepState) bool { return step.spec.LongRunning && step.suits(i) })
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
