package memory

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
)

// script is a sequence of steps with the connections of one account, by their names.
type script struct {
	Name        string `json:"name"`
	Bytes       int64  `json:"bytes"`
	Connections int    `json:"connections"`
	Steps       []step `json:"steps"`
}

type step struct {
	Add     string   `json:"add"`
	Grow    string   `json:"grow"`
	Shrink  string   `json:"shrink"`
	State   string   `json:"state"`
	To      string   `json:"to"`
	Close   string   `json:"close"`
	Bytes   int64    `json:"bytes"`
	Refused bool     `json:"refused"`
	Sleep   string   `json:"sleep"`
	Used    *int64   `json:"used"`
	Open    *int     `json:"open"`
	Evicted []string `json:"evicted"`
}

var states = map[string]State{"idle": Idle, "arriving": Arriving, "waiting": Waiting, "busy": Busy}

// player plays a script; evicted holds the connections evicted since the last step that asked for them.
type player struct {
	account *Account
	holds   map[string]*Hold
	evicted []string
}

func (p *player) play(t *testing.T, s step) {
	t.Helper()
	switch {
	case s.Add != "":
		hold, ok := p.account.Add(s.Bytes, func(bool) { p.evicted = append(p.evicted, s.Add) })
		assert.Equal(t, ok, !s.Refused, "add %s", s.Add)
		p.holds[s.Add] = hold
	case s.Grow != "":
		assert.Equal(t, p.holds[s.Grow].Grow(s.Bytes), !s.Refused, "grow %s", s.Grow)
	case s.Shrink != "":
		p.holds[s.Shrink].Shrink(s.Bytes)
	case s.State != "":
		p.holds[s.State].SetState(states[s.To])
	case s.Close != "":
		p.holds[s.Close].Close()
	case s.Sleep != "":
		d, err := time.ParseDuration(s.Sleep)
		assert.NilError(t, err)
		time.Sleep(d)
	case s.Used != nil:
		assert.Equal(t, p.account.Used(), *s.Used)
	case s.Open != nil:
		assert.Equal(t, p.account.Open(), *s.Open)
	case s.Evicted != nil:
		assert.Equal(t, strings.Join(p.evicted, " "), strings.Join(s.Evicted, " "))
		p.evicted = nil
	}
}

func TestAccounts(t *testing.T) {
	data, err := os.ReadFile("testdata/accounts.json")
	assert.NilError(t, err)
	var scripts []script
	assert.NilError(t, json.Unmarshal(data, &scripts))
	for _, s := range scripts {
		t.Run(strings.ReplaceAll(s.Name, " ", "_"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &player{account: &Account{Bytes: s.Bytes, Connections: s.Connections}, holds: make(map[string]*Hold)}
				for _, step := range s.Steps {
					p.play(t, step)
				}
			})
		})
	}
}

// Guards against a log that grows with the crowd: one line a second for each reason, which counts the others.
func TestLimitsAreLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		a := &Account{Listener: "callers", Bytes: 10, Log: event.New(&log, true)}
		for range 1000 {
			_, ok := a.Add(11, nil)
			assert.Assert(t, !ok)
		}
		time.Sleep(time.Second)
		a.Note(MemoryRefused)
		a.Note(WriteTimeout)
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		assert.Equal(t, len(lines), 3)
		assert.Assert(t, strings.Contains(lines[0], `"clients":1,`), lines[0])
		assert.Assert(t, strings.Contains(lines[1], `"clients":1000,`), lines[1])
		assert.Equal(t, a.Count(MemoryRefused), int64(1001))
	})
}

// Guards against messages that are dropped although those before them are about to be done.
func TestGrowWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{Bytes: 100}
		first, _ := a.Add(100, nil)
		first.SetState(Busy)
		time.AfterFunc(time.Second, func() { first.Shrink(50) })
		time.AfterFunc(2*time.Second, first.Close)
		began := time.Now()
		second, ok := a.Add(0, nil)
		assert.Assert(t, ok)
		assert.Assert(t, !second.GrowWithin(500*time.Millisecond, 60))
		assert.Assert(t, second.GrowWithin(5*time.Second, 60))
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.Assert(t, !second.GrowWithin(time.Hour, 101))
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.Equal(t, a.Count(MemoryRefused), int64(2))
	})
}

func TestNilAccountHasNoLimits(t *testing.T) {
	var a *Account
	hold, ok := a.Add(1<<40, nil)
	assert.Assert(t, ok)
	assert.Assert(t, hold.Grow(1<<40))
	hold.SetState(Idle)
	hold.Shrink(1)
	hold.Close()
	hold.Note(HeaderTimeout)
}
