package fleet

import (
	"time"

	"samphirekeel.example/keel/peer"
)

// Heartbeats holds the newest heartbeat of each entry; it belongs to the control loop.
type Heartbeats struct {
	byIncarnation map[string]receivedHeartbeat
}

type receivedHeartbeat struct {
	heartbeat  peer.Heartbeat
	receivedAt time.Time
}

// NewHeartbeats returns an empty set of heartbeats.
func NewHeartbeats() *Heartbeats {
	return &Heartbeats{byIncarnation: make(map[string]receivedHeartbeat)}
}

// Store stores a heartbeat as the newest of its entry.
func (h *Heartbeats) Store(heartbeat peer.Heartbeat) {
	h.byIncarnation[heartbeat.Incarnation] = receivedHeartbeat{heartbeat: heartbeat, receivedAt: time.Now()}
}

// Last returns the entry's newest heartbeat and its age, and false if there was none.
func (h *Heartbeats) Last(incarnation string) (peer.Heartbeat, time.Duration, bool) {
	found, ok := h.byIncarnation[incarnation]
	return found.heartbeat, time.Since(found.receivedAt), ok
}

// HasDrained reports whether the entry's newest heartbeat reports that it has applied the control rows up to the
// version and has no request in flight to the instance with the key.
func (h *Heartbeats) HasDrained(incarnation, key string, version uint64) bool {
	found, ok := h.byIncarnation[incarnation]
	return ok && found.heartbeat.AppliedVersion >= version && found.heartbeat.InFlight[key] == 0
}

// All yields the newest heartbeat of each entry and its age, in no order.
func (h *Heartbeats) All(yield func(heartbeat peer.Heartbeat, age time.Duration) bool) {
	for _, found := range h.byIncarnation {
		if !yield(found.heartbeat, time.Since(found.receivedAt)) {
			return
		}
	}
}
