package fleet

import (
	"time"

	"samphirekeel.example/keel/peer"
)

// Heartbeats holds the newest heartbeat of each entry; it belongs to the control loop.
type Heartbeats struct {
	byIncarnation map[string]heartbeat
}

type heartbeat struct {
	beat       peer.Heartbeat
	receivedAt time.Time
}

// NewHeartbeats returns an empty set of heartbeats.
func NewHeartbeats() *Heartbeats {
	return &Heartbeats{byIncarnation: make(map[string]heartbeat)}
}

// Store stores a heartbeat as the newest of its entry.
func (h *Heartbeats) Store(beat peer.Heartbeat) {
	h.byIncarnation[beat.Incarnation] = heartbeat{beat: beat, receivedAt: time.Now()}
}

// Last returns the entry's newest heartbeat and its age, and false if there was none.
func (h *Heartbeats) Last(incarnation string) (peer.Heartbeat, time.Duration, bool) {
	found, ok := h.byIncarnation[incarnation]
	return found.beat, time.Since(found.receivedAt), ok
}

// HasDrained reports whether the entry's newest heartbeat says that it has applied the control rows up to the version
// and has no request in flight to the instance with the key.
func (h *Heartbeats) HasDrained(incarnation, key string, version uint64) bool {
	found, ok := h.byIncarnation[incarnation]
	return ok && found.beat.AppliedVersion >= version && found.beat.InFlight[key] == 0
}

// All yields the newest heartbeat of each entry and its age, in no order.
func (h *Heartbeats) All(yield func(beat peer.Heartbeat, age time.Duration) bool) {
	for _, found := range h.byIncarnation {
		if !yield(found.beat, time.Since(found.receivedAt)) {
			return
		}
	}
}
