package job

import (
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/tenant"
)

// ServiceUsage is the capacity that a service's jobs hold in its pool and the service's quota there. A service may
// exceed its quota while others leave capacity unused.
type ServiceUsage struct {
	Used  platform.Size
	Quota platform.Size
}

// DominantShare returns the highest used fraction of the quota over all dimensions; above 1 the service exceeds its
// quota. Without a quota in a dimension, all use counts as beyond it.
func (u ServiceUsage) DominantShare() float64 {
	quota := tenant.Cap{MilliCores: max(u.Quota.MilliCores, 1), MemoryMB: max(u.Quota.MemoryMB, 1), Accelerators: max(u.Quota.Accelerators, 1)}
	return quota.DominantShare(tenant.Cap(u.Used))
}

// fairQueue yields queued jobs, the service with the lowest dominant share first and in order within a service.
type fairQueue struct {
	usage     map[string]*ServiceUsage
	byService map[string][]rowset.Versioned[Record]
	services  []string
}

func newFairQueue(usage map[string]*ServiceUsage, queued []rowset.Versioned[Record]) *fairQueue {
	q := &fairQueue{usage: usage, byService: make(map[string][]rowset.Versioned[Record])}
	for _, found := range queued {
		q.byService[found.Value.Service] = append(q.byService[found.Value.Service], found)
	}
	q.services = sortedKeys(q.byService)
	return q
}

// next removes and returns the next job, and returns false if the queue is empty.
func (q *fairQueue) next() (rowset.Versioned[Record], bool) {
	best := ""
	bestShare := 0.0
	for _, service := range q.services {
		if len(q.byService[service]) == 0 {
			continue
		}
		share := q.usage[service].DominantShare()
		if best == "" || share < bestShare {
			best, bestShare = service, share
		}
	}
	if best == "" {
		return rowset.Versioned[Record]{}, false
	}
	found := q.byService[best][0]
	q.byService[best] = q.byService[best][1:]
	return found, true
}

// usageByService returns the usage and quota of each service of the pool that has jobs on workers or in queued.
func (s *poolScheduler) usageByService(queued []rowset.Versioned[Record]) map[string]*ServiceUsage {
	byService := make(map[string]*ServiceUsage)
	services := s.c.View.Settings().Tree.Below(settings.Path(s.pool), settings.LevelService)
	defaultQuota := s.equalShare(len(services))
	usageOf := func(service string) *ServiceUsage {
		usage, ok := byService[service]
		if !ok {
			usage = &ServiceUsage{Quota: s.quota(service, defaultQuota)}
			byService[service] = usage
		}
		return usage
	}
	for _, found := range queued {
		usageOf(found.Value.Service)
	}
	for key := range s.tasks {
		found, ok := s.jobs.Get(key)
		if ok {
			usage := usageOf(found.Value.Service)
			usage.Used = usage.Used.Plus(found.Value.Reserved)
		}
	}
	return byService
}

// equalShare returns the pool's capacity divided by the number of services, at least 1.
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

// quota returns the service's quota from its settings, with the default in the dimensions that they leave at 0.
func (s *poolScheduler) quota(service string, defaultQuota platform.Size) platform.Size {
	tree := s.c.View.Settings().Tree
	path := settings.Path(service)
	setOrDefault := func(key settings.Key, defaultValue int64) int64 {
		set := tree.Int(path, key)
		if set > 0 {
			return int64(set)
		}
		return defaultValue
	}
	return platform.Size{
		MilliCores:   setOrDefault(settings.JobQuotaCores, defaultQuota.MilliCores),
		MemoryMB:     setOrDefault(settings.JobQuotaMemory, defaultQuota.MemoryMB),
		Accelerators: setOrDefault(settings.JobQuotaAccelerators, defaultQuota.Accelerators),
	}
}
