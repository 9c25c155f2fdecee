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
	// signalFor is how long an endpoint's own signal holds if its row doesn't change.
	signalFor = 10 * time.Minute
	// halveInterval is how often results of the past are made to count half.
	halveInterval = 5 * time.Second
)

// ClusterState is what the entry knows besides the rows.
type ClusterState struct {
	// Entries counts the entries that were heard of lately by data centre, this one included.
	Entries map[string]int64
	// InFlight holds what the other entries have in flight by the key of the instance's row.
	InFlight map[string]int64
	// LeavingReason returns why an instance should get no new work, or an empty string; nil stands for none.
	LeavingReason func(key string) string
}

// Publish makes the directory from the inventory and the tree; it is called on the control loop.
func (r *Router) Publish(inventory *instance.Inventory, tree *settings.Tree) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	r.publishTree(tree)
	r.fillAll(r.takeRows(inventory), inventory)
}

// Update makes the directory from what has changed: the tree, and the instances with the keys.
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
			if len(serving(pool.local)) == 0 {
				changed[path] = true
			}
		}
	}
	for _, key := range keys {
		r.takeRow(inventory, key, changed)
	}
	r.relist(changed)
	r.fillAll(changed, inventory)
}

// publishTree publishes the services of a tree, and reports whether it is a new one.
func (r *Router) publishTree(tree *settings.Tree) bool {
	if tree == r.tree {
		return false
	}
	r.publishServices(tree)
	r.tree = tree
	return true
}

// takeRow takes in one row and marks the pools that it concerns.
func (r *Router) takeRow(inventory *instance.Inventory, key string, changed map[string]bool) {
	found, ok := inventory.Get(key)
	serves := ok && found.Value.Serving()
	e := r.endpoints[key]
	if e != nil {
		changed[e.row.record.Pool] = true
	}
	if e != nil && !serves {
		e.row.listed = false
		r.mark(e)
	}
	if !serves {
		return
	}
	if found.Value.DataCentre == r.DataCentre {
		r.endpoint(found)
	}
	changed[found.Value.Pool] = true
}

func (r *Router) prepare() {
	if r.endpoints != nil {
		return
	}
	r.endpoints = make(map[string]*Endpoint)
	r.pools = make(map[string]*Pool)
	r.states = make(map[string]*state)
	r.partners = make(map[string]*partner)
	if r.Metrics == nil {
		r.Metrics = NewMetrics(nil)
	}
}

