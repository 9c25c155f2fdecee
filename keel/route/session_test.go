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
	home = "worcester"
	// tickOffset keeps the refreshes apart from the arrivals of requests.
	tickOffset   = 130 * time.Microsecond
	tickInterval = 500 * time.Millisecond
	// workTime has no common factor with the times between requests, so that no two things happen at one instant.
	workTime = 20317 * time.Microsecond
)

// world is one router with endpoints in memory.
type world struct {
	t         *testing.T
	router    *route.Router
	inventory *instance.Inventory
	nodes     map[settings.Path]settings.Node
	tree      *settings.Tree
	revision  uint64
	word      route.ClusterState
	leaving   map[string]string
	version   uint64
	senders   sync.WaitGroup
	stop      chan struct{}
	log       bytes.Buffer

	mu        sync.Mutex
	endpoints map[string]*behaviour
	conns     []net.Conn
	results   map[string]int
	longest   map[string]time.Duration
}

type command func(w *world, args []string) string

var commands = map[string]command{
	"set":       setCommand,
	"instances": instancesCommand,
	"row":       rowCommand,
	"behave":    behaveCommand,
	"word":      wordCommand,
	"send":      sendCommand,
	"wait":      waitCommand,
	"report":    reportCommand,
	"events":    eventsCommand,
	"limits":    limitsCommand,
	"capacity":  func(w *world, args []string) string { w.router.Capacity = number(args[0]); return "" },
}

// TestSessions plays the scripts in testdata against one router.
func TestSessions(t *testing.T) {
	scripttest.RunAll(t, func(t *testing.T) scripttest.Session {
		w := newWorld(t)
		return scripttest.Session{Run: w.run, Close: w.end}
	})
}

func (w *world) run(words []string) string {
	run, ok := commands[words[0]]
	assert.Assert(w.t, ok, "no command %q", words[0])
	return run(w, words[1:])
}

func (w *world) end() {
	w.senders.Wait()
	w.close()
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, inventory: instance.NewInventory(), nodes: map[settings.Path]settings.Node{}, stop: make(chan struct{}),
		word: route.ClusterState{Entries: map[string]int64{home: 1}}, leaving: map[string]string{},
		endpoints: map[string]*behaviour{}, results: map[string]int{}, longest: map[string]time.Duration{},
	}
	source := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	log := event.New(&w.log, true)
	w.router = &route.Router{
		Log: log, DataCentre: home, Dial: w.dial,
		Random: func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return source.IntN(n)
		},
	}
	go w.tick()
	return w
}

// tick refreshes the router as the control loop does.
func (w *world) tick() {
	time.Sleep(tickOffset)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(tickInterval):
		}
		w.mu.Lock()
		word := w.word
		w.mu.Unlock()
		w.router.Refresh(word, w.inventory)
	}
}

