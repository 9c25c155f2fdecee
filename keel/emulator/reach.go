package emulator

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

// Workers returns the client for orders to workers as the named entry calls them.
func (f *Fleet) Workers(caller string) *worker.Client {
	return &worker.Client{
		Start: func(ctx context.Context, to worker.Target, o worker.StartOrder) (worker.Reply, error) {
			return order(ctx, f, caller, to, func(b *Boot) worker.Reply { return b.start(o) })
		},
		Stop: func(ctx context.Context, to worker.Target, o worker.StopOrder) (worker.Reply, error) {
			return order(ctx, f, caller, to, func(b *Boot) worker.Reply { return b.stop(o) })
		},
		Throttle: func(ctx context.Context, to worker.Target, o worker.ThrottleOrder) (worker.Reply, error) {
			return order(ctx, f, caller, to, func(b *Boot) worker.Reply { return b.pace(o) })
		},
		Renew: func(ctx context.Context, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
			return f.renew(ctx, caller, to, o)
		},
		Healthy: func(ctx context.Context, to worker.Target, _ string) (bool, error) {
			b, err := f.reach(ctx, caller, to)
			return err == nil && b != nil, err
		},
		Forget: func(string) {},
	}
}

// reach returns the worker at the address, nil if another one answers there.
func (f *Fleet) reach(ctx context.Context, caller string, to worker.Target) (*Boot, error) {
	f.mu.Lock()
	b := f.boots[to.Address]
	dark := b == nil || b.ended || b.dark || f.cuts[caller][b.machine.dataCentre]
	f.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, fault.New(fault.EndpointFailed, "emulated worker does not answer").WithOutcome(fault.Unknown)
	}
	if !sleep(ctx, orderTime) {
		return nil, fault.New(fault.EndpointFailed, "emulated answer too late").WithOutcome(fault.Unknown)
	}
	if b.id != to.ID {
		return nil, nil
	}
	return b, nil
}

// order carries out an order, some of them late and without an answer.
func order(ctx context.Context, f *Fleet, caller string, to worker.Target, carryOut func(*Boot) worker.Reply) (worker.Reply, error) {
	b, err := f.reach(ctx, caller, to)
	if err != nil {
		return worker.Reply{}, err
	}
	if b == nil {
		return worker.Reply{Refusal: worker.OtherBoot}, nil
	}
	if f.drawLate() {
		delay := lateOrderLeast + time.Duration(f.draw()*float64(lateOrderMost-lateOrderLeast))
		time.AfterFunc(delay, func() { f.locked(b, carryOut) })
		<-ctx.Done()
		return worker.Reply{}, fault.New(fault.EndpointFailed, "emulated answer lost").WithOutcome(fault.Unknown)
	}
	reply := f.locked(b, carryOut)
	if !sleep(ctx, orderTime) {
		return worker.Reply{}, fault.New(fault.EndpointFailed, "emulated answer too late").WithOutcome(fault.Unknown)
	}
	return reply, nil
}

func (f *Fleet) drawLate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lateShare > 0 && f.random.Float64() < f.lateShare
}

func (f *Fleet) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *Fleet) locked(b *Boot, carryOut func(*Boot) worker.Reply) worker.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.ended {
		return worker.Reply{Refusal: worker.OtherBoot}
	}
	b.accountLocked()
	reply := carryOut(b)
	b.planLocked()
	reply.Clock = b.clock()
	return reply
}

func (f *Fleet) renew(ctx context.Context, caller string, to worker.Target, o worker.RenewOrder) (worker.Status, error) {
	b, err := f.reach(ctx, caller, to)
	if err != nil || b == nil {
		return worker.Status{Reply: worker.Reply{Refusal: worker.OtherBoot}}, err
	}
	deadline := time.Now().Add(o.Wait)
	for {
		status, changed := b.look(o)
		if status.Refusal != worker.Accepted || len(status.Ended) > 0 || !time.Now().Before(deadline) {
			if !sleep(ctx, orderTime) {
				return worker.Status{}, fault.New(fault.EndpointFailed, "emulated answer too late").WithOutcome(fault.Unknown)
			}
			return status, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return worker.Status{}, fault.New(fault.EndpointFailed, "emulated answer too late").WithOutcome(fault.Unknown)
		}
		timer.Stop()
	}
}
