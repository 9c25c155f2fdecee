package daemon

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
)

// leaveTimeout is the longest time that a stopping entry takes to hand over its duties.
const leaveTimeout = 2 * time.Second

// serveCaller serves a caller's request; during a stop, the response asks the caller to close the connection.
func (d *Daemon) serveCaller(ctx *fasthttp.RequestCtx) {
	d.gateway.Handle(ctx)
	if d.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// drain finishes the requests in flight and hands over the duties.
//
// From the beginning of the drain the entry reports that it is not ready. It accepts connections for another
// stop_grace, so that the load balancer sees this first, and serves requests on keep-alive connections while others are
// in flight.
func (d *Daemon) drain(listeners *listeners) {
	d.stopping.Store(true)
	d.ready.Store(false)
	d.Log.Write(event.EntryStopping, event.Fields{"in_flight": d.gateway.InFlight()})
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.Config.Limits.DrainTimeout))
	defer cancel()
	sleep(ctx, time.Duration(d.Config.Limits.StopGrace))
	_ = listeners.callers.Close()
	d.callerConns.Finish(ctx)
	// The requests still in flight have reached the drain timeout: they are rejected because the entry is stopping, or
	// their connections close when the process ends.
	d.gateway.Stop()
	d.claims.Batcher.Flush(ctx)
	d.leave()
	_ = listeners.operators.Close()
	d.operatorConns.Finish(ctx)
}

// leave hands over the duties and ends the entry's membership.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	done := make(chan struct{})
	d.loop.Post(ctx, func() { d.session.Leave(func(error) { close(done) }) })
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
