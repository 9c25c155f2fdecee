package policy_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/policy"
)

// load is a case of testdata/loads.json: steps that need a call each, one per interval, and a service that handles calls in turn.
type load struct {
	Description string  `json:"why"`
	Name        string  `json:"name"`
	Declared    string  `json:"declared"`
	Slow        float64 `json:"slow"`
	Interval    string  `json:"interval"`
	// Burst is the factor by which there are more steps between BurstFrom and BurstFor later.
	Burst       float64 `json:"burst"`
	BurstFrom   string  `json:"burst_from"`
	BurstFor    string  `json:"burst_for"`
	SilentFrom  string  `json:"silent_from"`
	SilentFor   string  `json:"silent_for"`
	RejectsFrom string  `json:"rejects_from"`
	RejectsFor  string  `json:"rejects_for"`
	Length      string  `json:"length"`
	// MaxWait is the longest time that a step may wait for its answer, MaxAbandoned the number of calls that the service may answer
	// after they were given up.
	MaxWait      string `json:"max_wait"`
	MaxAbandoned int    `json:"max_abandoned"`
}

func parse(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// span is a time from which something holds for a while.
type span struct{ from, length time.Duration }

func (s span) has(at time.Duration) bool { return at >= s.from && at < s.from+s.length }

// sentCall is a call at the service.
type sentCall struct {
	*policy.Call
	step     int
	sent     time.Duration
	handled  time.Duration
	rejected bool
}

// loadRun plays a load in steps of a millisecond.
type loadRun struct {
	t                                *testing.T
	calls                            policy.Calls
	declared, service, interval      time.Duration
	burst, silent, rejects           span
	factor                           float64
	arrived                          []time.Duration
	answered                         map[int]time.Duration
	inFlight                         []*sentCall
	busyUntil                        time.Duration
	abandoned, longestLine, rejected int
}

func (r *loadRun) arrive(now time.Duration, next *time.Duration) {
	if now < *next {
		return
	}
	r.arrived = append(r.arrived, now)
	pause := r.interval
	if r.burst.has(now) {
		pause = time.Duration(float64(pause) / r.factor)
	}
	*next = now + pause
}

// receive passes on what the service has done by now.
func (r *loadRun) receive(now time.Duration) {
	var open []*sentCall
	for _, c := range r.inFlight {
		switch {
		case c.rejected:
			r.calls.Failed(c.Call, now)
			r.rejected++
		case now-c.sent >= policy.ResponseTimeout:
			r.calls.Failed(c.Call, now)
			if !r.silent.has(c.handled) {
				r.abandoned++
			}
		case now >= c.handled && !r.silent.has(c.handled):
			r.calls.Answered(c.Call, now)
			if _, known := r.answered[c.step]; !known {
				r.answered[c.step] = now
			}
		default:
			open = append(open, c)
		}
	}
	r.inFlight = open
}

// send sends a call for the first step without an answer for which none is awaited, if one may be sent.
func (r *loadRun) send(now time.Duration) {
	for step := range r.arrived {
		if _, done := r.answered[step]; done || r.isAwaited(step, now) {
			continue
		}
		if !r.calls.MayCall(now) {
			return
		}
		r.busyUntil = max(r.busyUntil, now) + r.service
		r.inFlight = append(r.inFlight, &sentCall{Call: r.calls.Begin(now, r.declared), step: step, sent: now, handled: r.busyUntil, rejected: r.rejects.has(now)})
	}
}

func (r *loadRun) isAwaited(step int, now time.Duration) bool {
	for _, c := range r.inFlight {
		if c.step == step && !c.IsOverdue(now) {
			return true
		}
	}
	return false
}

// Guards against a service that is kept busy with calls that nobody waits for any more, so that no step gets its answer in time,
// for good: after a burst, or beside a service that is slow, silent or rejects calls for a while.
func TestLoads(t *testing.T) {
	data, err := os.ReadFile("testdata/loads.json")
	assert.NilError(t, err)
	var loads []load
	assert.NilError(t, json.Unmarshal(data, &loads))
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) { playLoad(t, l) })
	}
}

func playLoad(t *testing.T, l load) {
	r := &loadRun{
		t: t, declared: parse(t, l.Declared), interval: parse(t, l.Interval), factor: l.Burst, answered: make(map[int]time.Duration),
		burst:   span{parse(t, l.BurstFrom), parse(t, l.BurstFor)},
		silent:  span{parse(t, l.SilentFrom), parse(t, l.SilentFor)},
		rejects: span{parse(t, l.RejectsFrom), parse(t, l.RejectsFor)},
	}
	r.service = time.Duration(max(1, l.Slow) * float64(r.declared))
	length, next := parse(t, l.Length), time.Duration(0)
	for now := time.Duration(0); now < length+parse(t, l.MaxWait); now += time.Millisecond {
		if now < length {
			r.arrive(now, &next)
		}
		r.receive(now)
		r.send(now)
		r.longestLine = max(r.longestLine, len(r.inFlight))
	}
	longest := time.Duration(0)
	for step, at := range r.arrived {
		answered, ok := r.answered[step]
		assert.Assert(t, ok, "step %d, which came at %v, has no answer", step, at)
		longest = max(longest, answered-at)
	}
	t.Logf("%d steps, longest wait %v, %d abandoned, %d rejected, at most %d in flight", len(r.arrived), longest, r.abandoned, r.rejected, r.longestLine)
	assert.Assert(t, longest <= parse(t, l.MaxWait), "longest wait %v", longest)
	assert.Assert(t, r.abandoned <= l.MaxAbandoned, "%d calls were abandoned", r.abandoned)
}

// Guards against calls that ask on more workers than are needed, which takes the service longer, and on so few that most steps need
// a second call.
func TestWorkersFor(t *testing.T) {
	for _, c := range []struct {
		allowed, asked, need, want int
	}{
		{0, 0, 1, 4}, {100, 100, 1, 1}, {100, 100, 6, 7}, {30, 100, 1, 7}, {5, 100, 1, 30}, {0, 100, 1, 30},
	} {
		var s policy.Share
		s.Add(c.allowed, c.asked)
		got := s.WorkersFor(c.need, 30)
		assert.Equal(t, got, c.want, "%d of %d allowed, %d needed", c.allowed, c.asked, c.need)
	}
	var s policy.Share
	assert.Equal(t, s.WorkersFor(5, 3), 3)
}
