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

// play feeds the pattern to a forecast, checks what it expects a move ahead, and returns the number of peaks that it should have
// expected.
func (p *pattern) play(t *testing.T, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 7))
	var peaks forecast.Peaks
	rates := make(map[string]*forecast.Rate)
	restart := func() {
		peaks = forecast.Peaks{}
		for _, pool := range p.Pools {
			rates[pool] = &forecast.Rate{}
		}
	}
	restart()
	missing, idle := 0, 0.0
	for at := time.Duration(0); at < time.Duration(p.Seconds)*time.Second; at += step {
		now, seconds := clockStart+at, at.Seconds()
		if p.Takeover > 0 && at == time.Duration(p.Takeover)*time.Second {
			restart()
		}
		for _, pool := range p.Pools {
			perSecond := p.Low
			if p.isPeak(pool, seconds) {
				perSecond = p.High
			}
			for range 10 {
				if random.Float64() < perSecond*step.Seconds()/10 {
					rates[pool].Add(now, now, jobWork)
				}
			}
			level := rates[pool].Level(now)
			peaks.Observe(pool, now, level)
			next := peaks.Outlook(pool, now)
			want := forecast.Want(forecast.Demand{Seen: level, Next: next, Now: now, MoveTime: moveTime})
			assert.Assert(t, want.Expected >= want.Needed && want.Kept >= want.Needed && want.Most >= want.Needed)
			if max(want.Expected, want.Invited) > want.Needed && !p.nearPeak(pool, seconds) {
				idle += step.Seconds()
			}
			for _, begin := range p.begins(pool) {
				if begin >= p.ExpectedFrom && at == time.Duration((begin-moveTime.Seconds())*float64(time.Second)).Round(step) {
					if max(want.Expected, want.Invited) <= want.Needed || p.Sure && !next.Sure {
						missing++
						t.Logf("seed %d: peak of %s at %.1f s isn't expected: %+v", seed, pool, begin, next)
					}
				}
			}
		}
	}
	assert.Assert(t, idle <= p.MaxIdle, "seed %d: instances held for %.1f s for peaks that don't come", seed, idle)
	return missing
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
