package site

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/platform"
)

const (
	// maxStoreResponseAge is the maximum age of the store's last response for the entry to be ready. The entry queries
	// the store at least every 1.5 s.
	maxStoreResponseAge = 2500 * time.Millisecond
	// maxLeaderResponseAge is the maximum age of the leader's last response for the entry to be ready while the store
	// is unavailable.
	maxLeaderResponseAge = 1200 * time.Millisecond
	// stopMargin is the part of the grace period that is left for the process to exit.
	stopMargin = 700 * time.Millisecond
	// balancerDrainTime is how long the load balancer may take to stop sending new callers: two checks, a second apart.
	balancerDrainTime = 2200 * time.Millisecond
)

// ready reports whether the entry accepts callers.
func (s *Entry) ready() bool {
	lastResponse, maxAge := s.lastStoreResponse.Load(), maxStoreResponseAge
	if s.storeUnavailable.Load() {
		lastResponse, maxAge = s.lastLeaderResponse.Load(), maxLeaderResponseAge
	}
	return !s.stopping.Load() && s.config.Load() != nil && s.Now()-time.Duration(lastResponse) < maxAge
}

func (s *Entry) readinessServer() *connection.Server {
	return s.probeServer(s.accounts.readiness, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != platform.ReadyPath {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ready := s.ready()
		s.logReadinessChange(ready)
		if !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// logReadinessChange logs when the entry becomes ready or stops being ready.
func (s *Entry) logReadinessChange(ready bool) {
	if s.lastReady.Swap(ready) == ready {
		return
	}
	s.Log.Write(event.ReadinessChanged, event.Fields{
		"ready": ready, "store_age_ms": (s.Now() - time.Duration(s.lastStoreResponse.Load())).Milliseconds(), "config": s.configVersion(),
	})
}

// drain releases the lease, waits until the load balancer sends no new callers, and finishes the requests in flight,
// all within the grace period.
func (s *Entry) drain(callers net.Listener) {
	began := time.Now()
	s.stopping.Store(true)
	s.Log.Write(event.EntryStopping, event.Fields{"in_flight": s.conns.Active()})
	drainCtx, cancel := context.WithTimeout(context.Background(), max(time.Second, s.Settings.Bounds.StopGrace-stopMargin))
	defer cancel()
	released := make(chan struct{})
	s.loop.Post(drainCtx, func() { s.lease.Release(func() { close(released) }) })
	select {
	case <-released:
	case <-drainCtx.Done():
	}
	sleep(drainCtx, balancerDrainTime-time.Since(began))
	_ = callers.Close()
	s.conns.Finish(drainCtx)
}
