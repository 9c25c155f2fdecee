package fleet

import (
	"time"

	"samphirekeel.example/keel/peer"
)

// Heartbeats holds the newest heartbeat of each entry; it belongs to the control loop.
type Heartbeats struct {
	byIncarnation map[string]word
}

type word struct {
	beat peer.Heartbeat
	at   time.Time
}

// NewHeartbeats returns no words.
func NewHeartbeats() *Heartbeats {
	return &Heartbeats{byIncarnation: make(map[string]word)}
}

// Store takes in a heartbeat.
func (w *Heartbeats) Store(beat peer.Heartbeat) {
	w.byIncarnation[beat.Incarnation] = word{beat: beat, at: time.Now()}
}

// Last returns the entry's newest heartbeat and its age, and false if there was none.
func (w *Heartbeats) Last(incarnation string) (peer.Heartbeat, time.Duration, bool) {
	found, ok := w.byIncarnation[incarnation]
	return found.beat, time.Since(found.at), ok
}

// HasDrained reports whether the entry has said that it applied the version and that nothing of its is in flight
// to the instance with the key.
func (w *Heartbeats) HasDrained(incarnation, key string, version uint64) bool {
	found, ok := w.byIncarnation[incarnation]
	return ok && found.beat.AppliedVersion >= version && found.beat.InFlight[key] == 0
}

// All yields the newest heartbeat of each entry and its age, in no order.
func (w *Heartbeats) All(yield func(beat peer.Heartbeat, age time.Duration) bool) {
	for _, found := range w.byIncarnation {
		if !yield(found.beat, time.Since(found.at)) {
			return
		}
	}
}
