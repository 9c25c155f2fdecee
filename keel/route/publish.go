package route

import (
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/upstream"
)

const (
	// signalTimeout is how long an endpoint counts as leaving after its signal if its row doesn't change.
	signalTimeout = 10 * time.Minute
	// decayInterval is the time between halvings of the counts of earlier results.
	decayInterval = 5 * time.Second
)

// ClusterState is the state of peers and instances that an entry knows from sources other than the instance rows.
type ClusterState struct {
	// Entries holds the number of entries with a recent heartbeat by data centre, this entry included.
	Entries map[string]int64
	// InFlight holds the number of requests that the other entries have in flight, by the row key of the instance.
	InFlight map[string]int64
	// LeavingReason returns the reason why the instance with the row key should get no new requests, or an empty
	// string; nil means that there is none for any instance.
	LeavingReason func(key string) string
}

// Publish rebuilds the directory and the endpoints from the whole inventory and the settings tree; it is called on the
// control loop.
func (r *Router) Publish(inventory *instance.Inventory, tree *settings.Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialise()
	r.publishTree(tree)
	r.updatePools(r.applyRows(inventory), inventory)
}

// Update applies a settings tree and the changed instances, given by their row keys; it is called on the control loop.
func (r *Router) Update(inventory *instance.Inventory, tree *settings.Tree, keys []string) {
	if r.tree == nil {
		r.Publish(inventory, tree)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := make(map[string]bool)
	if r.publishTree(tree) {
		for path, pool := range r.pools {
			if len(notLeaving(pool.local)) == 0 {
				changed[path] = true
			}
		}
	}
	for _, key := range keys {
		r.applyRow(inventory, key, changed)
	}
	r.rebuildLocal(changed)
	r.updatePools(changed, inventory)
}

// publishTree publishes the services of a tree; it returns false if the tree is the current one.
func (r *Router) publishTree(tree *settings.Tree) bool {
	if tree == r.tree {
		return false
	}
	r.publishServices(tree)
	r.tree = tree
	return true
}

// applyRow applies one instance row and adds the affected pools to changed.
func (r *Router) applyRow(inventory *instance.Inventory, key string, changed map[string]bool) {
	found, ok := inventory.Get(key)
	serves := ok && found.Value.Serving()
	e := r.endpoints[key]
	if e != nil {
		changed[e.control.record.Pool] = true
	}
	if e != nil && !serves {
		e.control.listed = false
		r.updateLeaving(e)
	}
	if !serves {
		return
	}
	if found.Value.DataCentre == r.DataCentre {
		r.ensureEndpoint(found)
	}
	changed[found.Value.Pool] = true
}

func (r *Router) initialise() {
	if r.endpoints != nil {
		return
	}
	r.endpoints = make(map[string]*Endpoint)
	r.pools = make(map[string]*Pool)
	r.states = make(map[string]*serviceState)
	r.partners = make(map[string]*partnerState)
	if r.Metrics == nil {
		r.Metrics = NewMetrics(nil)
	}
}

func (r *Router) publishServices(tree *settings.Tree) {
	directory := &Directory{Revision: tree.Revision(), Services: make(map[string]*Service)}
	queues := make(map[*Pool][]*waitQueue)
	for _, path := range tree.Below("", settings.LevelService) {
		name := string(path.Parent().Parent()) + "/" + path.Name()
		service := &Service{
			Path:           path,
			Timeout:        tree.Duration(path, settings.RequestTimeout),
			QueueDepth:     tree.Int(path, settings.QueueDepth),
			ResponseLimit:  tree.Int(path, settings.ClaimResponseLimit),
			SequenceWindow: tree.Duration(path, settings.SequenceWindow),
			RetryBudget:    tree.Float(path, settings.RetryBudget),
			RepeatablePost: tree.Bool(path, settings.RepeatablePost),
			Limits: upstream.Limits{
				FirstByte: tree.Duration(path, settings.FirstByteTimeout),
				Progress:  tree.Duration(path, settings.ProgressTimeout),
				BodyBytes: tree.Int(path, settings.ResponseBytes),
			},
			pool:  r.pool(string(path.Parent())),
			state: r.state(name),
		}
		queues[service.pool] = append(queues[service.pool], &service.state.queue)
		directory.Services[name] = service
	}
	for _, pool := range r.pools {
		pool.mu.Lock()
		pool.queues = queues[pool]
		pool.mu.Unlock()
	}
	r.directory.Store(directory)
}

func (r *Router) pool(path string) *Pool {
	pool := r.pools[path]
	if pool == nil {
		pool = &Pool{}
		r.pools[path] = pool
	}
	return pool
}

func (r *Router) state(name string) *serviceState {
	s := r.states[name]
	if s != nil {
		return s
	}
	partner, _, _ := strings.Cut(name, "/")
	if r.partners[partner] == nil {
		r.partners[partner] = &partnerState{}
	}
	s = &serviceState{partner: r.partners[partner]}
	r.Metrics.bindService(s, name)
	r.states[name] = s
	return s
}

// applyRows applies all rows of the entry's own data centre; it returns the pools whose endpoints changed and those
// without local endpoints.
func (r *Router) applyRows(inventory *instance.Inventory) map[string]bool {
	changed := make(map[string]bool)
	present := make(map[string]bool)
	for found := range inventory.All {
		if found.Value.DataCentre != r.DataCentre || !found.Value.Serving() {
			continue
		}
		present[found.Key()] = true
		e := r.endpoints[found.Key()]
		if e != nil && e.control.version == found.Version() && e.control.listed {
			continue
		}
		e = r.ensureEndpoint(found)
		changed[e.control.record.Pool] = true
	}
	for key, e := range r.endpoints {
		if !present[key] && e.control.listed && e.control.record.DataCentre == r.DataCentre {
			e.control.listed = false
			r.updateLeaving(e)
			changed[e.control.record.Pool] = true
		}
	}
	for path, pool := range r.pools {
		if len(notLeaving(pool.local)) == 0 {
			changed[path] = true
		}
	}
	r.rebuildLocal(changed)
	return changed
}

// rebuildLocal rebuilds the lists of local endpoints of the changed pools.
func (r *Router) rebuildLocal(changed map[string]bool) {
	for path := range changed {
		r.pool(path).local = nil
	}
	for _, e := range r.endpoints {
		path := e.control.record.Pool
		if changed[path] && e.control.listed && e.control.record.DataCentre == r.DataCentre {
			pool := r.pool(path)
			pool.local = append(pool.local, e)
		}
	}
	for path := range changed {
		slices.SortFunc(r.pool(path).local, func(a, b *Endpoint) int { return strings.Compare(a.key, b.key) })
	}
}

// ensureEndpoint returns the endpoint of the row, listed; it replaces an endpoint whose address, pool or number of
// slots has changed.
func (r *Router) ensureEndpoint(found instance.Versioned) *Endpoint {
	record := found.Value
	e := r.endpoints[found.Key()]
	if e != nil && e.control.version == found.Version() {
		e.control.listed = true
		r.updateLeaving(e)
		return e
	}
	if e == nil || e.control.record.Address != record.Address || e.control.record.Pool != record.Pool || e.slots != int64(record.Slots) {
		if e != nil {
			r.retire(e)
		}
		e = &Endpoint{
			key: found.Key(), slots: int64(record.Slots), pool: r.pool(record.Pool),
			upstream: &upstream.Pool{Address: record.Address, Dial: r.Dial},
		}
		e.limit.Store(max(1, e.slots/max(1, r.observed.Entries[record.DataCentre])))
		r.endpoints[found.Key()] = e
	}
	// The row has changed and shows that the instance is in service, so an earlier signal of the endpoint no longer
	// applies.
	e.signalled.Store(false)
	e.control = controlState{record: record, version: found.Version(), listed: true, leavingReason: e.control.leavingReason}
	r.updateLeaving(e)
	return e
}

// updatePools sets the endpoints that may get new requests in the changed pools: the local ones, or the remote ones if
// a pool has no local one.
func (r *Router) updatePools(changed map[string]bool, inventory *instance.Inventory) {
	remoteRows := r.remoteRows(changed, inventory)
	for path := range changed {
		r.updatePool(path, r.pool(path), remoteRows[path])
	}
}

func (r *Router) updatePool(path string, pool *Pool, remoteRows []instance.Versioned) {
	members := notLeaving(pool.local)
	wasRemote := pool.remote.Load()
	if wasRemote || len(members) == 0 {
		members = append(members, r.rebuildRemote(path, remoteRows)...)
	}
	remote := len(remoteRows) > 0 && len(members) > 0
	if wasRemote != remote {
		r.Log.Write(event.RoutePoolAway, event.Fields{"pool": path, "away": remote, "endpoints": len(members)})
	}
	pool.remote.Store(remote)
	pool.members.Store(&members)
	pool.updateSlots()
	if len(members) == 0 {
		pool.rejectWaiting()
		return
	}
	pool.assignFreeSlots()
}

func notLeaving(local []*Endpoint) []*Endpoint {
	members := make([]*Endpoint, 0, len(local))
	for _, e := range local {
		if !e.leaving.Load() {
			members = append(members, e)
		}
	}
	return members
}

// remoteRows returns, by pool, the rows of instances in other data centres from which an entry's heartbeat arrived
// recently, for the changed pools that have no local endpoint.
func (r *Router) remoteRows(changed map[string]bool, inventory *instance.Inventory) map[string][]instance.Versioned {
	rows := make(map[string][]instance.Versioned)
	for path := range changed {
		pool := r.pool(path)
		if len(pool.queues) > 0 && len(notLeaving(pool.local)) == 0 {
			rows[path] = nil
		}
	}
	if len(rows) == 0 || len(r.observed.Entries) < 2 {
		return nil
	}
	for found := range inventory.All {
		record := found.Value
		_, wanted := rows[record.Pool]
		local := record.DataCentre == r.DataCentre
		if wanted && !local && record.Serving() && r.observed.Entries[record.DataCentre] > 0 {
			rows[record.Pool] = append(rows[record.Pool], found)
		}
	}
	return rows
}

// rebuildRemote applies the remote rows of a pool, unlists its other remote endpoints and returns those that aren't
// leaving.
func (r *Router) rebuildRemote(path string, rows []instance.Versioned) []*Endpoint {
	for _, e := range r.endpoints {
		if e.control.record.Pool == path && e.control.record.DataCentre != r.DataCentre {
			e.control.listed = false
		}
	}
	var members []*Endpoint
	for _, found := range rows {
		e := r.ensureEndpoint(found)
		if !e.leaving.Load() {
			members = append(members, e)
		}
	}
	for _, e := range r.endpoints {
		r.updateLeaving(e)
	}
	slices.SortFunc(members, func(a, b *Endpoint) int { return strings.Compare(a.key, b.key) })
	return members
}

// updateSlots sets slots to the sum of the endpoints' limits.
func (p *Pool) updateSlots() {
	var slots int64
	for _, e := range p.endpoints() {
		slots += e.limit.Load()
	}
	p.slots.Store(slots)
}
