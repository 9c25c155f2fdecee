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

// latency is the latency of a platform call.
const latency = 1100 * time.Microsecond

// harness runs the claim services of several entries against one platform under a fake clock.
type harness struct {
	t        *testing.T
	start    time.Time
	platform *platformtest.Platform
	entries  map[string]*entry
	mu       sync.Mutex
	output   []string
}

// entry is the claim service of one entry.
type entry struct {
	service      *claim.Service
	name         string
	killed       bool
	unresponsive bool
	tickets      map[string]*claim.Ticket
}

// TestSessions runs the scripts in testdata and compares their output with the golden files.
func TestSessions(t *testing.T) {
	scripttest.RunAll(t, func(t *testing.T) scripttest.Session {
		h := &harness{t: t, start: time.Now(), platform: platformtest.New(), entries: make(map[string]*entry)}
		h.platform.Set(platformtest.Switches{Slow: latency})
		return scripttest.Session{Run: h.step, Close: h.close}
	})
}

// step runs one line of a script and returns what was printed until all goroutines are blocked.
func (h *harness) step(args []string) string {
	h.run(args)
	synctest.Wait()
	return h.drain()
}

func (h *harness) close() {
	h.platform.Set(platformtest.Switches{})
	for _, e := range h.entries {
		e.service.Batcher.Flush(h.t.Context())
	}
}

// drain returns what was printed since the last call, ordered by time and then by text.
func (h *harness) drain() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.Sort(h.output)
	text := strings.Join(h.output, "")
	h.output = nil
	return text
}

func (h *harness) print(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := fmt.Sprintf("%10.4fs ", time.Since(h.start).Seconds())
	h.output = append(h.output, at+fmt.Sprintf(format, args...)+"\n")
}

func (h *harness) run(args []string) {
	switch args[0] {
	case "entry":
		interval, err := time.ParseDuration(args[2])
		assert.NilError(h.t, err)
		h.addEntry(args[1], interval)
	case "begin":
		go h.begin(h.entries[args[1]], args[2], args[3], args[4])
	case "finish":
		e := h.entries[args[1]]
		limit, _ := strconv.Atoi(args[4])
		e.service.Finish(e.tickets[args[2]], claim.Response{Status: 200, Body: []byte(args[3])}, limit)
	case "release":
		e := h.entries[args[1]]
		e.service.Release(e.tickets[args[2]])
	case "finish-unknown":
		e := h.entries[args[1]]
		e.service.FinishUnknown(e.tickets[args[2]])
	case "expire-lease":
		h.entries[args[1]].service.LeaseValid = func() bool { return false }
	case "kill":
		h.entries[args[1]].killed = true
	case "unresponsive":
		h.entries[args[1]].unresponsive = true
	case "replace":
		h.addEntry(args[1], 0)
		h.entries[args[1]].service.Incarnation = args[1] + "-2"
	case "platform":
		switches := platformtest.Switches{Slow: latency}
		assert.NilError(h.t, json.Unmarshal([]byte(strings.Join(args[1:], " ")), &switches))
		h.platform.Set(switches)
	case "wait":
		duration, err := time.ParseDuration(args[1])
		assert.NilError(h.t, err)
		time.Sleep(duration)
	case "rows":
		h.rows()
	default:
		h.t.Fatalf("no command %q", args[0])
	}
}

func (h *harness) addEntry(name string, interval time.Duration) {
	e := &entry{name: name, tickets: make(map[string]*claim.Ticket)}
	inner := h.platform.Client("worcester").Call
	client := &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
		if e.killed {
			return fault.New(fault.PlatformUnavailable, "the entry was killed")
		}
		return inner(ctx, method, in, out)
	}}
	e.service = &claim.Service{
		Incarnation: name + "-1",
		Batcher:     &claim.Batcher{Client: client, CommitInterval: func() time.Duration { return interval }},
		QueryHolder: h.queryHolder,
	}
	h.entries[name] = e
}

func (h *harness) queryHolder(ctx context.Context, request claim.HolderQuery) (claim.HolderResponse, error) {
	name, _, _ := strings.Cut(request.Holder, "-")
	e := h.entries[name]
	if e.killed || e.unresponsive {
		time.Sleep(time.Second)
		return claim.HolderResponse{}, errors.New("no response")
	}
	return e.service.HandleHolderQuery(ctx, request), nil
}

func (h *harness) begin(e *entry, arrival, key, digest string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	digestValue, _ := strconv.ParseUint(digest, 10, 64)
	ticket, recorded, err := e.service.Begin(ctx, claim.Request{Service: "quabbin/intake", Key: key, Digest: digestValue})
	switch {
	case err != nil:
		failure := fault.As(err)
		h.print("%s %s: %s outcome=%s retry_after=%s", e.name, arrival, err, failure.Outcome(), failure.RetryAfter())
	case recorded != nil:
		h.print("%s %s: %d %s from %s", e.name, arrival, recorded.Status, recorded.Body, recorded.Source)
	default:
		h.mu.Lock()
		e.tickets[arrival] = ticket
		h.mu.Unlock()
		h.print("%s %s: send", e.name, arrival)
	}
}

// rows prints the claims in the table and the number of transactions so far.
func (h *harness) rows() {
	scan := h.platform.Table().Scan(platform.ScanRequest{Prefix: claim.Prefix})
	for _, row := range scan.Rows {
		var record claim.Record
		if !row.Deleted() {
			assert.NilError(h.t, json.Unmarshal(row.Value, &record))
		}
		h.print("row %s %s %s", row.Key, record.Holder, record.State)
	}
	h.print("transactions: %d", h.platform.Table().Commits())
}
