package wave_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/wave"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "3s")
	os.Exit(m.Run())
}

func drawScenario(t *rapid.T) scenario {
	var s scenario
	for p := range rapid.IntRange(1, 4).Draw(t, "pools") {
		s.pools = append(s.pools, wave.Pool{
			Name: fmt.Sprintf("p/%d", p), Allowed: rapid.IntRange(0, 6).Draw(t, "allowed"), StepTime: time.Minute,
			Weights: wave.Weights{
				Time:   rapid.Float64Range(0, 100).Draw(t, "time"),
				Move:   rapid.Float64Range(0, 10).Draw(t, "move"),
				Buffer: rapid.Float64Range(0, 10).Draw(t, "buffer"),
			},
		})
	}
	for i := range rapid.IntRange(0, 60).Draw(t, "instances") {
		pool := rapid.IntRange(0, len(s.pools)-1).Draw(t, "pool")
		s.members = append(s.members, instance.Record{
			ID: fmt.Sprintf("i%d", i), DataCentre: "dc", Rack: fmt.Sprintf("r%d", i/4), Pool: s.pools[pool].Name,
		})
	}
	s.spares = rapid.IntRange(0, 8).Draw(t, "spares")
	return s
}

// TestPlanKeepsBudgetsAndMeetsLowerBound checks every step of random plans against the budgets of all pools.
func TestPlanKeepsBudgetsAndMeetsLowerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		plan := wave.NewPlan(s.pools, s.members, s.spares)
		poolByKey := map[string]string{}
		for _, member := range s.members {
			poolByKey[member.Key()] = member.Pool
		}
		seen := map[string]bool{}
		for n, step := range plan.Steps {
			out := map[string]int{}
			for _, key := range step {
				assert.Assert(t, !seen[key], "%s is in two steps", key)
				seen[key] = true
				out[poolByKey[key]]++
			}
			for _, poolPlan := range plan.Pools {
				assert.Assert(t, out[poolPlan.Name] <= poolPlan.MaxConcurrent, "step %d has %d instances of %s", n, out[poolPlan.Name], poolPlan.Name)
			}
		}
		lentSpares := 0
		for i, poolPlan := range plan.Pools {
			lentSpares += poolPlan.Spares
			assert.Assert(t, poolPlan.MaxConcurrent <= s.pools[i].Allowed+poolPlan.Spares)
			assert.Assert(t, poolPlan.Blocked || poolPlan.RollOut <= poolPlan.LowerBound, "%+v", poolPlan)
			if poolPlan.Blocked {
				continue
			}
			for key, name := range poolByKey {
				assert.Assert(t, name != poolPlan.Name || seen[key], "%s is in no step", key)
			}
		}
		assert.Assert(t, lentSpares <= s.spares)
		assert.Assert(t, plan.RollOut <= plan.LowerBound)
	})
}

// TestWeightsChangeThePlan checks, on both users' fleets, that weights for time shorten the roll-out and that weights
// for buffer lend no spares.
func TestWeightsChangeThePlan(t *testing.T) {
	for _, fleet := range []string{"quabbin", "consortiul"} {
		s := userFleet(t, fleet)
		timeWeighted := s.withWeights(userWeights["quabbin"])
		bufferWeighted := s.withWeights(userWeights["consortiul"])
		timePlan := wave.NewPlan(timeWeighted.pools, timeWeighted.members, timeWeighted.spares)
		bufferPlan := wave.NewPlan(bufferWeighted.pools, bufferWeighted.members, bufferWeighted.spares)
		assert.Assert(t, timePlan.RollOut < bufferPlan.RollOut, "%s: %v, %v", fleet, timePlan.RollOut, bufferPlan.RollOut)
		assert.Equal(t, bufferPlan.BufferHours, 0.0)
		assert.Equal(t, bufferPlan.Moves, 0)
		assert.Equal(t, bufferPlan.RollOut, bufferPlan.LowerBound)
	}
}
