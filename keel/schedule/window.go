package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/worker"
)

const (
	// initialStartLimit and minStartLimit are the first and the lowest limit on the starts in flight. A leader that is
	// itself short of processor time needs many in flight, since its replies wait for the control loop.
	initialStartLimit = 384
	minStartLimit     = 384
	// initialStopLimit and minStopLimit are the same for stops, which are sent again when they fail.
	initialStopLimit = 128
	minStopLimit     = 32
	// minStopShare is the lowest limit on stops as a share of the starts in flight. Where starts keep a slow path full, all
	// replies are late, so that the limit on stops would stay at its minimum.
	minStopShare  = 0.5
	maxOrderLimit = 4096
	// lateOrder is the time after which the reply to an order counts as late. It is measured without the time that the
	// reply waits for the control loop.
	lateOrder = orderTimeout / 2
	// The timeout of an order is orderTimeout or latencyFactor times the average latency, up to maxOrderTimeout.
	latencyFactor   = 4
	maxOrderTimeout = time.Second
	// latencyWeight is the weight of an order in the moving average of the latency.
	latencyWeight = 1.0 / 64
)

// orderWindow limits the orders of one kind in flight to what the leader, its relays and the workers handle in time. An
// order that times out may have been carried out: a start is then followed by a stop, and a stop is repeated, so that
// without a limit a backlog of orders keeps itself from being handled.
type orderWindow struct {
	limit, minimum, inFlight int
	// ended counts the orders that ended since the last adjustment, late those of them that took longer than lateOrder
	// or found no goroutine to send them.
	ended, late int
	// latency is the moving average of the time that an order takes.
	latency time.Duration
	// limited is set once the limit has held back an order since the last adjustment, held once it has done so in the
	// last placement pass.
	limited, held bool
	// waiting holds the functions that send the orders held back, in their order.
	waiting []func()
}

func newOrderWindow(limit, minimum int) orderWindow {
	return orderWindow{limit: limit, minimum: minimum}
}

// open reports whether another order may be sent. The starts of a gang are sent together and may exceed the limit.
func (w *orderWindow) open() bool {
	if w.inFlight < w.limit {
		return true
	}
	w.limited, w.held = true, true
	return false
}

// add counts an order that is being sent.
func (w *orderWindow) add() { w.inFlight++ }

// remove counts the end of an order that took the given time.
func (w *orderWindow) remove(took time.Duration, err error) {
	w.inFlight--
	w.ended++
	w.latency += time.Duration(latencyWeight * float64(took-w.latency))
	if took > lateOrder || fault.IsKind(err, fault.Overloaded) {
		w.late++
	}
}

// timeout returns the timeout of an order, which grows while all orders take long.
func (w *orderWindow) timeout() time.Duration {
	return min(maxOrderTimeout, max(orderTimeout, latencyFactor*w.latency))
}

// mayPlan reports whether a placement pass can send enough starts to be worth its cost: a pass that the limit has ended
// is followed by the next one once half of the orders have ended.
func (w *orderWindow) mayPlan() bool { return !w.held || 2*w.inFlight <= w.limit }

// do calls send, which sends an order, once the limit permits that.
func (w *orderWindow) do(send func()) {
	w.waiting = append(w.waiting, send)
	w.sendWaiting()
}

// sendWaiting sends the orders held back, as far as the limit permits.
func (w *orderWindow) sendWaiting() {
	for len(w.waiting) > 0 && w.open() {
		send := w.waiting[0]
		w.waiting = w.waiting[1:]
		send()
	}
}

// adjust adapts the limit to the share of late orders since the last adjustment.
func (w *orderWindow) adjust() {
	switch {
	case 2*w.late > w.ended:
		w.limit = max(w.minimum, w.limit*3/4)
	case w.limited && 8*w.late <= w.ended:
		w.limit = min(maxOrderLimit, w.limit+w.limit/8)
	}
	w.limit = max(w.limit, w.minimum)
	w.ended, w.late, w.limited = 0, 0, false
	w.sendWaiting()
}

// timed is the result of an order with the time that it took.
type timed struct {
	worker.Reply
	took time.Duration
}

// sendOrder sends an order to a worker and calls done on the control loop when it has ended, which may be after the end of
// the epoch, with the time that it took. It prefers submit, which may be nil, to send, because that takes no goroutine.
func sendOrder[Order any](
	s *Scheduler,
	submit func(worker.Target, Order, time.Duration, func(worker.Reply, time.Duration, error)) bool,
	send func(context.Context, worker.Target, Order) (worker.Reply, error),
	target worker.Target, order Order, timeout time.Duration, done func(worker.Reply, time.Duration, error),
) {
	if submit != nil && s.LeaseValid() && submit(target, order, timeout, done) {
		return
	}
	call(s, timeout, func(ctx context.Context) (timed, error) {
		if !s.LeaseValid() {
			return timed{}, fault.New(fault.NotReady, "order not sent: the leader's lease is not valid").WithOutcome(fault.NotRun)
		}
		sent := s.Now()
		reply, err := send(ctx, target, order)
		return timed{reply, s.Now() - sent}, err
	}, func(reply timed, err error) { done(reply.Reply, reply.took, err) })
}
