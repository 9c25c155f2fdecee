package route

import (
	"sync/atomic"
	"time"
)

const (
	// maxConsecutiveFailures is the number of consecutive failures from which an endpoint's failure rate counts as 1.
	maxConsecutiveFailures = 5
	// minFailures is the number of recent failures below which the failure rate is ignored.
	minFailures = 10
	// maxEjectedDivisor limits the ejected endpoints to 1/3 of a pool.
	maxEjectedDivisor = 3
	minQuarantine     = 5 * time.Second
	maxQuarantine     = 2 * time.Minute
	// quarantineResetTime is the time since the last ejection after which the next quarantine is minQuarantine again.
	quarantineResetTime = 5 * time.Minute
	// minStallTime is the minimum time without a response after which an endpoint counts as stalled.
	minStallTime = time.Second
	// stallFactor is the number of average service times without a response after which an endpoint counts as stalled.
	stallFactor = 10
)

// health holds the results of this entry's requests to an endpoint, and its quarantine.
type health struct {
	consecutiveFailures atomic.Int64
	ok, failed          atomic.Int64
	ejected             atomic.Bool
	stalled             atomic.Bool
	// lastResponse is the time of the last response, or of the first request in flight after an idle time, in
	// nanoseconds since 1970.
	lastResponse atomic.Int64

	// The fields below are guarded by Pool.mu.
	quarantineUntil, lastEjection time.Time
	ejections                     int
}

// touch restarts the time without a response.
func (h *health) touch() { h.lastResponse.Store(time.Now().UnixNano()) }

// penalty returns the load, in requests, that is added for consecutive failures.
func (h *health) penalty() int64 { return h.consecutiveFailures.Load() }

// recordSuccess counts a success; it ends the quarantine of an endpoint that was ejected because it stalled.
func (h *health) recordSuccess() {
	h.ok.Add(1)
	if h.consecutiveFailures.Load() != 0 {
		h.consecutiveFailures.Store(0)
	}
	if h.stalled.Load() && h.stalled.CompareAndSwap(true, false) {
		h.ejected.Store(false)
	}
}

// recordFailure counts a failure and reports whether ejectOutlier should be called.
func (h *health) recordFailure() bool {
	failed := h.failed.Add(1)
	return h.consecutiveFailures.Add(1) >= maxConsecutiveFailures || failed >= minFailures && failed > h.ok.Load()
}

// failureRate returns the share of recent requests that failed.
func failureRate(ok, failed int64) float64 {
	if failed <= 0 {
		return 0
	}
	return float64(failed) / float64(ok+failed)
}

// ejectOutlier ejects the endpoint if its failure rate is at least twice that of the rest of the pool, so that requests
// that fail everywhere eject nothing; it reports whether it did.
func (p *Pool) ejectOutlier(e *Endpoint, now time.Time) bool {
	ok, failed := e.health.ok.Load(), e.health.failed.Load()
	ownRate := failureRate(ok, failed)
	if e.health.consecutiveFailures.Load() >= maxConsecutiveFailures {
		ownRate = 1
	}
	othersRate := failureRate(p.ok.Load()-ok, p.failed.Load()-failed)
	if othersRate > ownRate/2 {
		return false
	}
	return p.eject(e, now)
}

// eject puts the endpoint in quarantine unless too many endpoints of the pool are; the duration doubles with each
// ejection.
func (p *Pool) eject(e *Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.health.ejected.Load() || !canEject(p.endpoints()) {
		return false
	}
	h := &e.health
	if now.Sub(h.lastEjection) > quarantineResetTime {
		h.ejections = 0
	}
	quarantine := min(minQuarantine<<min(h.ejections, 10), maxQuarantine)
	h.ejections++
	h.lastEjection = now
	h.quarantineUntil = now.Add(quarantine)
	h.ejected.Store(true)
	return true
}

func canEject(members []*Endpoint) bool {
	if len(members) < 2 {
		return false
	}
	ejected := 0
	for _, member := range members {
		if member.health.ejected.Load() {
			ejected++
		}
	}
	return ejected < max(1, len(members)/maxEjectedDivisor)
}

// updateHealth ends quarantines and ejects stalled endpoints: those that have requests in flight and haven't responded
// for the stall time, while others of the pool have. With decay it halves the counts of earlier results.
func (p *Pool) updateHealth(now time.Time, decay bool) (ejected, restored []*Endpoint) {
	stall := max(minStallTime, stallFactor*time.Duration(p.avgServiceTime.Load()))
	for _, e := range p.endpoints() {
		h := &e.health
		if decay {
			h.ok.Store(h.ok.Load() / 2)
			h.failed.Store(h.failed.Load() / 2)
		}
		switch {
		case h.ejected.Load():
			if p.restore(e, now) {
				restored = append(restored, e)
			}
		case e.inFlight.Load() > 0 && p.lastResponse.Load()-h.lastResponse.Load() > int64(stall):
			h.stalled.Store(true)
			if p.eject(e, now) {
				ejected = append(ejected, e)
			} else {
				h.stalled.Store(false)
			}
		}
	}
	if decay {
		p.ok.Store(p.ok.Load() / 2)
		p.failed.Store(p.failed.Load() / 2)
	}
	return ejected, restored
}

// restore ends a quarantine whose time is over, with one slot; a single failure is then enough to eject again.
func (p *Pool) restore(e *Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &e.health
	if now.Before(h.quarantineUntil) {
		return false
	}
	h.ok.Store(0)
	h.failed.Store(0)
	h.consecutiveFailures.Store(maxConsecutiveFailures - 1)
	h.stalled.Store(false)
	h.touch()
	e.limit.Store(1)
	h.ejected.Store(false)
	return true
}
