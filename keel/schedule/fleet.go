package schedule

import (
	"context"
	"slices"
	"strconv"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/provider"
)

const (
	// listInterval is the time between two readings of the list of instances.
	listInterval = 250 * time.Millisecond
	// listLag is how far the list may lag behind a worker's registration.
	listLag = time.Second
	// fleetInterval is the least time between two looks at where instances are needed.
	fleetInterval = 50 * time.Millisecond
	// demandLogInterval is the time between two lines of the log about each pool.
	demandLogInterval = 500 * time.Millisecond
	// estateTimeout bounds a call of the service for instances.
	estateTimeout = 2 * time.Second
	// comingGrace is how long a moved instance may take beyond its move until it counts as missing.
	comingGrace = 2500 * time.Millisecond
	// parkAfter is how long an instance is idle before it goes to the spare pool: a second there saves about as much
	// as nine tenths of a move costs.
	parkAfter = 1200 * time.Millisecond
	// drainTime is the time within which a backlog is to be cleared: about the slack that jobs have on average.
	drainTime = time.Second
	// joinTime is how long a worker takes after its start until it gets its first task.
	joinTime = 150 * time.Millisecond
	// bringPart, maintainPart and parkPart are the parts of the allowed rate of orders up to which instances are brought,
	// maintained and parked: what can wait leaves the rest to what can't.
	bringPart    = 0.99
	maintainPart = 0.6
	parkPart     = 0.35
	// headroom is what a pool keeps beyond its need before it gives instances away.
	headroom = 1.15
)

// fleetState is what is known of instances beyond their workers.
type fleetState struct {
	instances map[string]provider.Instance
	listed    time.Duration
	listing   bool
	looked    time.Duration
	logged    time.Duration
	// scarce reports that some pool misses room and no instance is idle.
	scarce bool
	// coming holds the instances that were told to join a pool.
	coming map[string]arrival
	// unsuitable holds the pools that can't take an instance.
	unsuitable map[string]map[string]bool
	// free is when the next order to an instance may be given under the rate limit.
	orders []time.Duration
	// ordered is when this holder last gave an order to an instance.
	ordered map[string]time.Duration
}

// arrival is an instance on its way into a pool.
type arrival struct {
	pool string
	room int64
	// until is when the instance counts as missing.
	until time.Duration
}

func (f *fleetState) init() {
	f.instances = make(map[string]provider.Instance)
	f.coming = make(map[string]arrival)
	f.unsuitable = make(map[string]map[string]bool)
	f.ordered = make(map[string]time.Duration)
}

// fetchInstances reads the list of instances, again and again.
func (s *Scheduler) fetchInstances() {
	if s.Estate == nil || s.fleet.listing {
		return
	}
	s.fleet.listing = true
	sent := s.Now()
	call(s, estateTimeout, func(ctx context.Context) ([]provider.Instance, error) { return listAll(ctx, s.Estate) },
		func(all []provider.Instance, err error) {
			s.fleet.listing = false
			s.after(listInterval, s.fetchInstances)
			if err != nil {
				s.storeFailed("instances", err)
				return
			}
			s.storeAnswered("instances")
			s.applyInstances(all, sent)
		})
}

func listAll(ctx context.Context, client *provider.Client) ([]provider.Instance, error) {
	var all []provider.Instance
	token := ""
	for {
		page, err := client.List(ctx, token)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Instances...)
		token = page.NextToken
		if token == "" {
			return all, nil
		}
	}
}

// applyInstances takes in the list as it was at some time after it was asked for.
func (s *Scheduler) applyInstances(all []provider.Instance, sent time.Duration) {
	s.fleet.listed = s.Now()
	before := s.fleet.instances
	s.fleet.instances = make(map[string]provider.Instance, len(all))
	for _, i := range all {
		s.fleet.instances[i.ID] = i
		s.checkParked(i)
		h := s.workers[i.Worker]
		if h != nil {
			h.Instance = i.ID
			s.byInstance[i.ID] = h
		}
		old := before[i.ID]
		if old.Pool != i.Pool || old.State != i.State || old.Worker != i.Worker {
			s.Log.Write(event.InstanceListed, event.Fields{"instance": i.ID, "pool": i.Pool, "state": string(i.State), "worker": i.Worker})
		}
	}
	for _, h := range s.workers {
		s.checkListed(h, sent)
	}
	s.soon()
}

// checkParked notes that an instance has reached its spare pool, where no worker registers that would tell: it may be
// told to join another one.
func (s *Scheduler) checkParked(i provider.Instance) {
	a, ok := s.fleet.coming[i.ID]
	if ok && i.State == provider.Up && i.Pool == a.pool && s.Config.Pools[a.pool].Spare {
		delete(s.fleet.coming, i.ID)
	}
}

// checkListed tells from the list whether a worker has ended: its instance is down or away, or runs another one. A
// worker that registered since the list was asked for, or shortly before, may not be in the list yet.
func (s *Scheduler) checkListed(h *host, sent time.Duration) {
	i, listed := s.fleet.instances[h.Instance]
	if h.Instance == "" || !listed || h.seen+listLag > sent {
		return
	}
	if i.Worker != h.ID {
		s.lost(h, "the list says that its instance is "+string(i.State)+" with worker "+strconv.Quote(i.Worker))
	}
}

// mayOrder reports whether an order to the instance is allowed now, by the lease of the last holder and by the part of
// the allowed rate that its purpose may take.
func (s *Scheduler) mayOrder(instance string, part float64, now time.Duration) bool {
	if now < s.OrdersFrom || now < s.InstanceOrdersFrom[instance] {
		return false
	}
	f := &s.fleet
	f.orders = slices.DeleteFunc(f.orders, func(at time.Duration) bool { return now-at > time.Second })
	return float64(len(f.orders)) < part*s.Limits.OrdersPerSecond
}

// noteOrder counts an order to an instance.
func (s *Scheduler) noteOrder(instance string, now time.Duration) {
	s.fleet.orders = append(s.fleet.orders, now)
	s.fleet.ordered[instance] = now
}

// RecentOrders returns how long ago this holder gave its latest orders to instances, in milliseconds.
func (s *Scheduler) RecentOrders() map[string]int64 {
	now := s.Now()
	recent := make(map[string]int64)
	for instance, at := range s.fleet.ordered {
		if now-at < s.Bounds.HolderLease {
			recent[instance] = (now - at).Milliseconds()
		}
	}
	return recent
}

func (s *Scheduler) fence() provider.Fence { return provider.Fence{Holder: s.Holder, Token: s.Epoch} }

// keepFleet moves instances to where they are needed.
func (s *Scheduler) keepFleet(now time.Duration) {
	if s.Estate == nil || now-s.fleet.looked < fleetInterval || s.Config == nil || s.fleet.listed == 0 {
		return
	}
	s.fleet.looked = now
	for id, a := range s.fleet.coming {
		if now > a.until {
			delete(s.fleet.coming, id)
		}
	}
	demands := s.demands(now)
	s.logDemands(demands, now)
	s.bring(demands, now)
	s.park(demands, now)
}
