package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/entry/config"
	"samphirekeel.example/entry/daemon"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/upstream"
)

const (
	callersPort    = "7100"
	operatorsPort  = "7101"
	peersPort      = "7102"
	drainTimeout   = 30 * time.Second
	stopGrace      = time.Second
	serverIdleTime = time.Minute
	// platformLatency keeps calls of the platform apart from the instants at which timers fire.
	platformLatency = 1100 * time.Microsecond
)

// world is a platform, endpoints and entries in memory, under the fake clock of the test's bubble.
type world struct {
	t           *testing.T
	platform    *platformtest.Platform
	network     *emulator.Network
	dataCentres []string
	entries     map[string]*entryProcess
	endpoints   map[string]*endpointProcess
	log         *eventLog
	printed     int
	held        heldEntries
	// keptConns holds the callers' connections that stay open over several requests, by name.
	keptMu    sync.Mutex
	keptConns map[string]net.Conn
	began     time.Time
}

// entryProcess is one entry of the world.
type entryProcess struct {
	name, dataCentre, host string
	cancel                 context.CancelFunc
	done                   chan error
	// killed reports that the process is to behave as if it were gone.
	killed atomic.Bool
	gate   *gate
}

// endpointProcess is one endpoint of the world.
type endpointProcess struct {
	line   platform.Listed
	server *fasthttp.Server
	mu     sync.Mutex
	runs   map[string]int
	// started and answered hold the times at which each ticket last came and was answered.
	started, answered map[string]time.Time
	delay             time.Duration
	// leaving has the endpoint say in each answer that it is leaving.
	leaving bool
}

// eventLog collects the events of all entries.
type eventLog struct {
	mu    sync.Mutex
	lines []eventLine
}

type eventLine struct {
	at     time.Time
	event  int
	fields map[string]any
}

// Write takes in one line of JSON.
func (l *eventLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fields := map[string]any{}
	err := json.Unmarshal(line, &fields)
	if err != nil {
		return 0, err
	}
	number, _ := fields["event"].(float64)
	l.lines = append(l.lines, eventLine{at: time.Now(), event: int(number), fields: fields})
	return len(line), nil
}

func newWorld(t *testing.T, dataCentres ...string) *world {
	w := &world{
		t: t, platform: platformtest.New(), network: emulator.NewNetwork(), dataCentres: dataCentres,
		entries: make(map[string]*entryProcess), endpoints: make(map[string]*endpointProcess),
		log: &eventLog{}, began: time.Now(),
	}
	w.platform.Set(platformtest.Switches{Slow: platformLatency})
	w.platform.RebootTime = time.Second
	w.platform.ListLag = time.Second
	return w
}

// addEntry starts an entry, whose host is its address without the port.
func (w *world) addEntry(dataCentre, name, host string) {
	var peers []string
	for _, other := range w.entries {
		peers = append(peers, other.host+":"+peersPort)
	}
	slices.Sort(peers)
	log := event.New(w.log, true)
	log.Base = event.Fields{"entry": name}
	ctx, cancel := context.WithCancel(w.t.Context())
	process := &entryProcess{name: name, dataCentre: dataCentre, host: host, cancel: cancel, done: make(chan error, 1), gate: &gate{}}
	w.entries[name] = process
	d := &daemon.Daemon{
		Config: config.Config{
			Name: name, DataCentre: dataCentre, DataCentres: w.dataCentres,
			Listen:    config.Listen{Callers: host + ":" + callersPort, Operators: host + ":" + operatorsPort, Peers: host + ":" + peersPort},
			Platform:  config.Platform{Address: "10.0.0.1:80", Timeout: config.Duration(2 * time.Second)},
			Peers:     peers,
			Operators: []operator.Operator{{Name: "root-ops", Token: "root"}, {Name: "quabbin-ops", Token: "quabbin", Subtree: "quabbin"}},
			Limits:    config.Limits{BodyBytes: 1 << 20, Connections: 1024, DrainTimeout: config.Duration(drainTimeout), StopGrace: config.Duration(stopGrace)},
		},
		Log: log, Version: "test",
		Listen: func(address string) (net.Listener, error) { return w.network.Listen(dataCentre, address) },
		Dial: func(address string, timeout time.Duration) (net.Conn, error) {
			return w.dialFrom(process, address, timeout)
		},
		Client: process.gate.client(w.clientOf(process)), Random: seeded(name),
	}
	go func() { process.done <- d.Run(ctx) }()
}

