package schedule

import (
	"cmp"
	"slices"
	"time"
)

// pool is a pool's workers and the open jobs of its queues.
type pool struct {
	name     string
	hosts    map[*host]bool
	jobs     map[*job]bool
	arrivals arrivals
	// short is the number of further workers that tasks need because of their steps' conditions.
	short int
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, hosts: make(map[*host]bool), jobs: make(map[*job]bool)}
		s.pools[name] = p
	}
	return p
}

// order returns the pool's jobs with tasks that could start, in the order of service.
func (p *pool) order(now time.Duration) []*job {
	var waiting []*job
	for j := range p.jobs {
		if (j.waiting > 0 || j.copies) && j.queue != nil {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int { return compareJobs(a, b, now) })
	return waiting
}

// lateClass is the service class of jobs that can't meet their objective.
const lateClass = 2

const (
	// doubt is the part by which tasks may take longer than is estimated: half of what the sheets of short kinds say.
	doubt = 0.1
	// tellTime is the time from a task's end to the outcome that the caller sees: a look, the ledger's gathering and a
	// transaction.
	tellTime = 100 * time.Millisecond
)

// serviceClass puts lasting tasks first, then jobs that can still meet their objective, then the others.
func (j *job) serviceClass(now time.Duration) int {
	switch {
	case j.LongRunning():
		return 0
	case now+time.Duration((1+doubt)*float64(j.remaining()))+tellTime <= j.objective():
		return 1
	}
	return lateClass
}

// remaining returns the estimated time that the job still takes if its tasks start now.
func (j *job) remaining() time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occs {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.done < len(step.tasks) {
				longest = max(longest, step.tail)
			}
		}
	}
	return longest
}

func compareJobs(a, b *job, now time.Duration) int {
	ca, cb := a.serviceClass(now), b.serviceClass(now)
	if ca != cb {
		return cmp.Compare(ca, cb)
	}
	if ca == lateClass {
		return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.ID, b.ID))
	}
	slackA := a.objective() - a.remaining()
	slackB := b.objective() - b.remaining()
	return cmp.Or(cmp.Compare(slackA, slackB), cmp.Compare(a.ID, b.ID))
}
