package schedule

// routeJobs reassigns all open jobs to queues and pools of the current configuration.
func (s *Scheduler) routeJobs() {
	for _, j := range s.jobs {
		if j.open() {
			s.route(j)
		}
	}
}

// route assigns the job to its queue and pool, those of the newest configuration with the queue that is known: the current
// one, one that this leader has seen before, or the one under which the job was accepted.
func (s *Scheduler) route(j *job) {
	q := s.Config.QueueByName(j.Queue)
	switch {
	case j.Terms != nil && j.Terms.Version > s.Config.VersionOrZero():
		j.queue = j.Terms.Queue(j.Queue)
	case q != nil:
		j.queue = q
	case j.queue == nil && j.Terms != nil:
		j.queue = j.Terms.Queue(j.Queue)
	}
	if j.queue == nil {
		s.unrouted[j] = true
		return
	}
	delete(s.unrouted, j)
	s.setPool(j, s.pool(j.queue.Pool))
	j.touch()
	s.checkAttempts(j)
}

func (s *Scheduler) setPool(j *job, p *pool) {
	if j.pool == p {
		return
	}
	if j.pool != nil {
		delete(j.pool.jobs, j)
		j.pool.leaveShare(j)
		j.pool.backlog.remove(j)
	}
	j.pool, j.touched = p, false
	if p != nil {
		p.jobs[j] = true
		p.joinShare(j)
	}
}

// removeFromPool removes an ended job from its pool.
func (s *Scheduler) removeFromPool(j *job) {
	delete(s.unrouted, j)
	s.setPool(j, nil)
}
