package route_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/route"
	"samphirekeel.example/keel/scripttest"
	"samphirekeel.example/keel/settings"
)

const (
	homeDataCentre = "worcester"
	// refreshOffset keeps refreshes from coinciding with arrivals of requests.
	refreshOffset   = 130 * time.Microsecond
	refreshInterval = 500 * time.Millisecond
	// workTime has no common factor with the times between requests, so that no two events coincide.
	workTime = 20317 * time.Microsecond
)

// harness is one router with in-memory endpoints under a fake clock.
type harness struct {
	t         *testing.T
	router    *route.Router
	inventory *instance.Inventory
	nodes     map[settings.Path]settings.Node
	tree      *settings.Tree
	revision  uint64
	observed  route.ClusterState
	leaving   map[string]string
	version   uint64
	senders   sync.WaitGroup
	stop      chan struct{}
	log       bytes.Buffer

	mu        sync.Mutex
	endpoints map[string]*testEndpoint
	conns     []net.Conn
	results   map[string]int
	longest   map[string]time.Duration
}

type command func(h *harness, args []string) string

var commands = map[string]command{
	"set":       setCommand,
	"instances": instancesCommand,
	"row":       rowCommand,
	"behave":    behaveCommand,
	"observe":   observeCommand,
	"send":      sendCommand,
	"wait":      waitCommand,
	"report":    reportCommand,
	"events":    eventsCommand,
	"limits":    limitsCommand,
	"capacity":  func(h *harness, args []string) string { h.router.Capacity = parseInt(args[0]); return "" },
}

// TestSessions runs the scripts in testdata against one router and compares their output with the golden files.
func TestSessions(t *testing.T) {
	scripttest.RunAll(t, func(t *testing.T) scripttest.Session {
		h := newHarness(t)
		return scripttest.Session{Run: h.run, Close: h.end}
	})
}

func (h *harness) run(args []string) string {
	run, ok := commands[args[0]]
	assert.Assert(h.t, ok, "no command %q", args[0])
	return run(h, args[1:])
}

func (h *harness) end() {
	h.senders.Wait()
	h.close()
}

func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, inventory: instance.NewInventory(), nodes: map[settings.Path]settings.Node{}, stop: make(chan struct{}),
		observed: route.ClusterState{Entries: map[string]int64{homeDataCentre: 1}}, leaving: map[string]string{},
		endpoints: map[string]*testEndpoint{}, results: map[string]int{}, longest: map[string]time.Duration{},
	}
	source := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	log := event.New(&h.log, true)
	h.router = &route.Router{
		Log: log, DataCentre: homeDataCentre, Dial: h.dial,
		Random: func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return source.IntN(n)
		},
	}
	go h.tick()
	return h
}

// tick calls Refresh at the interval at which the control loop does.
func (h *harness) tick() {
	time.Sleep(refreshOffset)
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(refreshInterval):
		}
		h.mu.Lock()
		observed := h.observed
		h.mu.Unlock()
		h.router.Refresh(observed, h.inventory)
	}
}

func (h *harness) close() {
	close(h.stop)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	time.Sleep(time.Minute)
}

func parseInt(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// options splits key=value arguments.
func options(args []string) map[string]string {
	values := make(map[string]string)
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		values[key] = value
	}
	return values
}

// setCommand sets values at a node: path and key=value pairs.
func setCommand(h *harness, args []string) string {
	h.revision++
	node := settings.Node{Path: settings.Path(args[0]), Revision: h.revision, Values: map[settings.Key]json.RawMessage{}}
	for key, value := range options(args[1:]) {
		node.Values[settings.Key(key)] = json.RawMessage(value)
	}
	h.nodes[node.Path] = node
	h.publish()
	return ""
}

func (h *harness) publish() {
	h.tree = settings.NewTree(h.revision, h.nodes)
	h.router.Publish(h.inventory, h.tree)
}

// instancesCommand adds instances: data centre, number, slots, pool.
func instancesCommand(h *harness, args []string) string {
	for range parseInt(args[1]) {
		id := fmt.Sprintf("%s-%d", args[0], len(h.endpoints))
		h.endpoints[id] = &testEndpoint{work: workTime}
		h.put(instance.Record{
			ID: id, DataCentre: args[0], Address: id, Slots: int(parseInt(args[2])), Pool: args[3], State: instance.InService,
		})
	}
	h.publish()
	return ""
}

func (h *harness) put(record instance.Record) {
	body, _ := json.Marshal(record)
	h.version++
	_, err := h.inventory.Update([]platform.Row{{Key: record.Key(), Version: h.version, Value: body}})
	assert.NilError(h.t, err)
}

// rowCommand changes an instance's row: identifier, state, optionally pool.
func rowCommand(h *harness, args []string) string {
	for found := range h.inventory.All {
		if found.Value.ID == args[0] {
			record := found.Value
			record.State = instance.State(args[1])
			if len(args) > 2 {
				record.Pool = args[2]
			}
			h.put(record)
			h.router.Update(h.inventory, h.tree, []string{found.Key()})
			break
		}
	}
	return ""
}