// seeded returns a generator that gives the same numbers on every run.
func seeded(name string) func(n int) int {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(1, xxhash.Sum64String(name)))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
}

// addInstance adds an instance to the platform and starts an endpoint on it.
func (w *world) addInstance(line platform.Listed) {
	process := &endpointProcess{line: line, runs: make(map[string]int), delay: 10 * time.Millisecond, started: make(map[string]time.Time), answered: make(map[string]time.Time)}
	process.server = &fasthttp.Server{Handler: process.serve, NoDefaultDate: true}
	listener, err := w.network.Listen(line.DataCentre, line.Address)
	assert.NilError(w.t, err)
	w.endpoints[line.ID] = process
	w.platform.AddInstance(line)
	go func() { _ = process.server.Serve(listener) }()
}

func (e *endpointProcess) serve(ctx *fasthttp.RequestCtx) {
	ticket := string(ctx.Request.Header.Peek("X-Ticket"))
	e.mu.Lock()
	e.runs[ticket]++
	e.started[ticket] = time.Now()
	delay := e.delay
	leaving := e.leaving
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	e.answered[ticket] = time.Now()
	e.mu.Unlock()
	if leaving {
		ctx.Response.Header.Set(upstream.HeaderLeaving, "1")
	}
	if strings.HasPrefix(ticket, "cut") {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	ctx.SetBodyString("done " + ticket)
}

// change changes the settings through an entry's operators' listener.
func (w *world) change(entry string, edits ...settings.Edit) *fasthttp.Response {
	body, err := json.Marshal(settings.Change{Edits: edits})
	assert.NilError(w.t, err)
	return w.call(entry, operatorsPort, fasthttp.MethodPost, "/v1/settings", body, "Authorization", "Bearer root")
}

// call sends one request to a listener of an entry and returns the answer.
func (w *world) call(entry, port, method, path string, body []byte, headers ...string) *fasthttp.Response {
	process := w.entries[entry]
	address := process.host + ":" + port
	client := &fasthttp.HostClient{
		Addr: address, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second,
		Dial: func(address string) (net.Conn, error) {
			return w.network.Dial(process.dataCentre, address, time.Second)
		},
	}
	defer client.CloseIdleConnections()
	request := &fasthttp.Request{}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.SetConnectionClose()
	response := &fasthttp.Response{}
	err := client.DoTimeout(request, response, time.Minute)
	if err != nil {
		response.SetStatusCode(0)
		response.SetBodyString(err.Error())
	}
	return response
}

// events returns the events numbered from first to last that were not returned before, ordered within an instant.
func (w *world) events(first, last int) string {
	w.log.mu.Lock()
	lines := slices.Clone(w.log.lines[w.printed:])
	w.printed = len(w.log.lines)
	w.log.mu.Unlock()
	var out []string
	for _, line := range lines {
		if line.event >= first && line.event <= last {
			out = append(out, w.format(line))
		}
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

func (w *world) format(line eventLine) string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%10.3fs %-12v %d %v", line.at.Sub(w.began).Seconds(), line.fields["entry"], line.event, line.fields["name"])
	keys := make([]string, 0, len(line.fields))
	for key := range line.fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		switch key {
		case "entry", "event", "name", "time", "level":
		default:
			fmt.Fprintf(&text, " %s=%v", key, line.fields[key])
		}
	}
	text.WriteByte('\n')
	return text.String()
}

// close stops everything so that the bubble can end.
func (w *world) close() {
	w.platform.Set(platformtest.Switches{})
	for _, process := range w.entries {
		process.gate.open()
		process.cancel()
	}
	for _, process := range w.entries {
		err := <-process.done
		assert.Check(w.t, process.killed.Load() || err == nil, "%v", err)
	}
	for _, process := range w.endpoints {
		_ = process.server.Shutdown()
	}
	// The worker pools of the servers check whether to exit only after their idle time.
	time.Sleep(serverIdleTime)
}
