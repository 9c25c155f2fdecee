package schedule

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/work"
)

const (
	// listInterval is the interval between reads of the instance list.
	listInterval = 250 * time.Millisecond
	// listLag is the maximum time by which the instance list lags behind a worker's registration.
	listLag = time.Second
	// rebalanceInterval is the minimum interval between rebalancing passes.
	rebalanceInterval = 50 * time.Millisecond
	// demandLogInterval is the interval between log lines about each pool's demand.
	demandLogInterval = 500 * time.Millisecond
	// providerTimeout is the timeout of a call to the instance service.
	providerTimeout = 2 * time.Second
	// joinGrace is the time beyond Bounds.MoveTime after which a moved instance no longer counts as incoming.
	joinGrace = 2500 * time.Millisecond
	// scaleDownIdleTime is how long an instance must be idle before it moves to the spare pool. A second in the spare
	// pool saves about 0.9 of the cost of a move.
	scaleDownIdleTime = 1200 * time.Millisecond
	// surplusIdleTime replaces scaleDownIdleTime while the pool needs less even if its latest jobs are few by chance: the
	// time between two steps of a job, or until a waiting job may start.
	surplusIdleTime = 300 * time.Millisecond
	// backlogClearTime is the target time for clearing a backlog: about the average slack of jobs.
	backlogClearTime = time.Second
	// workerStartDelay is the time from a worker's start until it gets its first task.
	workerStartDelay = 150 * time.Millisecond
	// scaleUpRateShare, maintenanceRateShare and scaleDownRateShare are the shares of the order rate limit at which
	// orders for each purpose are held back, so that less urgent orders leave the rest to urgent ones.
	scaleUpRateShare     = 0.99
	maintenanceRateShare = 0.6
	scaleDownRateShare   = 0.35
	// orderRetry is how long an instance that rejected an order gets no other one, so that other instances are selected.
	orderRetry = time.Second
	// headroom is the factor by which a pool's capacity must still exceed its requirement after it gives up an
	// instance.
	headroom = 1.15
)

// instanceList is the name of the instance list among the sources whose outages are tracked.
const instanceList = "instances"

// fleetState is the state of the instances and of the orders that were given to them.
type fleetState struct {
	instances map[string]provider.Instance
	// unreadable says what is wrong with the instances of the latest list that can't be used.
	unreadable []string
	listedAt   time.Duration
	// lists is the number of instance lists that were applied; lastList holds, by instance, the number of the last one
	// that has it.
	lists          int64
	lastList       map[string]int64
	listing        bool
	rebalancedAt   time.Duration
	demandLoggedAt time.Duration
	// spares holds the instances of all spare pools when rebalancing began, ordered by ID.
	spares []provider.Instance
	// scarce is set if some pool falls short and no instance is available for it.
	scarce bool
	// unknownSince holds, by instance, since when each list has shown a worker on it that isn't known.
	unknownSince map[string]time.Duration
	// registeredAt holds, by instance, when a worker of it was last registered for the first time.
	registeredAt map[string]time.Duration
	// shapes holds one instance for each combination of capacity and labels that the latest list has.
	shapes []provider.Instance
	// incoming holds the instances that were ordered into a pool and have not joined it yet.
	incoming map[string]incomingInstance
	// unsuitable holds, by instance, the pools for which the instance service rejected the instance. It is cleared for
	// an instance that is listed again, or with another capacity or other labels.
	unsuitable map[string]map[string]bool
	// recentOrders holds the times of the orders in the last second, for the rate limit, in their order.
	recentOrders []time.Duration
	// lastOrder holds, by instance, when this holder last gave it an order.
	lastOrder map[string]time.Duration
	// retryAt holds, by instance, the earliest time for the next order after one that was rejected.
	retryAt map[string]time.Duration
	// orderFailedAt is when an order last got no response, 0 if the latest response came after that.
	orderFailedAt time.Duration
}

type incomingInstance struct {
	pool     string
	capacity int64
	// expires is when the instance stops counting as incoming.
	expires time.Duration
}

func (f *fleetState) init() {
	f.instances = make(map[string]provider.Instance)
	f.unknownSince = make(map[string]time.Duration)
	f.registeredAt = make(map[string]time.Duration)
	f.lastList = make(map[string]int64)
	f.incoming = make(map[string]incomingInstance)
	f.unsuitable = make(map[string]map[string]bool)
	f.retryAt = make(map[string]time.Duration)
	f.lastOrder = make(map[string]time.Duration)
}

// fetchInstances polls the instance list.
func (s *Scheduler) fetchInstances() {
	if s.Provider == nil || s.fleet.listing {
		return
	}
	s.fleet.listing = true
	sent := s.Now()
	call(s, providerTimeout, func(ctx context.Context) (provider.Page, error) { return listAll(ctx, s.Provider) },
		func(all provider.Page, err error) {
			s.fleet.listing = false
			s.after(listInterval, s.fetchInstances)
			if err != nil {
				s.recordStoreFailure(instanceList, err)
				return
			}
			s.recordStoreResponse(instanceList)
			s.reportUnreadable(all.Unreadable)
			s.applyInstances(all.Instances, sent)
		})
}

