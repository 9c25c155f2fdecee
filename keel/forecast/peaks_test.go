package forecast_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/forecast"
)

// pattern is a scripted load, read from testdata/peaks.json. Times are in seconds.
type pattern struct {
	Name  string   `json:"name"`
	Why   string   `json:"why"`
	Pools []string `json:"pools"`
	// Low and High are the jobs per second outside and in peaks.
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Seconds int     `json:"seconds"`
	// Takeover is when another leader starts without what was learned, 0 for never.
	Takeover int          `json:"takeover"`
	Peaks    []peakSeries `json:"peaks"`
	// Each peak that begins at ExpectedFrom or later must be expected a move before its begin, but for MaxMissing of all
	// seeds; with Sure, surely.
	ExpectedFrom float64 `json:"expected_from"`
	Sure         bool    `json:"sure"`
	MaxMissing   int     `json:"missing_most"`
	// MaxIdle is the maximum time, summed over the pools, in which instances are held for a peak that isn't there.
	MaxIdle float64 `json:"idle_most"`
}

// peakSeries are peaks of one pool.
type peakSeries struct {
	Pool  string  `json:"pool"`
	At    float64 `json:"at"`
	Lasts float64 `json:"lasts"`
	Every float64 `json:"every"`
	Times int     `json:"times"`
}

const (
	seeds    = 20
	step     = 50 * time.Millisecond
	moveTime = 1650 * time.Millisecond
	jobWork  = 1000
	maxJobs  = 10
	// clockStart is the time of the clock when a script begins.
	clockStart = time.Hour
)

// begins returns the times at which the pool's peaks begin.
func (p *pattern) begins(pool string) []float64 {
	var all []float64
	for _, s := range p.Peaks {
		for i := range s.Times {
			if s.Pool == pool {
				all = append(all, s.At+float64(i)*s.Every)
			}
		}
	}
	return all
}

func (p *pattern) isPeak(pool string, at float64) bool {
	for _, s := range p.Peaks {
		for i := range s.Times {
			begin := s.At + float64(i)*s.Every
			if s.Pool == pool && at >= begin && at < begin+s.Lasts {
				return true
			}
		}
	}
	return false
}

// TestPatterns plays each pattern with several seeds.
func TestPatterns(t *testing.T) {
	text, err := os.ReadFile("testdata/peaks.json")
	assert.NilError(t, err)
	var patterns []pattern
	assert.NilError(t, json.Unmarshal(text, &patterns))
	for _, p := range patterns {
		t.Run(p.Name, func(t *testing.T) {
			missing := 0
			for seed := range uint64(seeds) {
				missing += p.play(t, seed)
			}
			assert.Assert(t, missing <= p.MaxMissing, "%d peaks not expected", missing)
		})
	}
}

// player plays a pattern with one seed.
type player struct {
	*pattern
	random *rand.Rand
	peaks  forecast.Peaks
	rates  map[string]*forecast.Rate
	// missing is the number of peaks that weren't expected, idle the time in which instances are held for none.
	missing int
	idle    float64
}

// restart forgets all that was learned.
func (p *player) restart() {
	p.peaks, p.rates = forecast.Peaks{}, make(map[string]*forecast.Rate)
	for _, pool := range p.Pools {
		p.rates[pool] = &forecast.Rate{}
	}
}

// play feeds the pattern to a forecast, checks what it expects a move ahead, and returns the number of peaks that it should have
// expected.
func (p *pattern) play(t *testing.T, seed uint64) int {
	pl := &player{pattern: p, random: rand.New(rand.NewPCG(seed, 7))}
	pl.restart()
	for at := time.Duration(0); at < time.Duration(p.Seconds)*time.Second; at += step {
		if p.Takeover > 0 && at == time.Duration(p.Takeover)*time.Second {
			pl.restart()
		}
		for _, pool := range p.Pools {
			pl.step(t, pool, at)
		}
	}
	assert.Assert(t, pl.idle <= p.MaxIdle, "seed %d: instances held for %.1f s for peaks that don't come", seed, pl.idle)
	return pl.missing
}

// step adds the jobs of one step to a pool and checks its forecast.
func (p *player) step(t *testing.T, pool string, at time.Duration) {
	now := clockStart + at
	p.addJobs(pool, at)
	level := p.rates[pool].Level(now)
	p.peaks.Observe(pool, now, level)
	next := p.peaks.Outlook(pool, now)
	want := forecast.Want(forecast.Demand{Seen: level, Next: next, Now: now, MoveTime: moveTime})
	assert.Assert(t, want.Expected >= want.Needed && want.Invited >= want.Needed && want.Kept >= want.Needed && want.Most >= want.Needed)
	prepared := max(want.Expected, want.Invited) > want.Needed
	if prepared && !p.nearPeak(pool, at.Seconds()) {
		p.idle += step.Seconds()
	}
	for _, begin := range p.begins(pool) {
		ahead := time.Duration((begin - moveTime.Seconds()) * float64(time.Second)).Round(step)
		if begin >= p.ExpectedFrom && at == ahead && (!prepared || p.Sure && !next.Sure) {
			p.missing++
			t.Logf("peak of %s at %.1f s isn't expected: %+v", pool, begin, next)
		}
	}
}

// addJobs draws the jobs of one step, up to maxJobs.
func (p *player) addJobs(pool string, at time.Duration) {
	perSecond := p.Low
	if p.isPeak(pool, at.Seconds()) {
		perSecond = p.High
	}
	for range maxJobs {
		if p.random.Float64() < perSecond*step.Seconds()/maxJobs {
			p.rates[pool].Add(clockStart+at, clockStart+at, jobWork)
		}
	}
}

// nearPeak reports whether a peak of the pool begins within two moves, or has just begun.
func (p *pattern) nearPeak(pool string, at float64) bool {
	for _, begin := range p.begins(pool) {
		if at > begin-3*moveTime.Seconds() && at < begin+1 {
			return true
		}
	}
	return false
}
