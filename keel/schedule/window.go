package schedule

import (
	"time"

	"samphirekeel.example/keel/fault"
)

const (
	// initialOrderLimit, minOrderLimit and maxOrderLimit are the first, the lowest and the highest limit of a window.
	initialOrderLimit = 128
	minOrderLimit     = 32
	maxOrderLimit     = 2048
	// lateOrder is the time after which the reply to an order counts as late.
	lateOrder = orderTimeout / 2
)

// orderWindow limits the orders of one kind in flight to what the leader, its relays and the workers handle in time. An
// order that times out may have been carried out: a start is then followed by a stop, and a stop is repeated, so that
// without a limit a backlog of orders keeps itself from being handled.
type orderWindow struct {
	limit, inFlight int
	// replies counts the orders that ended since the last adjustment, late those of them that took longer than lateOrder
	// or found no goroutine to send them.
	replies, late int
	// limited is set once the limit has held back an order since the last adjustment, held once it has done so in the
	// last placement pass.
	limited, held bool
	// waiting holds the functions that send the orders held back, in their order.
	waiting []func()
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
	w.replies++
	if took > lateOrder || fault.IsKind(err, fault.Overloaded) {
		w.late++
	}
}

// passDue reports whether another placement pass is due, because the limit held back starts and enough orders have
// ended since.
func (w *orderWindow) passDue() bool { return w.held && 4*w.inFlight <= 3*w.limit }

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

// adjust adapts the limit to the replies since the last adjustment.
func (w *orderWindow) adjust() {
	switch {
	case 2*w.late > w.replies:
		w.limit = max(minOrderLimit, w.limit*3/4)
	case w.limited && 8*w.late <= w.replies:
		w.limit = min(maxOrderLimit, w.limit+w.limit/8)
	}
	w.replies, w.late, w.limited = 0, 0, false
	w.sendWaiting()
}
