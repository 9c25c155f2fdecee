package emulator

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

// WorkerClient returns a client for calls from the named entry to workers.
func (f *Fleet) WorkerClient(caller string) *worker.Client {
	return &worker.Client{
		Start: func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			return sendOrder(ctx, f, caller, to, func(w *Worker) worker.Reply { return w.start(o) }, nil)
		},
		Stop: func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			return sendOrder(ctx, f, caller, to, func(w *Worker) worker.Reply { return w.stop(o) }, func(w *Worker) { w.noteLostStop(o) })
		},
		Throttle: func(ctx context.Context, to worker.Target, o worker.ThrottleOrder) (worker.Reply, error) {
			return sendOrder(ctx, f, caller, to, func(w *Worker) worker.Reply { return w.throttle(o) }, nil)
		},
		Renew: func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
			return f.renew(ctx, caller, to, o)
		},
		Healthy: func(ctx context.Context, to worker.Target, _ string) (bool, error) {
			w, err := f.reach(ctx, caller, to)
			return err == nil && w != nil, err
		},
		Forget: func(string) {},
	}
}

// reach returns the target worker after the latency of one direction, or nil if another worker serves at the address.
func (f *Fleet) reach(ctx context.Context, caller string, to worker.Target) (*Worker, error) {
	f.mu.Lock()
	w := f.workers[to.Address]
	unreachable := w == nil || w.ended || w.unreachable || f.partitioned[caller][w.instance.dataCentre]
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, fault.New(fault.EndpointFailed, "emulated worker unresponsive").WithOutcome(fault.Unknown)
	}
	if !sleep(ctx, orderLatency) {
		return nil, fault.New(fault.EndpointFailed, "emulated response after the deadline").WithOutcome(fault.Unknown)
	}
	if w.id != to.ID {
		return nil, nil
	}
	return w, nil
}

// sendOrder sends an order to a worker; a share of the orders (Fleet.lateShare) is carried out late and gets no
// response, which lost, if it isn't nil, is told.
func sendOrder(
	ctx context.Context, f *Fleet, caller string, to worker.Target, handle func(*Worker) worker.Reply, lost func(*Worker),
) (worker.Reply, error) {
	w, err := f.reach(ctx, caller, to)
	if err != nil {
		return worker.Reply{}, err
	}
	if w == nil {
		return worker.Reply{Refusal: worker.OtherBoot}, nil
	}
	if f.drawLateOrder() {
		if lost != nil {
			lost(w)
		}
		delay := minLateOrderDelay + time.Duration(f.randomFloat()*float64(maxLateOrderDelay-minLateOrderDelay))
		time.AfterFunc(delay, func() {
			f.execute(w, func(w *Worker) worker.Reply {
				w.executesLate = true
				defer func() { w.executesLate = false }()
				return handle(w)
			})
		})
		<-ctx.Done()
		return worker.Reply{}, fault.New(fault.EndpointFailed, "emulated response lost").WithOutcome(fault.Unknown)
	}
	reply, ok := f.execute(w, handle)
	if !ok {
		<-ctx.Done()
		return worker.Reply{}, errNoResponse
	}
	if !sleep(ctx, orderLatency) {
		return worker.Reply{}, fault.New(fault.EndpointFailed, "emulated response after the deadline").WithOutcome(fault.Unknown)
	}
	return reply, nil
}

func (f *Fleet) drawLateOrder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateShare > 0 && f.random.Float64() < f.lateShare
}

func (f *Fleet) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// errNoResponse is the error of a call whose worker ends, or can't be reached any more, before it responds.
var errNoResponse = fault.New(fault.EndpointFailed, "emulated worker gone before its response").WithOutcome(fault.Unknown)

// execute carries out an order at a worker; it returns false if the worker has ended.
func (f *Fleet) execute(w *Worker, handle func(*Worker) worker.Reply) (worker.Reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.ended {
		// A later boot under the ID carries it out.
		w = w.successorLocked()
		if w == nil {
			return worker.Reply{}, false
		}
	}
	w.updateLocked()
	reply := handle(w)
	w.scheduleLocked()
	reply.Clock = w.clock()
	return reply, true
}

func (f *Fleet) renew(ctx context.Context, caller string, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
	w, err := f.reach(ctx, caller, to)
	if err != nil || w == nil {
		return worker.Status{Reply: worker.Reply{Refusal: worker.OtherBoot}}, err
	}
	deadline := time.Now().Add(o.Wait)
	for {
		status, changed, ok := w.renew(o)
		if !ok {
			<-ctx.Done()
			return worker.Status{}, errNoResponse
		}
		if status.Refusal != worker.Accepted || len(status.Ended) > 0 || !time.Now().Before(deadline) {
			if !sleep(ctx, orderLatency) {
				return worker.Status{}, fault.New(fault.EndpointFailed, "emulated response after the deadline").WithOutcome(fault.Unknown)
			}
			f.recordHeard(w)
			if o.EndsSuffice && len(status.Ended) > 0 {
				status.Running, status.Partial = nil, true
			}
			return status, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return worker.Status{}, fault.New(fault.EndpointFailed, "emulated response after the deadline").WithOutcome(fault.Unknown)
		}
		timer.Stop()
	}
}
