package route

import (
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
)

// The reasons for which an endpoint is leaving.
const (
	// LeavingRow means that the instance's row was deleted or that its state is no longer InService.
	LeavingRow = "row"
	// LeavingRemote means that the instance is in another data centre and isn't used now: the pool has local endpoints,
	// no recent heartbeat came from there, or the instance is no longer in service.
	LeavingRemote = "distant"
	// LeavingSignal means that a response of the endpoint had the header X-Leaving.
	LeavingSignal = "signal"
	// LeavingList means that the instance is in the platform's instance list, but not as live.
	LeavingList = "list"
	// LeavingSettings means that an operator drains the instance.
	LeavingSettings = "settings"
	// LeavingPeer means that another entry reported the instance as leaving.
	LeavingPeer = "peer"
)

// refillPerRefresh is the refill of each service's retry budget at each refresh, so that a service with few requests
// can retry too.
const refillPerRefresh = unitsPerRetry / 2

// Refresh applies what peers, instance list and settings report, and updates limits, quarantines and retry budgets; it
// is called on the control loop at short intervals.
func (r *Router) Refresh(observed ClusterState, inventory *instance.Inventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialise()
	now := time.Now()
	dataCentresChanged := !slices.Equal(sortedKeys(r.observed.Entries), sortedKeys(observed.Entries))
	r.observed = observed
	changed := r.updateEndpoints(now)
	decay := now.Sub(r.lastDecay) >= decayInterval
	if decay {
		r.lastDecay = now
	}
	for path, pool := range r.pools {
		ejected, restored := pool.updateHealth(now, decay)
		for _, e := range ejected {
			r.recordEjection(e, "stalled")
		}
		for _, e := range restored {
			r.Log.Write(event.RouteEndpointRestored, event.Fields{"endpoint": e.key})
		}
		if dataCentresChanged && len(notLeaving(pool.local)) == 0 {
			changed[path] = true
		}
		pool.updateSlots()
		pool.assignFreeSlots()
	}
	r.updatePools(changed, inventory)
	for _, s := range r.states {
		s.retryBudget.refill(refillPerRefresh)
	}
	r.removeUnused()
}

func sortedKeys(m map[string]int64) []string { return slices.Sorted(maps.Keys(m)) }

// updateEndpoints updates the limit and the leaving state of each endpoint; it returns the pools in which a leaving
// state changed.
func (r *Router) updateEndpoints(now time.Time) map[string]bool {
	changed := make(map[string]bool)
	for _, e := range r.endpoints {
		if e.signalled.Load() {
			r.expireSignal(e, now)
		}
		entries := r.observed.Entries[e.control.record.DataCentre]
		if e.control.record.DataCentre != r.DataCentre {
			entries++
		}
		e.updateLimit(entries, r.observed.InFlight[e.key])
		if r.updateLeaving(e) {
			changed[e.control.record.Pool] = true
		}
	}
	return changed
}

func (r *Router) expireSignal(e *Endpoint, now time.Time) {
	if e.control.signalSeen.IsZero() {
		e.control.signalSeen = now
	}
	if now.Sub(e.control.signalSeen) > signalTimeout {
		e.signalled.Store(false)
		e.control.signalSeen = time.Time{}
	}
}

// updateLeaving updates the endpoint's leaving state and reports whether its reason changed.
func (r *Router) updateLeaving(e *Endpoint) bool {
	reason := r.leavingReason(e)
	e.leaving.Store(reason != "")
	if reason == e.control.leavingReason {
		return false
	}
	e.control.leavingReason = reason
	if reason == "" {
		r.Log.Write(event.RouteEndpointReturned, event.Fields{"endpoint": e.key})
	} else {
		r.Log.Write(event.RouteEndpointLeaving, event.Fields{"endpoint": e.key, "reason": reason})
	}
	return true
}

func (r *Router) leavingReason(e *Endpoint) string {
	switch {
	case !e.control.listed && e.control.record.DataCentre != r.DataCentre:
		return LeavingRemote
	case !e.control.listed:
		return LeavingRow
	case e.signalled.Load():
		return LeavingSignal
	case r.observed.LeavingReason != nil:
		return r.observed.LeavingReason(e.key)
	}
	return ""
}

// retire removes an endpoint whose row now has another address, pool or number of slots.
func (r *Router) retire(e *Endpoint) {
	e.leaving.Store(true)
	e.upstream.Close()
	delete(r.endpoints, e.key)
	r.retired = append(r.retired, e)
}

// removeUnused removes unlisted endpoints once nothing is in flight to them, and closes old idle connections.
func (r *Router) removeUnused() {
	for key, e := range r.endpoints {
		if !e.control.listed && e.inFlight.Load() == 0 {
			e.upstream.Close()
			delete(r.endpoints, key)
			continue
		}
		e.upstream.Trim()
	}
	r.retired = slices.DeleteFunc(r.retired, func(e *Endpoint) bool { return e.inFlight.Load() == 0 })
}

// InFlight returns the number of requests in flight by the row key of the endpoint, for endpoints that have any.
func (r *Router) InFlight() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight := make(map[string]int64)
	for key, e := range r.endpoints {
		if n := e.inFlight.Load(); n > 0 {
			inFlight[key] += n
		}
	}
	for _, e := range r.retired {
		if n := e.inFlight.Load(); n > 0 {
			inFlight[e.key] += n
		}
	}
	return inFlight
}

// LeavingKeys returns, sorted, the row keys of the endpoints that are leaving by their own signal or by the instance
// list; reports of peers are left out, so that entries don't pass them on among themselves.
func (r *Router) LeavingKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, e := range r.endpoints {
		if e.signalled.Load() || e.control.leavingReason == LeavingList {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
