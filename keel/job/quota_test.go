package job

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// TestFairQueueServesTheLeastShareFirst places equal jobs of teams with different quotas one after another.
func TestFairQueueServesTheLeastShareFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := platform.Size{MilliCores: 100, MemoryMB: 100}
		teams := make(map[string]*ServiceUsage)
		var queued []rowset.Versioned[Record]
		const jobs = 40
		for i := range rapid.IntRange(1, 5).Draw(t, "teams") {
			name := fmt.Sprint("team", i)
			quota := rapid.Int64Range(1, 40).Draw(t, "quota") * 100
			teams[name] = &ServiceUsage{Quota: platform.Size{MilliCores: quota, MemoryMB: quota}}
			for range jobs {
				queued = append(queued, rowset.Versioned[Record]{Value: Record{Service: name}})
			}
		}
		queue := newFairQueue(teams, queued)
		for range jobs {
			found, ok := queue.next()
			assert.Assert(t, ok)
			team := teams[found.Value.Service]
			for name, other := range teams {
				assert.Assert(t, team.DominantShare() <= other.DominantShare(), "%s has less", name)
			}
			team.Used = team.Used.Plus(size)
		}
	})
}