// reportUnreadable logs the instances that the list can't be used of, when they change.
func (s *Scheduler) reportUnreadable(reasons []string) {
	if slices.Equal(reasons, s.fleet.unreadable) {
		return
	}
	s.fleet.unreadable = reasons
	for _, reason := range reasons[:min(len(reasons), maxReportedInstances)] {
		s.Log.Write(event.RowUnreadable, event.Fields{"table": "instances", "key": "", "version": 0, "reason": reason})
	}
}

// maxReportedInstances is the number of unreadable instances of one list that are logged.
const maxReportedInstances = 8

// listAll returns all pages as one.
func listAll(ctx context.Context, client *provider.Client) (provider.Page, error) {
	var all provider.Page
	token := ""
	for {
		page, err := client.List(ctx, token)
		if err != nil {
			return provider.Page{}, err
		}
		all.Instances = append(all.Instances, page.Instances...)
		all.Unreadable = append(all.Unreadable, page.Unreadable...)
		token = page.NextToken
		if token == "" {
			return all, nil
		}
	}
}

// applyInstances applies an instance list that was requested at the time sent.
func (s *Scheduler) applyInstances(all []provider.Instance, sent time.Duration) {
	s.fleet.listedAt = s.Now()
	previous := s.fleet.instances
	s.fleet.instances = make(map[string]provider.Instance, len(all))
	s.fleet.lists++
	for _, i := range all {
		s.fleet.instances[i.ID] = i
		s.fleet.lastList[i.ID] = s.fleet.lists
		s.checkReachedSparePool(i)
		w := s.workers[i.Worker]
		if w != nil {
			w.Instance = i.ID
			s.workerOf[i.ID] = w
		}
		old := previous[i.ID]
		if old.Capacity != i.Capacity || !slices.Equal(old.Labels, i.Labels) {
			// Another instance has the ID now.
			delete(s.fleet.unsuitable, i.ID)
		}
		if old.Pool != i.Pool || old.State != i.State || old.Worker != i.Worker {
			s.Log.Write(event.InstanceListed, event.Fields{"instance": i.ID, "pool": i.Pool, "state": string(i.State), "worker": i.Worker})
		}
	}
	s.setShapes(distinctShapes(all))
	s.noteListedCrashes(sent)
	for _, w := range s.workers {
		s.checkListed(w, sent)
	}
	s.resolveListedDoubts(sent)
	unknown := make(map[string]time.Duration)
	for _, i := range all {
		s.restoreListed(i, sent)
		if i.Worker != "" && s.workers[i.Worker] == nil {
			since, ok := s.fleet.unknownSince[i.ID]
			if !ok {
				since = s.fleet.listedAt
			}
			unknown[i.ID] = since
		}
	}
	s.fleet.unknownSince = unknown
	s.schedulePlan()
}

// setShapes sets the shapes of instances. Which tasks some instance may run depends on them, and so does each pool's work.
func (s *Scheduler) setShapes(shapes []provider.Instance) {
	slices.SortFunc(shapes, compareShapes)
	if slices.EqualFunc(shapes, s.fleet.shapes, func(a, b provider.Instance) bool { return compareShapes(a, b) == 0 }) {
		return
	}
	s.fleet.shapes = shapes
	for _, p := range s.pools {
		for j := range p.jobs {
			j.touch()
		}
	}
}

func compareShapes(a, b provider.Instance) int {
	return cmp.Or(
		cmp.Compare(a.Capacity.MilliCores, b.Capacity.MilliCores), cmp.Compare(a.Capacity.MemoryMB, b.Capacity.MemoryMB),
		cmp.Compare(a.Capacity.Accelerators, b.Capacity.Accelerators), slices.Compare(a.Labels, b.Labels),
	)
}

// distinctShapes returns one instance for each combination of capacity and labels.
func distinctShapes(all []provider.Instance) []provider.Instance {
	type shape struct {
		capacity work.Size
		labels   string
	}
	var shapes []provider.Instance
	known := make(map[shape]bool)
	for _, i := range all {
		key := shape{i.Capacity, strings.Join(i.Labels, "\n")}
		if !known[key] {
			known[key] = true
			shapes = append(shapes, i)
		}
	}
	return shapes
}

// mayRun reports whether some listed instance could run a task of the step; without a list it is assumed.
func (f *fleetState) mayRun(step *stepState) bool {
	return f.listedAt == 0 || slices.ContainsFunc(f.shapes, step.suits)
}

