package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/scripttest"
)

// latency is the time of one call of the platform.
const latency = 1100 * time.Microsecond

// world is a platform and the claims of some entries under the fake clock.
type world struct {
	t        *testing.T
	began    time.Time
	platform *platformtest.Platform
	entries  map[string]*entry
	mu       sync.Mutex
	out      []string
}

// entry is the claims of one entry.
type entry struct {
	service *claim.Service
	name    string
	dead    bool
	silent  bool
	tickets map[string]*claim.Ticket
}

// TestSessions plays the scripts in testdata.
func TestSessions(t *testing.T) {
	scripttest.RunAll(t, func(t *testing.T) scripttest.Session {
		w := &world{t: t, began: time.Now(), platform: platformtest.New(), entries: make(map[string]*entry)}
		w.platform.Set(platformtest.Switches{Slow: latency})
		return scripttest.Session{Run: w.step, Close: w.close}
	})
}

// step runs one line and returns what was printed until everything waits.
func (w *world) step(words []string) string {
	w.run(words)
	synctest.Wait()
	return w.drain()
}

func (w *world) close() {
	w.platform.Set(platformtest.Switches{})
	for _, e := range w.entries {
		e.service.Batcher.Flush(w.t.Context())
	}
}

// drain returns what was printed since the last call, in order of time and then of text.
func (w *world) drain() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.out)
	text := strings.Join(w.out, "")
	w.out = nil
	return text
}

func (w *world) print(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := fmt.Sprintf("%10.4fs ", time.Since(w.began).Seconds())
	w.out = append(w.out, at+fmt.Sprintf(format, args...)+"\n")
}

func (w *world) run(args []string) {
	switch args[0] {
	case "entry":
		gap, err := time.ParseDuration(args[2])
		assert.NilError(w.t, err)
		w.addEntry(args[1], gap)
	case "begin":
		go w.begin(w.entries[args[1]], args[2], args[3], args[4])
	case "finish":
		e := w.entries[args[1]]
		limit, _ := strconv.Atoi(args[4])
		e.service.Finish(e.tickets[args[2]], claim.Response{Status: 200, Body: []byte(args[3])}, limit)
	case "release":
		e := w.entries[args[1]]
		e.service.Release(e.tickets[args[2]])
	case "lose":
		e := w.entries[args[1]]
		e.service.FinishUnknown(e.tickets[args[2]])
	case "lapse":
		w.entries[args[1]].service.LeaseValid = func() bool { return false }
	case "kill":
		w.entries[args[1]].dead = true
	case "silent":
		w.entries[args[1]].silent = true
	case "replace":
		w.addEntry(args[1], 0)
		w.entries[args[1]].service.Incarnation = args[1] + "-2"
	case "platform":
		switches := platformtest.Switches{Slow: latency}
		assert.NilError(w.t, json.Unmarshal([]byte(strings.Join(args[1:], " ")), &switches))
		w.platform.Set(switches)
	case "wait":
		duration, err := time.ParseDuration(args[1])
		assert.NilError(w.t, err)
		time.Sleep(duration)
	case "rows":
		w.rows()
	default:
		w.t.Fatalf("no command %q", args[0])
	}
}

func (w *world) addEntry(name string, gap time.Duration) {
	e := &entry{name: name, tickets: make(map[string]*claim.Ticket)}
	inner := w.platform.Client("worcester").Call
	client := &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
		if e.dead {
			return fault.New(fault.PlatformUnavailable, "the entry is dead")
		}
		return inner(ctx, method, in, out)
	}}
	e.service = &claim.Service{
		Incarnation: name + "-1",
		Batcher:     &claim.Batcher{Client: client, CommitInterval: func() time.Duration { return gap }},
		QueryHolder: w.ask,
	}
	w.entries[name] = e
}

func (w *world) ask(ctx context.Context, request claim.HolderQuery) (claim.HolderResponse, error) {
	name, _, _ := strings.Cut(request.Holder, "-")
	e := w.entries[name]
	if e.dead || e.silent {
		time.Sleep(time.Second)
		return claim.HolderResponse{}, errors.New("no answer")
	}
	return e.service.HandleHolderQuery(ctx, request), nil
}

func (w *world) begin(e *entry, arrival, key, digest string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	number, _ := strconv.ParseUint(digest, 10, 64)
	ticket, recorded, err := e.service.Begin(ctx, claim.Request{Service: "quabbin/intake", Key: key, Digest: number})
	switch {
	case err != nil:
		failure := fault.As(err)
		w.print("%s %s: %s outcome=%s retry_after=%s", e.name, arrival, err, failure.Outcome(), failure.RetryAfter())
	case recorded != nil:
		w.print("%s %s: %d %s from %s", e.name, arrival, recorded.Status, recorded.Body, recorded.Source)
	default:
		w.mu.Lock()
		e.tickets[arrival] = ticket
		w.mu.Unlock()
		w.print("%s %s: send", e.name, arrival)
	}
}

// rows prints the claims in the table and how many transactions were asked for.
func (w *world) rows() {
	scan := w.platform.Table().Scan(platform.ScanRequest{Prefix: claim.Prefix})
	for _, row := range scan.Rows {
		var record claim.Record
		if !row.Deleted() {
			assert.NilError(w.t, json.Unmarshal(row.Value, &record))
		}
		w.print("row %s %s %s", row.Key, record.Holder, record.State)
	}
	w.print("transactions: %d", w.platform.Table().Commits())
}