func (r *Router) publishServices(tree *settings.Tree) {
	directory := &Directory{Revision: tree.Revision(), Services: make(map[string]*Service)}
	lanes := make(map[*Pool][]*lane)
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
		lanes[service.pool] = append(lanes[service.pool], &service.state.lane)
		directory.Services[name] = service
	}
	for _, pool := range r.pools {
		pool.mu.Lock()
		pool.lanes = lanes[pool]
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

func (r *Router) state(name string) *state {
	s := r.states[name]
	if s != nil {
		return s
	}
	owner, _, _ := strings.Cut(name, "/")
	if r.partners[owner] == nil {
		r.partners[owner] = &partner{}
	}
	s = &state{partner: r.partners[owner]}
	r.Metrics.bind(s, name)
	r.states[name] = s
	return s
}

// takeRows takes in the rows of the own data centre and returns the pools whose endpoints changed.
func (r *Router) takeRows(inventory *instance.Inventory) map[string]bool {
	changed := make(map[string]bool)
	seen := make(map[string]bool)
	for found := range inventory.All {
		if found.Value.DataCentre != r.DataCentre || !found.Value.Serving() {
			continue
		}
		seen[found.Key()] = true
		e := r.endpoints[found.Key()]
		if e != nil && e.row.version == found.Version() && e.row.listed {
			continue
		}
		e = r.endpoint(found)
		changed[e.row.record.Pool] = true
	}
	for key, e := range r.endpoints {
		if !seen[key] && e.row.listed && e.row.record.DataCentre == r.DataCentre {
			e.row.listed = false
			r.mark(e)
			changed[e.row.record.Pool] = true
		}
	}
	for path, pool := range r.pools {
		if len(serving(pool.local)) == 0 {
			changed[path] = true
		}
	}
	r.relist(changed)
	return changed
}

// relist makes the lists of local endpoints of the pools anew.
func (r *Router) relist(changed map[string]bool) {
	for path := range changed {
		r.pool(path).local = nil
	}
	for _, e := range r.endpoints {
		path := e.row.record.Pool
		if changed[path] && e.row.listed && e.row.record.DataCentre == r.DataCentre {
			pool := r.pool(path)
			pool.local = append(pool.local, e)
		}
	}
	for path := range changed {
		slices.SortFunc(r.pool(path).local, func(a, b *Endpoint) int { return strings.Compare(a.key, b.key) })
	}
}

// endpoint returns the endpoint of the row, made anew if another instance would be reached or another pool served.
func (r *Router) endpoint(found instance.Versioned) *Endpoint {
	record := found.Value
	e := r.endpoints[found.Key()]
	if e != nil && e.row.version == found.Version() {
		e.row.listed = true
		r.mark(e)
		return e
	}
	if e == nil || e.row.record.Address != record.Address || e.row.record.Pool != record.Pool || e.slots != int64(record.Slots) {
		if e != nil {
			r.retire(e)
		}
		e = &Endpoint{
			key: found.Key(), slots: int64(record.Slots), pool: r.pool(record.Pool),
			upstream: &upstream.Pool{Address: record.Address, Dial: r.Dial},
		}
		e.limit.Store(max(1, e.slots/max(1, r.word.Entries[record.DataCentre])))
		r.endpoints[found.Key()] = e
	}
	// A row that changed and is held again ends the endpoint's own signal.
	e.signalled.Store(false)
	e.row = row{record: record, version: found.Version(), listed: true, reason: e.row.reason}
	r.mark(e)
	return e
}

// fillAll sets the endpoints that may be given new work in the pools: the own ones, or distant ones if there is none.
func (r *Router) fillAll(changed map[string]bool, inventory *instance.Inventory) {
	distant := r.distantRows(changed, inventory)
	for path := range changed {
		r.fill(path, r.pool(path), distant[path])
	}
}

func (r *Router) fill(path string, pool *Pool, distant []instance.Versioned) {
	members := serving(pool.local)
	was := pool.away.Load()
	if was || len(members) == 0 {
		members = append(members, r.relistDistant(path, distant)...)
	}
	away := len(distant) > 0 && len(members) > 0
	if was != away {
		r.Log.Write(event.RoutePoolAway, event.Fields{"pool": path, "away": away, "endpoints": len(members)})
	}
	pool.away.Store(away)
	pool.members.Store(&members)
	pool.count()
	if len(members) == 0 {
		pool.dismiss()
		return
	}
	pool.offerAll()
}

func serving(local []*Endpoint) []*Endpoint {
	members := make([]*Endpoint, 0, len(local))
	for _, e := range local {
		if !e.leaving.Load() {
			members = append(members, e)
		}
	}
	return members
}

// distantRows returns the rows in data centres from which an entry was heard lately, for pools without own endpoints.
func (r *Router) distantRows(changed map[string]bool, inventory *instance.Inventory) map[string][]instance.Versioned {
	rows := make(map[string][]instance.Versioned)
	for path := range changed {
		pool := r.pool(path)
		if len(pool.lanes) > 0 && len(serving(pool.local)) == 0 {
			rows[path] = nil
		}
	}
	if len(rows) == 0 || len(r.word.Entries) < 2 {
		return nil
	}
	for found := range inventory.All {
		record := found.Value
		_, wanted := rows[record.Pool]
		near := record.DataCentre == r.DataCentre
		if wanted && !near && record.Serving() && r.word.Entries[record.DataCentre] > 0 {
			rows[record.Pool] = append(rows[record.Pool], found)
		}
	}
	return rows
}

// relistDistant takes in the distant rows of a pool, drops its other distant endpoints, and returns those to use.
func (r *Router) relistDistant(path string, rows []instance.Versioned) []*Endpoint {
	for _, e := range r.endpoints {
		if e.row.record.Pool == path && e.row.record.DataCentre != r.DataCentre {
			e.row.listed = false
		}
	}
	var members []*Endpoint
	for _, found := range rows {
		e := r.endpoint(found)
		if !e.leaving.Load() {
			members = append(members, e)
		}
	}
	for _, e := range r.endpoints {
		r.mark(e)
	}
	slices.SortFunc(members, func(a, b *Endpoint) int { return strings.Compare(a.key, b.key) })
	return members
}

// count sums up the limits of the endpoints.
func (p *Pool) count() {
	var slots int64
	for _, e := range p.endpoints() {
		slots += e.limit.Load()
	}
	p.slots.Store(slots)
}
