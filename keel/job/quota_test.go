package job

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// TestFairQueueServesLowestDominantShareFirst dequeues jobs of equal size from services with different quotas and
// checks that each is of a service whose dominant share is the lowest.
func TestFairQueueServesLowestDominantShareFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := platform.Size{MilliCores: 100, MemoryMB: 100}
		usage := make(map[string]*ServiceUsage)
		var queued []rowset.Versioned[Record]
		const jobs = 40
		for i := range rapid.IntRange(1, 5).Draw(t, "services") {
			name := fmt.Sprint("service", i)
			quota := rapid.Int64Range(1, 40).Draw(t, "quota") * 100
			usage[name] = &ServiceUsage{Quota: platform.Size{MilliCores: quota, MemoryMB: quota}}
			for range jobs {
				queued = append(queued, rowset.Versioned[Record]{Value: Record{Service: name}})
			}
		}
		queue := newFairQueue(usage, queued)
		for range jobs {
			found, ok := queue.next()
			assert.Assert(t, ok)
			served := usage[found.Value.Service]
			for name, other := range usage {
				assert.Assert(t, served.DominantShare() <= other.DominantShare(), "%s has a lower share", name)
			}
			served.Used = served.Used.Plus(size)
		}
	})
}