// restoreListed adds the instance's worker again if it was removed although it is alive: the store still has its
// registration, whose row doesn't change any more, and a list that was requested more than listLag later shows it.
func (s *Scheduler) restoreListed(i provider.Instance, sent time.Duration) {
	stored, ok := s.registrations[i.Worker]
	if ok && stored.Started != 0 && stored.Pool != i.Pool {
		// It is the registration of an earlier boot in another pool.
		return
	}
	if ok && i.State == provider.Up && s.workers[i.Worker] == nil && stored.removedAt+listLag < sent {
		s.register(stored.Registration)
	}
}

// checkReachedSparePool clears the pending move of an instance that has arrived in a spare pool, so that it can be
// moved again. No worker registers there, so only the instance list shows the arrival.
func (s *Scheduler) checkReachedSparePool(i provider.Instance) {
	in, ok := s.fleet.incoming[i.ID]
	if ok && i.State == provider.Up && i.Pool == in.pool && s.Config.Pools[in.pool].Spare {
		delete(s.fleet.incoming, i.ID)
	}
}

// checkListed removes the worker if the instance list shows another worker, or none, on its instance, or if the worker
// isn't registered and two lists in a row lack its instance, which was taken away then. A worker that registered within
// listLag before the list was requested may not be listed yet and is skipped.
func (s *Scheduler) checkListed(w *workerState, sent time.Duration) {
	i, listed := s.fleet.instances[w.Instance]
	if !w.mayBeListed(sent) {
		return
	}
	if !listed {
		if w.unlisted && !w.registered {
			s.removeWorker(w, "instance list no longer contains its instance")
		}
		w.unlisted = true
		return
	}
	w.unlisted = false
	if i.Worker != w.ID {
		s.removeUnlistedWorker(w, i)
		return
	}
	w.listedUpAt = sent
}

// mayBeListed reports whether a list that was requested at the time sent shows the worker, if it is alive.
func (w *workerState) mayBeListed(sent time.Duration) bool {
	return w.Instance != "" && w.firstRegistered+listLag <= sent
}

// isGone reports whether two instance lists in a row lack the instance. One may lack it because instances came or went
// between the requests for its pages.
func (f *fleetState) isGone(instance string) bool { return f.lists-f.lastList[instance] >= 2 }

// mayOrder reports whether the instance may get an order now. Orders wait for the end of the previous holder's lease and
// for orderRetry after a rejection, and each purpose may use only its share of the rate limit.
func (s *Scheduler) mayOrder(instance string, rateShare float64, now time.Duration) bool {
	if now < s.OrdersFrom || now < s.InstanceOrdersFrom[instance] || now < s.fleet.retryAt[instance] {
		return false
	}
	f := &s.fleet
	for len(f.recentOrders) > 0 && now-f.recentOrders[0] > time.Second {
		f.recentOrders = f.recentOrders[1:]
	}
	return float64(len(f.recentOrders)) < rateShare*s.Limits.OrdersPerSecond
}

func (s *Scheduler) recordOrder(instance string, now time.Duration) {
	s.fleet.recentOrders = append(s.fleet.recentOrders, now)
	s.fleet.lastOrder[instance] = now
}

// RecentOrders returns, by instance, the age in milliseconds of this holder's last order. Orders older than
// Bounds.MinHolderGap are left out.
func (s *Scheduler) RecentOrders() map[string]int64 {
	now := s.Now()
	recent := make(map[string]int64)
	for instance, at := range s.fleet.lastOrder {
		if now-at < s.Bounds.MinHolderGap {
			recent[instance] = (now - at).Milliseconds()
		}
	}
	return recent
}

// listFails reports whether the latest request for the instance list failed.
func (s *Scheduler) listFails() bool { return s.outages.byTable[instanceList] != nil }

// acceptsOrders reports whether the instance service is expected to accept orders: the instance list is available, and no
// order has gone without a response for providerTimeout.
func (s *Scheduler) acceptsOrders(now time.Duration) bool {
	failedAt := s.fleet.orderFailedAt
	return !s.listFails() && (failedAt == 0 || now-failedAt > providerTimeout)
}

func (s *Scheduler) fence() provider.Fence { return provider.Fence{Holder: s.Holder, Token: s.Epoch} }

// rebalance moves instances between pools according to the pools' demand.
func (s *Scheduler) rebalance(now time.Duration) {
	if s.Provider == nil || now-s.fleet.rebalancedAt < rebalanceInterval || s.Config == nil || s.fleet.listedAt == 0 {
		return
	}
	s.fleet.rebalancedAt = now
	for id, in := range s.fleet.incoming {
		if now > in.expires {
			delete(s.fleet.incoming, id)
		}
	}
	demands := s.demands(now)
	s.logDemands(demands, now)
	s.fleet.spares = s.spareInstances()
	s.scaleUp(demands, now)
	if s.acceptsOrders(now) {
		s.scaleDown(demands, now)
	}
}
