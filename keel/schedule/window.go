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
	// maxFailedShare is the share of orders without a reply from which on the limit is lowered without a comparison of latencies:
	// those that time out hide how long a reply would take.
	maxFailedShare = 0.125
	// minPromptShare is the share of orders with a reply that isn't late from which on those without one are taken to be lost:
	// others would get theirs as soon.
	minPromptShare = 0.125
	// raiseFactor is the factor by which the limit is raised to compare the latencies.
	raiseFactor = 1.5
	// comparisonPause is the number of adjustments after a comparison that has shown the limit to make replies late until the
	// next one.
	comparisonPause = 20
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
	// mostlyFailed is set while most orders get no reply and hardly any gets one that isn't late: only then the time until they are
	// given up tells how long replies take.
	mostlyFailed bool
	// failed counts the orders without a reply since the last adjustment, prompt those with one that wasn't late.
	failed, prompt int
	// answered counts the replies since the last adjustment to orders that were sent under the present limit, and took is the
	// time that they took together. unsettled is the number of orders in flight that were sent under the limit before.
	answered, unsettled int
	took                time.Duration
	// reference is the limit and the mean latency with which later ones are compared while most replies are late, without a
	// limit if there is none; pause is the number of adjustments without a comparison.
	reference latencySample
	pause     int
	// latency is the moving average of the time until a reply, or until an order is given up while mostlyFailed is set.
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
	if err == nil || w.mostlyFailed {
		w.latency += time.Duration(latencyWeight * float64(took-w.latency))
	}
	if took > lateOrder || fault.IsKind(err, fault.Overloaded) {
		w.late++
	}
	if err == nil && took <= lateOrder {
		w.prompt++
	}
	switch {
	case err != nil:
		w.failed++
	case w.unsettled == 0:
		w.answered++
		w.took += took
	}
	w.unsettled = max(0, w.unsettled-1)
}

// timeout returns the timeout of an order, which grows while replies take long.
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
		w.adjustLate()
	case w.limited && 8*w.late <= w.ended:
		w.limit = min(maxOrderLimit, w.limit+w.limit/8)
		w.reference = latencySample{}
	}
	if w.ended > 0 && 2*w.late <= w.ended {
		// Only replies while most are late show whether the limit makes them late.
		w.answered, w.took = 0, 0
	}
	w.limit = max(w.limit, w.minimum)
	if w.ended > 0 {
		w.mostlyFailed = 2*w.failed > w.ended && float64(w.prompt) < minPromptShare*float64(w.ended)
	}
	w.pause = max(0, w.pause-1)
	w.ended, w.late, w.failed, w.prompt, w.limited = 0, 0, 0, 0, false
	w.sendWaiting()
}

// latencySample is the mean latency of the replies under a limit.
type latencySample struct {
	limit   int
	latency time.Duration
}

// atLimit returns the latency under another limit at and below which the latency doesn't depend on the limit: half way between
// an equal one and one in proportion.
func (r latencySample) atLimit(limit int) time.Duration {
	return r.latency * time.Duration(r.limit+limit) / time.Duration(2*r.limit)
}

// adjustLate adapts the limit while most replies are late. It is lowered if orders time out or come close to that; otherwise it
// is lowered as long as this makes the replies faster, and raised as long as this doesn't make them slower.
func (w *orderWindow) adjustLate() {
	switch {
	case float64(w.failed) > maxFailedShare*float64(w.ended) || w.pause > 0:
		w.lowerLate()
	case w.answered > 0:
		w.compare(latencySample{limit: w.limit, latency: w.took / time.Duration(w.answered)})
	}
}

// compare adapts the limit after a comparison of the replies under it with the reference.
func (w *orderWindow) compare(sample latencySample) {
	r := w.reference
	slower := r.limit > 0 && w.limit > r.limit && sample.latency > r.atLimit(w.limit)
	switch {
	case raiseFactor*float64(sample.latency) > float64(maxOrderTimeout/latencyFactor):
		// Under a raised limit orders could time out, if the latency grows with it.
		w.lowerLate()
	case slower:
		w.pause = comparisonPause
		w.setLimit(r.limit)
	case w.answered < w.limit:
		// Placement passes send orders in bursts, so that the replies to a part of them show little.
	case w.limit < r.limit && sample.latency <= r.atLimit(w.limit):
		w.pause = comparisonPause
		w.setLimit(w.limit * 3 / 4)
	case w.limit < r.limit:
		w.setLimit(r.limit)
	case r.limit == 0 && w.limit*3/4 > w.minimum:
		w.reference = sample
		w.setLimit(w.limit * 3 / 4)
	default:
		// A limit close to the minimum is compared with a higher one only.
		if r.limit == 0 {
			r = sample
		}
		w.reference = latencySample{limit: r.limit, latency: min(r.latency, sample.latency)}
		w.raiseLate()
	}
}

// lowerLate lowers the limit without a comparison.
func (w *orderWindow) lowerLate() {
	w.reference = latencySample{}
	w.setLimit(w.limit * 3 / 4)
}

// raiseLate raises the limit if it has held back orders, and otherwise begins to measure the latency anew.
func (w *orderWindow) raiseLate() {
	limit := w.limit
	if w.limited {
		limit = int(raiseFactor * float64(limit))
	}
	w.setLimit(limit)
}

// setLimit sets the limit and begins to measure the latency anew once the orders in flight have ended.
func (w *orderWindow) setLimit(limit int) {
	w.limit = min(maxOrderLimit, max(w.minimum, limit))
	w.unsettled, w.answered, w.took = w.inFlight, 0, 0
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
