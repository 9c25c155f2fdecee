package event_test

import (
	"io"
	"testing"

	"samphirekeel.example/keel/event"
)

// BenchmarkWrite writes an event as the scheduler does for each run, within the rate limit and beyond it.
func BenchmarkWrite(b *testing.B) {
	for name, perSecond := range map[string]int{"written": 1 << 40, "dropped": 1} {
		b.Run(name, func(b *testing.B) {
			log := event.NewBounded(io.Discard, perSecond)
			defer log.Close()
			log.Base = event.Fields{"entry": "edge-worcester-1"}
			b.ReportAllocs()
			for range b.N {
				log.Write(event.TaskStarted, event.Fields{
					"task": "5f3a9c0172e4b800.0.1.2", "run": int64(3001), "worker": "worcester-0004/1764795600000", "free": 12000,
					"waited_ms": int64(12), "took_ms": int64(7),
				})
			}
		})
	}
}
