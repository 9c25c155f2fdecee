package interference

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet is a scripted fleet whose runs a table observes, read from testdata/fleets.json.
type fleet struct {
	Name, Why             string
	Images, Workers, Runs int
	// Spread is the standard deviation of the logarithm of a duration, Long the share of runs that take seven times as long.
	Spread, Long float64
	SlowWorkers  int     `json:"slow_workers"`
	SlowFactor   float64 `json:"slow_factor"`
	// LoadFactor is the factor by which runs on a full worker take longer, 0 for none.
	LoadFactor float64 `json:"load_factor"`
	Pairs      []struct {
		Slowed, By  int
		Factor      float64
		From, Until int
	}
	// FoundWithin is the number of runs after which all pairs must have been found, GoneAfter the one after which none may
	// be left, 0 for none.
	FoundWithin int `json:"found_within"`
	GoneAfter   int `json:"gone_after"`
	// MaxFalse is the number of pairs that may be found though they don't exist, over all seeds.
	MaxFalse int `json:"max_false"`
}

const (
	seeds = 10
	// runsPerSecond is the rate at which the runs of a fleet end.
	runsPerSecond = 600
	// besides is the number of tasks beside each run.
	besides = 4
)

func image(n int) string { return fmt.Sprintf("image-%d", n) }

// play shows the table the runs of a fleet and calls check after each with their number.
func (f *fleet) play(table *Table, seed uint64, check func(run int)) {
	random := rand.New(rand.NewPCG(seed, 1))
	for n := range f.Runs {
		worker, slowed := random.IntN(f.Workers), random.IntN(f.Images)
		o := Observation{Image: image(slowed), Worker: fmt.Sprintf("worker-%d", worker), Weight: 1, Use: random.Float64()}
		log := f.Spread * random.NormFloat64()
		if random.Float64() < f.Long {
			log += math.Log(7)
		}
		if worker < f.SlowWorkers {
			log += math.Log(f.SlowFactor)
		}
		if f.LoadFactor > 0 {
			log += o.Use * math.Log(f.LoadFactor)
		}
		for range besides {
			by, share := random.IntN(f.Images), float64(1+random.IntN(2))/2
			o.Neighbours = append(o.Neighbours, Neighbour{Image: image(by), Share: share})
			for _, p := range f.Pairs {
				if p.Slowed == slowed && p.By == by && n >= p.From && (p.Until == 0 || n < p.Until) {
					log += share * math.Log(p.Factor)
				}
			}
		}
		o.Ratio = math.Exp(log)
		table.Add(o, time.Duration(n)*time.Second/runsPerSecond)
		check(n + 1)
	}
}

// TestFleets shows a table the runs of scripted fleets: planted pairs are found within a number of runs, and none that
// doesn't exist.
func TestFleets(t *testing.T) {
	data, err := os.ReadFile("testdata/fleets.json")
	assert.NilError(t, err)
	var fleets []fleet
	assert.NilError(t, json.Unmarshal(data, &fleets))
	for _, f := range fleets {
		t.Run(f.Name, func(t *testing.T) {
			wrong, last := 0, 0
			for seed := range uint64(seeds) {
				planted := make(map[[2]string]bool)
				for _, p := range f.Pairs {
					planted[[2]string{image(p.Slowed), image(p.By)}] = true
				}
				table, found, foundAt := New(), make(map[[2]string]bool), 0
				run := 0
				table.OnChange = func(p Pair, isFound bool) {
					key := [2]string{p.Slowed, p.By}
					switch {
					case !isFound:
					case !planted[key]:
						wrong++
						t.Logf("seed %d: false pair after %d runs: %+v", seed, run, p)
					case !found[key]:
						found[key] = true
						foundAt = run
					}
				}
				f.play(table, seed, func(n int) { run = n })
				assert.Check(t, len(found) == len(planted) && foundAt <= f.FoundWithin, "seed %d: %d of %d pairs found after %d runs", seed, len(found), len(planted), foundAt)
				last = max(last, foundAt)
				if f.GoneAfter > 0 {
					assert.Check(t, table.Empty(), "seed %d: pairs left: %+v", seed, table.Pairs())
				}
			}
			t.Logf("%d false pairs in %d seeds of %d runs; planted pairs found after at most %d runs", wrong, seeds, f.Runs, last)
			assert.Check(t, wrong <= f.MaxFalse, "%d false pairs", wrong)
		})
	}
}

// TestAbsurdObservations guards against figures of other writers: they change nothing and break nothing.
func TestAbsurdObservations(t *testing.T) {
	table := New()
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		table.Add(Observation{Image: "a", Worker: "w", Ratio: ratio, Weight: 1}, time.Second)
	}
	table.Add(Observation{Worker: "w", Ratio: 1, Weight: 1}, time.Second)
	assert.Equal(t, len(table.models), 0)
	for i := range 10_000 {
		o := Observation{Image: image(i), Worker: fmt.Sprint(i), Ratio: 1e300, Weight: math.Inf(1), Use: math.Inf(1)}
		for n := range 100 {
			o.Neighbours = append(o.Neighbours, Neighbour{Image: image(n), Share: math.Inf(1)})
		}
		table.Add(o, 2*time.Second)
	}
	assert.Assert(t, len(table.models) <= maxImages)
	assert.Assert(t, table.Empty())
}

// TestStuckFigure guards against a worker that shows the same figure for all its runs for ever.
func TestStuckFigure(t *testing.T) {
	table := New()
	for i := range 5000 {
		table.Add(Observation{
			Image: "a", Worker: "w", Ratio: 3, Weight: 1, Neighbours: []Neighbour{{Image: image(i % 5), Share: 1}},
		}, time.Duration(i)*10*time.Millisecond)
	}
	assert.Assert(t, table.Empty(), "%+v", table.Pairs())
}

// BenchmarkAdd measures an observation beside eight images.
func BenchmarkAdd(b *testing.B) {
	table := New()
	o := Observation{Worker: "w", Ratio: 1, Weight: 1, Use: 0.5}
	for n := range 8 {
		o.Neighbours = append(o.Neighbours, Neighbour{Image: image(n), Share: 1})
	}
	for i := range b.N {
		o.Image = image(i % 20)
		table.Add(o, time.Duration(i)*time.Second/runsPerSecond)
	}
}
