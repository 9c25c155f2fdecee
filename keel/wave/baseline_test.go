package wave_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

// scenario is a fleet with the pools of a wave.
type scenario struct {
	name    string
	pools   []wave.Pool
	members []instance.Record
	spares  int
}

// userWeights holds the planning weights of the two users, by name.
var userWeights = map[string]wave.Weights{
	"quabbin":    {Time: 30, Move: 2, Buffer: 1},
	"consortiul": {Time: 1, Move: 1, Buffer: 12},
}

func readJSON(t testing.TB, name string, out any) {
	data, err := os.ReadFile("testdata/" + name)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, out))
}

// userFleet returns a user's present fleet, read from testdata.
func userFleet(t testing.TB, user string) scenario {
	var members []instance.Record
	var change settings.Change
	readJSON(t, user+".inventory.json", &members)
	readJSON(t, user+".settings.json", &change)
	tree, err := settings.NewTree(0, nil).Apply(change)
	assert.NilError(t, err)
	input := wave.Input{Tree: tree, Members: members}
	return scenario{name: user + "-50", pools: input.PlanPools(), members: members, spares: input.Spares()}
}

// syntheticFleet returns a fleet of n instances in 37 pools and 23 data centres, in racks of four, with one spare in
// fifty.
func syntheticFleet(n int, weights wave.Weights) scenario {
	const pools, dataCentres, perRack, spareEvery = 37, 23, 4, 50
	s := scenario{name: fmt.Sprintf("grown-%d", n)}
	for p := range pools {
		s.pools = append(s.pools, wave.Pool{Name: fmt.Sprintf("partner/pool-%02d", p), StepTime: 10 * time.Minute, Weights: weights})
	}
	count := make([]int, pools)
	for i := range n {
		r := i / perRack
		pool := r * 7 % pools
		if i%11 == 0 { // some racks are shared by two pools
			pool = (pool + 1) % pools
		}
		record := instance.Record{
			ID: fmt.Sprintf("i-%05d", i), DataCentre: fmt.Sprintf("dc-%02d", r%dataCentres), Rack: fmt.Sprintf("r-%05d", r),
			Pool: s.pools[pool].Name, State: instance.InService, Boot: 1,
		}
		if i%spareEvery == spareEvery-1 {
			record.Pool = instance.SparePool
			s.spares++
		} else {
			count[pool]++
		}
		s.members = append(s.members, record)
	}
	for p := range s.pools {
		s.pools[p].Allowed = max(1, count[p]/10)
	}
	return s
}

func (s scenario) withWeights(weights wave.Weights) scenario {
	pools := append([]wave.Pool(nil), s.pools...)
	for i := range pools {
		pools[i].Weights = weights
	}
	s.pools = pools
	return s
}

// rollOutOneAtATime returns the roll-out time of the baseline in which each pool has one instance out at a time.
func (s scenario) rollOutOneAtATime() time.Duration {
	pools := append([]wave.Pool(nil), s.pools...)
	for i := range pools {
		pools[i].Allowed = 1
	}
	return wave.NewPlan(pools, s.members, 0).RollOut
}

// rollOutByRack returns the roll-out time of the baseline that maintains one rack after the other, each in as many
// steps as the budgets require.
func (s scenario) rollOutByRack() time.Duration {
	allowed := map[string]int{}
	for _, p := range s.pools {
		allowed[p.Name] = p.Allowed
	}
	counts := map[string]map[string]int{}
	for _, m := range s.members {
		if allowed[m.Pool] == 0 {
			continue
		}
		rack := m.DataCentre + "/" + m.Rack
		if counts[rack] == nil {
			counts[rack] = map[string]int{}
		}
		counts[rack][m.Pool]++
	}
	var total time.Duration
	for _, pools := range counts {
		steps := 0
		for name, n := range pools {
			steps = max(steps, (n+allowed[name]-1)/allowed[name])
		}
		total += time.Duration(steps) * s.pools[0].StepTime
	}
	return total
}

func BenchmarkPlan(b *testing.B) {
	scenarios := []scenario{userFleet(b, "quabbin"), userFleet(b, "consortiul"),
		syntheticFleet(700, wave.Weights{}), syntheticFleet(16000, wave.Weights{})}
	for _, user := range []string{"quabbin", "consortiul"} {
		for _, s := range scenarios {
			s = s.withWeights(userWeights[user])
			b.Run(s.name+"/weights="+user, func(b *testing.B) {
				var plan wave.Plan
				for b.Loop() {
					plan = wave.NewPlan(s.pools, s.members, s.spares)
				}
				b.ReportMetric(plan.RollOut.Minutes(), "rollout-min")
				b.ReportMetric(plan.LowerBound.Minutes(), "bound-min")
				b.ReportMetric(s.rollOutOneAtATime().Minutes(), "one-at-a-time-min")
				b.ReportMetric(s.rollOutByRack().Minutes(), "rack-at-a-time-min")
				b.ReportMetric(float64(plan.Moves), "moves")
				b.ReportMetric(plan.BufferHours, "buffer-inst-h")
				b.ReportMetric(float64(plan.WholeRacks)/float64(plan.Racks), "whole-racks")
			})
		}
	}
}
