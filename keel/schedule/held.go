package schedule

import "github.com/google/btree"

// holders holds, by data centre, the unheard worker (Scheduler.unheard) whose lease expires last. It may be running tasks of the inherited jobs
// that may have run there.
type holders map[string]*workerState

// updateHolders sets the holders to those of the present unheard workers. Released jobs return to the order of waiting jobs
// with the next update of their pool's backlog.
func (s *Scheduler) updateHolders() {
	s.holders = make(holders)
	for _, w := range s.unheard {
		last := s.holders[w.DataCentre]
		if last == nil || w.leaseExpiry > last.leaseExpiry {
			s.holders[w.DataCentre] = w
		}
	}
	s.updateUnheard()
}

// holderOf returns an unheard worker that may be running tasks of the job, the one whose lease expires last, or nil if there
// is none.
func (s *Scheduler) holderOf(j *job) *workerState {
	if !j.inherited {
		return nil
	}
	var last *workerState
	for dataCentre, w := range s.holders {
		if j.mayHaveRunIn(dataCentre) && (last == nil || w.leaseExpiry > last.leaseExpiry) {
			last = w
		}
	}
	return last
}

// isHolding reports whether some worker of the data centre is unheard.
func (s *Scheduler) isHolding(dataCentre string) bool { return s.holders[dataCentre] != nil }

// maySpeculateNow reports whether some task of a ready step may run twice, so that it need not wait for workers that might
// still be running it.
func (j *job) maySpeculateNow() bool {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.ready && step.done < len(step.tasks) && step.spec.Speculative {
				return true
			}
		}
	}
	return false
}

// addHeld adds the job to those that workers of the data centre hold.
func (b *backlog) addHeld(place rank, dataCentre string) {
	e := &place.job.entry
	e.held, e.heldIn = place, dataCentre
	if b.held[dataCentre] == nil {
		b.held[dataCentre] = btree.NewG(backlogDegree, rank.before)
	}
	b.held[dataCentre].ReplaceOrInsert(place)
}

// removeHeld removes the job from those that an unheard worker holds.
func (b *backlog) removeHeld(j *job) {
	e := &j.entry
	if e.held.job == nil {
		return
	}
	order := b.held[e.heldIn]
	order.Delete(e.held)
	if order.Len() == 0 {
		delete(b.held, e.heldIn)
	}
}

// releaseHeld marks the jobs as changed that were held in a data centre without an unheard worker.
func (b *backlog) releaseHeld() {
	for dataCentre, order := range b.held {
		if b.isHolding(dataCentre) {
			continue
		}
		order.Ascend(func(r rank) bool {
			r.job.touch()
			return true
		})
	}
}

// addHeldJobs adds the tasks of the pool's first held jobs and returns the number of tasks of these jobs.
func (c *waitCollector) addHeldJobs(p *pool) (tasks int) {
	jobs := 0
	for _, order := range p.backlog.held {
		walk(order, startOf(classLongRunning), startOf(classCount), func(j *job) bool {
			jobs++
			tasks += j.waiting
			c.addJob(j)
			return jobs < maxReportedJobs
		})
		if jobs == maxReportedJobs {
			break
		}
	}
	return tasks
}

// firstHeldTask returns a task of a held job of the pool, or nil if there is none.
func (b *backlog) firstHeldTask() *task {
	for _, order := range b.held {
		first, ok := order.Min()
		if ok {
			return first.job.waitingTask()
		}
	}
	return nil
}
