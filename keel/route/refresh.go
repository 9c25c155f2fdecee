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
	// LeavingRow: the instance is not held by the pool any more.
	LeavingRow = "row"
	// LeavingRemote: the instance is in a data centre that isn't used, or not heard of.
	LeavingRemote = "distant"
	// LeavingSignal: the endpoint said so itself.
	LeavingSignal = "signal"
	// LeavingList: the platform's instance list says so.
	LeavingList = "list"
	// LeavingSettings: an operator drains the instance.
	LeavingSettings = "settings"
	// LeavingPeer: another entry says so.
	LeavingPeer = "peer"
)

// trickle is the share of a retry that each service gets with every refresh.
const trickle = wholeRetry / 2

// Refresh takes in what the peers and the instance list say; it is called on the control loop at short intervals.
func (r *Router) Refresh(word ClusterState, inventory *instance.Inventory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepare()
	now := time.Now()
	reach := !slices.Equal(sortedKeys(r.word.Entries), sortedKeys(word.Entries))
	r.word = word
	changed := r.markAll(now)
	halve := now.Sub(r.halved) >= halveInterval
	if halve {
		r.halved = now
	}
	for path, pool := range r.pools {
		ejected, restored := pool.review(now, halve)
		for _, e := range ejected {
			r.ejected(e, "stalled")
		}
		for _, e := range restored {
			r.Log.Write(event.RouteEndpointRestored, event.Fields{"endpoint": e.key})
		}
		if reach && len(serving(pool.local)) == 0 {
			changed[path] = true
		}
		pool.count()
		pool.offerAll()
	}
	r.fillAll(changed, inventory)
	for _, s := range r.states {
		s.budget.give(trickle)
	}
	r.clean()
}

func sortedKeys(m map[string]int64) []string { return slices.Sorted(maps.Keys(m)) }

// markAll brings limits and marks of all endpoints up to date and returns the pools whose marks changed.
func (r *Router) markAll(now time.Time) map[string]bool {
	changed := make(map[string]bool)
	for _, e := range r.endpoints {
		if e.signalled.Load() {
			r.expireSignal(e, now)
		}
		entries := r.word.Entries[e.row.record.DataCentre]
		if e.row.record.DataCentre != r.DataCentre {
			entries++
		}
		e.share(entries, r.word.InFlight[e.key])
		if r.mark(e) {
			changed[e.row.record.Pool] = true
		}
	}
	return changed
}

func (r *Router) expireSignal(e *Endpoint, now time.Time) {
	if e.row.signalled.IsZero() {
		e.row.signalled = now
	}
	if now.Sub(e.row.signalled) > signalFor {
		e.signalled.Store(false)
		e.row.signalled = time.Time{}
	}
}

// mark sets whether the endpoint is leaving, and reports whether that changed.
func (r *Router) mark(e *Endpoint) bool {
	reason := r.reason(e)
	e.leaving.Store(reason != "")
	if reason == e.row.reason {
		return false
	}
	e.row.reason = reason
	if reason == "" {
		r.Log.Write(event.RouteEndpointReturned, event.Fields{"endpoint": e.key})
	} else {
		r.Log.Write(event.RouteEndpointLeaving, event.Fields{"endpoint": e.key, "reason": reason})
	}
	return true
}

func (r *Router) reason(e *Endpoint) string {
	switch {
	case !e.row.listed && e.row.record.DataCentre != r.DataCentre:
		return LeavingRemote
	case !e.row.listed:
		return LeavingRow
	case e.signalled.Load():
		return LeavingSignal
	case r.word.LeavingReason != nil:
		return r.word.LeavingReason(e.key)
	}
	return ""
}

// retire takes an endpoint out whose row now means another one.
func (r *Router) retire(e *Endpoint) {
	e.leaving.Store(true)
	e.upstream.Close()
	delete(r.endpoints, e.key)
	r.retired = append(r.retired, e)
}

// clean drops endpoints that are not listed any more once nothing is in flight, and old idle connections.
func (r *Router) clean() {
	for key, e := range r.endpoints {
		if !e.row.listed && e.inFlight.Load() == 0 {
			e.upstream.Close()
			delete(r.endpoints, key)
			continue
		}
		e.upstream.Trim()
	}
	r.retired = slices.DeleteFunc(r.retired, func(e *Endpoint) bool { return e.inFlight.Load() == 0 })
}

// InFlight returns the number of requests in flight for each endpoint that has any.
func (r *Router) InFlight() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := make(map[string]int64)
	for key, e := range r.endpoints {
		if n := e.inFlight.Load(); n > 0 {
			busy[key] += n
		}
	}
	for _, e := range r.retired {
		if n := e.inFlight.Load(); n > 0 {
			busy[e.key] += n
		}
	}
	return busy
}

// LeavingKeys returns the keys of the endpoints that this entry knows at first hand to be leaving, in order.
func (r *Router) LeavingKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, e := range r.endpoints {
		if e.signalled.Load() || e.row.reason == LeavingList {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
