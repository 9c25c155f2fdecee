package site

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// drawnDays describes days whose faults are drawn at random: how many, and from which templates.
type drawnDays struct {
	day
	// MinFaults and MaxFaults bound the number of draws; a day has fewer faults if it draws one that may come only once.
	MinFaults int             `json:"least"`
	MaxFaults int             `json:"most"`
	Templates []faultTemplate `json:"templates"`
	// FaultsUntil is the latest time at which a fault begins.
	FaultsUntil duration `json:"until"`
}

// faultTemplate is a kind of fault with the values from which its fields are drawn.
type faultTemplate struct {
	Kind string `json:"kind"`
	// Targets lists the targets; a target that a template with Once set has used isn't used by it again.
	Targets []string   `json:"who"`
	Lengths []duration `json:"for"`
	Listed  []duration `json:"listed"`
	Share   float64    `json:"share"`
	// Capacity is the share of the capacity that workers report.
	Capacity float64 `json:"capacity"`
	// Once allows one fault of the kind for each day.
	Once bool `json:"once"`
}

// draw returns the faults of the day with the seed.
func (d *drawnDays) draw(seed uint64) []dayFault {
	random := rand.New(rand.NewPCG(seed, 3))
	centre := random.Float64()
	drawn := make(map[string]bool)
	var faults []dayFault
	for range d.MinFaults + random.IntN(d.MaxFaults-d.MinFaults+1) {
		template := &d.Templates[random.IntN(len(d.Templates))]
		// Most faults of a day begin within a few seconds of each other.
		position := random.Float64()
		if random.Float64() < 0.6 {
			position = min(1, max(0, centre+0.2*random.NormFloat64()))
		}
		f := dayFault{
			At: duration(position * float64(d.FaultsUntil)), For: pick(random, template.Lengths), Kind: template.Kind,
			Target: pick(random, template.Targets), Listed: pick(random, template.Listed), Share: template.Share, Capacity: template.Capacity,
		}
		if template.Once && drawn[f.Kind] {
			continue
		}
		drawn[f.Kind] = true
		faults = append(faults, f)
	}
	return faults
}

// pick returns a random value, the zero value if there is none.
func pick[T any](random *rand.Rand, values []T) T {
	if len(values) == 0 {
		var none T
		return none
	}
	return values[random.IntN(len(values))]
}

// TestDrawnDays plays days with overlapping faults that are drawn from the seed. SAMPHIREKEEL_DRAWN is the number of
// further seeds.
func TestDrawnDays(t *testing.T) { playDrawn(t, "testdata/drawn.json") }

// TestDrawnOperatorDays plays days on which runs fail, leaders change, the operator's table can't be read and versions of the
// configuration lack a queue.
func TestDrawnOperatorDays(t *testing.T) { playDrawn(t, "testdata/drawn_operator.json") }

// TestDrawnCrashDays plays days on which tasks crash the workers that start them and workers report less capacity for a time,
// beside crashes of workers and racks, unreachable workers, changes of the leader and outages of the store and the instance list.
func TestDrawnCrashDays(t *testing.T) { playDrawn(t, "testdata/drawn_crashes.json") }

// TestDrawnRestartDays plays days on which workers start again under their ID, once or twice and in series, beside changes of the
// leader, lost responses of the store, late orders, late registrations, unreachable workers and moves.
func TestDrawnRestartDays(t *testing.T) { playDrawn(t, "testdata/drawn_restarts.json") }

func playDrawn(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var d drawnDays
	assert.NilError(t, json.Unmarshal(data, &d))
	more, _ := strconv.Atoi(os.Getenv("SAMPHIREKEEL_DRAWN"))
	for seed := range uint64(more) {
		d.Seeds = append(d.Seeds, 1000+seed)
	}
	for _, seed := range d.Seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			drawn := d.day
			drawn.Faults = d.draw(seed)
			for _, f := range drawn.Faults {
				t.Logf("%s %s %q for %s, listed for %s, share %.2f", time.Duration(f.At), f.Kind, f.Target, time.Duration(f.For), time.Duration(f.Listed), f.Share)
			}
			synctest.Test(t, func(t *testing.T) { runDay(t, &drawn, seed, false) })
		})
	}
}
