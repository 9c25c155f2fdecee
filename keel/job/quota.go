package job

import (
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// ServiceUsage is what one service holds of its pool and what it may hold before others that want more than they have.
type ServiceUsage struct {
	Used  platform.Size
	Quota platform.Size
}

// DominantShare returns the greatest part of its quota that the team holds in a dimension; above 1 it borrows.
func (t ServiceUsage) DominantShare() float64 {
	return max(
		fraction(t.Used.MilliCores, t.Quota.MilliCores),
		fraction(t.Used.MemoryMB, t.Quota.MemoryMB),
		fraction(t.Used.Accelerators, t.Quota.Accelerators),
	)
}

// fraction returns used as a part of quota; what is held without a quota counts as borrowed whole.
func fraction(used, quota int64) float64 {
	if used <= 0 {
		return 0
	}
	return float64(used) / float64(max(quota, 1))
}

// fairQueue yields waiting jobs of the team with the least share first and in order within a team.
type fairQueue struct {
	usage     map[string]*ServiceUsage
	byService map[string][]rowset.Versioned[Record]
	services  []string
}

func newFairQueue(teams map[string]*ServiceUsage, queued []rowset.Versioned[Record]) *fairQueue {
	q := &fairQueue{usage: teams, byService: make(map[string][]rowset.Versioned[Record])}
	for _, found := range queued {
		q.byService[found.Value.Service] = append(q.byService[found.Value.Service], found)
	}
	q.services = sortedKeys(q.byService)
	return q
}

// next takes the next job, and reports false when none waits.
func (q *fairQueue) next() (rowset.Versioned[Record], bool) {
	best := ""
	bestShare := 0.0
	for _, name := range q.services {
		if len(q.byService[name]) == 0 {
			continue
		}
		share := q.usage[name].DominantShare()
		if best == "" || share < bestShare {
			best, bestShare = name, share
		}
	}
	if best == "" {
		return rowset.Versioned[Record]{}, false
	}
	found := q.byService[best][0]
	q.byService[best] = q.byService[best][1:]
	return found, true
}

// usageByService returns the teams of the pool with what their jobs hold.
func (s *poolScheduler) usageByService(queued []rowset.Versioned[Record]) map[string]*ServiceUsage {
	teams := make(map[string]*ServiceUsage)
	services := s.c.View.Settings().Tree.Below(settings.Path(s.pool), settings.LevelService)
	even := s.equalShare(len(services))
	team := func(service string) *ServiceUsage {
		found, ok := teams[service]
		if !ok {
			found = &ServiceUsage{Quota: s.quota(service, even)}
			teams[service] = found
		}
		return found
	}
	for _, found := range queued {
		team(found.Value.Service)
	}
	for key := range s.tasks {
		found, ok := s.jobs.Get(key)
		if ok {
			t := team(found.Value.Service)
			t.Used = t.Used.Plus(found.Value.Reserved)
		}
	}
	return teams
}

// equalShare returns the pool's capacity divided by the number of its services.
func (s *poolScheduler) equalShare(services int) platform.Size {
	var capacity platform.Size
	for key := range s.instanceVersions {
		found, _ := s.c.View.Inventory().Get(key)
		capacity = capacity.Plus(found.Value.Size)
	}
	n := int64(max(services, 1))
	return platform.Size{
		MilliCores: capacity.MilliCores / n, MemoryMB: capacity.MemoryMB / n, Accelerators: capacity.Accelerators / n,
	}
}

// quota returns the quota of a service, which is an even part of the pool in the dimensions that settings leave at 0.
func (s *poolScheduler) quota(service string, even platform.Size) platform.Size {
	tree := s.c.View.Settings().Tree
	path := settings.Path(service)
	pick := func(key settings.Key, otherwise int64) int64 {
		set := tree.Int(path, key)
		if set > 0 {
			return int64(set)
		}
		return otherwise
	}
	return platform.Size{
		MilliCores:   pick(settings.JobQuotaCores, even.MilliCores),
		MemoryMB:     pick(settings.JobQuotaMemory, even.MemoryMB),
		Accelerators: pick(settings.JobQuotaAccelerators, even.Accelerators),
	}
}
