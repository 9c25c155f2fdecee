package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limit that is raised while replies are late because of it: their latency was compared with the mean of all
// replies since the limit was last set, which may be of minutes without late replies.
func TestLimitIsComparedWithRecentReplies(t *testing.T) {
	for _, earlier := range []int{0, 10_000} {
		w := newOrderWindow(128, 8)
		send := func(orders int, took time.Duration) {
			for range orders {
				w.add()
			}
			for range orders {
				w.remove(took, nil)
			}
		}
		for range earlier / 100 {
			send(100, 5*time.Millisecond)
			w.adjust()
		}
		highest := 0
		var limits []int
		for range 20 {
			// The path takes 1.2 ms for each order, one after another.
			send(w.limit, time.Duration(w.limit)*1200*time.Microsecond)
			w.limited = true
			w.adjust()
			highest = max(highest, w.limit)
			limits = append(limits, w.limit)
		}
		t.Logf("%d earlier replies: %v", earlier, limits)
		assert.Check(t, highest <= 128, "%d earlier replies: the limit rose to %d", earlier, highest)
	}
}