func (w *world) close() {
	close(w.stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
	time.Sleep(time.Minute)
}

func number(text string) int64 {
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
func setCommand(w *world, args []string) string {
	w.revision++
	node := settings.Node{Path: settings.Path(args[0]), Revision: w.revision, Values: map[settings.Key]json.RawMessage{}}
	for key, value := range options(args[1:]) {
		node.Values[settings.Key(key)] = json.RawMessage(value)
	}
	w.nodes[node.Path] = node
	w.publish()
	return ""
}

func (w *world) publish() {
	w.tree = settings.NewTree(w.revision, w.nodes)
	w.router.Publish(w.inventory, w.tree)
}

// instancesCommand adds instances: data centre, number, slots, pool.
func instancesCommand(w *world, args []string) string {
	for range number(args[1]) {
		id := fmt.Sprintf("%s-%d", args[0], len(w.endpoints))
		w.endpoints[id] = &behaviour{work: workTime}
		w.put(instance.Record{
			ID: id, DataCentre: args[0], Address: id, Slots: int(number(args[2])), Pool: args[3], State: instance.InService,
		})
	}
	w.publish()
	return ""
}

func (w *world) put(record instance.Record) {
	body, _ := json.Marshal(record)
	w.version++
	_, err := w.inventory.Update([]platform.Row{{Key: record.Key(), Version: w.version, Value: body}})
	assert.NilError(w.t, err)
}

// rowCommand changes the state and pool in an instance's row.
func rowCommand(w *world, args []string) string {
	for found := range w.inventory.All {
		if found.Value.ID == args[0] {
			record := found.Value
			record.State = instance.State(args[1])
			if len(args) > 2 {
				record.Pool = args[2]
			}
			w.put(record)
			w.router.Update(w.inventory, w.tree, []string{found.Key()})
			break
		}
	}
	return ""
}

// behaveCommand sets what an endpoint does from now on.
func behaveCommand(w *world, args []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[args[0]]
	for key, value := range options(args[1:]) {
		switch key {
		case "work":
			e.work, _ = time.ParseDuration(value)
		case "status":
			e.status = int(number(value))
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

// wordCommand changes what the entry knows besides the rows: entries.DC=n, busy.ID=n, leaving.ID=reason.
func wordCommand(w *world, args []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.word.Entries = maps.Clone(w.word.Entries)
	w.word.InFlight = maps.Clone(w.word.InFlight)
	if w.word.InFlight == nil {
		w.word.InFlight = map[string]int64{}
	}
	leaving := maps.Clone(w.leaving)
	for name, value := range options(args) {
		verb, subject, _ := strings.Cut(name, ".")
		key := instance.Key(strings.Split(subject, "-")[0], subject)
		switch verb {
		case "entries":
			w.word.Entries[subject] = number(value)
			if value == "0" {
				delete(w.word.Entries, subject)
			}
		case "busy":
			w.word.InFlight[key] = number(value)
		case "leaving":
			leaving[key] = value
		}
	}
	w.leaving = leaving
	w.word.LeavingReason = func(key string) string { return leaving[key] }
	return ""
}

// sendCommand sends requests one after the other: number, method, service, every=, timeout=, after=.
func sendCommand(w *world, args []string) string {
	values := options(args[3:])
	every, _ := time.ParseDuration(values["every"])
	timeout, err := time.ParseDuration(values["timeout"])
	if err != nil {
		timeout = 5 * time.Second
	}
	after, _ := time.ParseDuration(values["after"])
	w.senders.Go(func() {
		time.Sleep(after)
		for range number(args[0]) {
			w.senders.Go(func() { w.send(args[1], args[2], timeout) })
			time.Sleep(every)
		}
	})
	return ""
}

func (w *world) send(method, service string, timeout time.Duration) {
	began := time.Now()
	request := &route.Request{
		ID: "r", Service: service, Repeatable: method != fasthttp.MethodPost, Deadline: began.Add(timeout),
		HTTP: &fasthttp.Request{},
	}
	request.HTTP.Header.SetMethod(method)
	request.HTTP.SetRequestURI("http://endpoint/")
	response := &fasthttp.Response{}
	leave, err := w.router.Admit(service)
	if err == nil {
		err = w.router.Do(request, response)
		leave()
	}
	result := "ran " + strconv.Itoa(response.StatusCode())
	if err != nil {
		result = fmt.Sprintf("%s %s", fault.KindOf(err), fault.As(err).Outcome())
		if fault.As(err).RetryAfter() > 0 {
			result += " with Retry-After"
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	result = service + " " + result
	w.results[result]++
	w.longest[result] = max(w.longest[result], time.Since(began))
}

func waitCommand(w *world, args []string) string {
	if args[0] == "all" {
		w.senders.Wait()
		return ""
	}
	duration, err := time.ParseDuration(args[0])
	assert.NilError(w.t, err)
	time.Sleep(duration)
	synctest.Wait()
	return ""
}

// reportCommand prints results and runs since the last report.
func reportCommand(w *world, _ []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out strings.Builder
	for _, result := range slices.Sorted(maps.Keys(w.results)) {
		fmt.Fprintf(&out, "%4d %s, at most %s\n", w.results[result], result, w.longest[result].Round(time.Millisecond))
	}
	for _, id := range slices.Sorted(maps.Keys(w.endpoints)) {
		e := w.endpoints[id]
		fmt.Fprintf(&out, "     %s: %d requests, %d connections\n", id, e.runs, e.dials)
		e.runs, e.dials = 0, 0
	}
	clear(w.results)
	clear(w.longest)
	return out.String()
}

// eventsCommand prints the events of endpoints and pools since the last call, in the order of the alphabet.
func eventsCommand(w *world, _ []string) string {
	var out []string
	for line := range strings.Lines(w.log.String()) {
		var fields map[string]any
		_ = json.Unmarshal([]byte(line), &fields)
		if fields["event"] != float64(event.RouteDecided) {
			out = append(out, fmt.Sprintln("    ", fields["name"], fields["endpoint"], fields["pool"], fields["reason"]))
		}
	}
	w.log.Reset()
	slices.Sort(out)
	return strings.Join(out, "")
}

// limitsCommand prints this entry's share of each endpoint of a service.
func limitsCommand(w *world, args []string) string {
	var out strings.Builder
	for _, e := range w.router.Directory().Services[args[0]].Endpoints() {
		fmt.Fprintln(&out, "    ", e.Key(), e.Limit())
	}
	return out.String()
}