// behaveCommand changes the behaviour of an endpoint: identifier and key=value pairs.
func behaveCommand(h *harness, args []string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.endpoints[args[0]]
	for key, value := range options(args[1:]) {
		switch key {
		case "work":
			e.work, _ = time.ParseDuration(value)
		case "status":
			e.status = int(parseInt(value))
		case "refuse":
			e.refuse = value == "true"
		case "freeze":
			e.freeze = value == "true"
		case "close":
			e.close = value == "true"
		case "leaving":
			e.leaving = value == "true"
		case "dial":
			e.dial = value
		}
	}
	return ""
}

// observeCommand changes the route.ClusterState of the next refreshes: entries.DC=n, in_flight.ID=n, leaving.ID=reason.
func observeCommand(h *harness, args []string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed.Entries = maps.Clone(h.observed.Entries)
	h.observed.InFlight = maps.Clone(h.observed.InFlight)
	if h.observed.InFlight == nil {
		h.observed.InFlight = map[string]int64{}
	}
	leaving := maps.Clone(h.leaving)
	for name, value := range options(args) {
		verb, subject, _ := strings.Cut(name, ".")
		key := instance.Key(strings.Split(subject, "-")[0], subject)
		switch verb {
		case "entries":
			h.observed.Entries[subject] = parseInt(value)
			if value == "0" {
				delete(h.observed.Entries, subject)
			}
		case "in_flight":
			h.observed.InFlight[key] = parseInt(value)
		case "leaving":
			leaving[key] = value
		}
	}
	h.leaving = leaving
	h.observed.LeavingReason = func(key string) string { return leaving[key] }
	return ""
}

// sendCommand starts to send requests at an interval: number, method, service, every=, timeout=, after=.
func sendCommand(h *harness, args []string) string {
	values := options(args[3:])
	every, _ := time.ParseDuration(values["every"])
	timeout, err := time.ParseDuration(values["timeout"])
	if err != nil {
		timeout = 5 * time.Second
	}
	after, _ := time.ParseDuration(values["after"])
	h.senders.Go(func() {
		time.Sleep(after)
		for range parseInt(args[0]) {
			h.senders.Go(func() { h.send(args[1], args[2], timeout) })
			time.Sleep(every)
		}
	})
	return ""
}

func (h *harness) send(method, service string, timeout time.Duration) {
	start := time.Now()
	request := &route.Request{
		ID: "r", Service: service, Repeatable: method != fasthttp.MethodPost, Deadline: start.Add(timeout),
		HTTP: &fasthttp.Request{},
	}
	request.HTTP.Header.SetMethod(method)
	request.HTTP.SetRequestURI("http://endpoint/")
	response := &fasthttp.Response{}
	release, err := h.router.Admit(service)
	if err == nil {
		err = h.router.Do(request, response)
		release()
	}
	result := "ran " + strconv.Itoa(response.StatusCode())
	if err != nil {
		result = fmt.Sprintf("%s %s", fault.KindOf(err), fault.As(err).Outcome())
		if fault.As(err).RetryAfter() > 0 {
			result += " with Retry-After"
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	result = service + " " + result
	h.results[result]++
	h.longest[result] = max(h.longest[result], time.Since(start))
}

func waitCommand(h *harness, args []string) string {
	if args[0] == "all" {
		h.senders.Wait()
		return ""
	}
	duration, err := time.ParseDuration(args[0])
	assert.NilError(h.t, err)
	time.Sleep(duration)
	synctest.Wait()
	return ""
}

// reportCommand prints the results of requests and the requests and connections of each endpoint since the last report.
func reportCommand(h *harness, _ []string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var output strings.Builder
	for _, result := range slices.Sorted(maps.Keys(h.results)) {
		fmt.Fprintf(&output, "%4d %s, at most %s\n", h.results[result], result, h.longest[result].Round(time.Millisecond))
	}
	for _, id := range slices.Sorted(maps.Keys(h.endpoints)) {
		e := h.endpoints[id]
		fmt.Fprintf(&output, "     %s: %d requests, %d connections\n", id, e.runs, e.dials)
		e.runs, e.dials = 0, 0
	}
	clear(h.results)
	clear(h.longest)
	return output.String()
}

// eventsCommand prints the events of endpoints and pools since the last call, sorted as text.
func eventsCommand(h *harness, _ []string) string {
	var output []string
	for line := range strings.Lines(h.log.String()) {
		var fields map[string]any
		_ = json.Unmarshal([]byte(line), &fields)
		if fields["event"] != float64(event.RouteDecided) {
			output = append(output, fmt.Sprintln("    ", fields["name"], fields["endpoint"], fields["pool"], fields["reason"]))
		}
	}
	h.log.Reset()
	slices.Sort(output)
	return strings.Join(output, "")
}

// limitsCommand prints the limit of each endpoint of a service.
func limitsCommand(h *harness, args []string) string {
	var output strings.Builder
	for _, e := range h.router.Directory().Services[args[0]].Endpoints() {
		fmt.Fprintln(&output, "    ", e.Key(), e.Limit())
	}
	return output.String()
}
