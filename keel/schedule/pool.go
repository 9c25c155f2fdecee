package schedule

import (
	"time"

	"samphirekeel.example/keel/forecast"
	"samphirekeel.example/keel/tenant"
)

// pool holds a pool's workers and the open jobs of its queues.
type pool struct {
	name     string
	workers  map[*workerState]bool
	jobs     map[*job]bool
	backlog  backlog
	arrivals forecast.Rate
	// room is the capacity of the workers, as of the last rebalancing; shares holds what tenants take of it.
	room   tenant.Cap
	shares map[*tenantState]*poolShare
	// missing is what the latest placement pass lacked although the pool may have capacity for it.
	missing missing
	// waitingSuspects is the number of suspected tasks that the latest placement pass did not start.
	waitingSuspects int
	// trialCrashes holds, by instance, the times of the latest crashes under suspected tasks.
	trialCrashes map[string]time.Duration
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, workers: make(map[*workerState]bool), jobs: make(map[*job]bool), trialCrashes: make(map[string]time.Duration), shares: make(map[*tenantState]*poolShare), backlog: newBacklog(s)}
		s.pools[name] = p
	}
	return p
}
