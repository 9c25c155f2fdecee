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
	"samphirekeel.example/entry/connection"
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
	// platformLatency keeps responses of the platform from coinciding with timers, whose order would then be random.
	platformLatency = 1100 * time.Microsecond
)

// testCluster is an in-memory platform with endpoints and entries, under the fake clock of a synctest bubble.
type testCluster struct {
	t            *testing.T
	platform     *platformtest.Platform
	network      *emulator.Network
	dataCentres  []string
	entries      map[string]*entryProcess
	endpoints    map[string]*endpointProcess
	log          *eventLog
	printedLines int
	heldCalls    heldCalls
	// conns holds the keep-alive connections of callers by name.
	connMu    sync.Mutex
	conns     map[string]net.Conn
	startedAt time.Time
}

// entryProcess is one entry of the cluster.
type entryProcess struct {
	name, dataCentre, host string
	cancel                 context.CancelFunc
	done                   chan error
	// killed reports that the entry's calls and connections must fail.
	killed atomic.Bool
	gate   *gate
}

// endpointProcess is one endpoint of the cluster.
type endpointProcess struct {
	listing platform.Listing
	server  *fasthttp.Server
	mu      sync.Mutex
	runs    map[string]int
	// startedAt and respondedAt hold the times of each ticket's last arrival and response.
	startedAt, respondedAt map[string]time.Time
	delay                  time.Duration
	// leaving makes the endpoint report in each response that it is leaving.
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

// Write stores one event, which is a line of JSON.
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

func newCluster(t *testing.T, dataCentres ...string) *testCluster {
	c := &testCluster{
		t: t, platform: platformtest.New(), network: emulator.NewNetwork(), dataCentres: dataCentres,
		entries: make(map[string]*entryProcess), endpoints: make(map[string]*endpointProcess),
		log: &eventLog{}, startedAt: time.Now(),
	}
	c.platform.Set(platformtest.Switches{Slow: platformLatency})
	c.platform.RebootTime = time.Second
	c.platform.ListLag = time.Second
	return c
}

// addEntry starts an entry; host is its address without the port.
func (c *testCluster) addEntry(dataCentre, name, host string) {
	var peers []string
	for _, other := range c.entries {
		peers = append(peers, other.host+":"+peersPort)
	}
	slices.Sort(peers)
	log := event.New(c.log, true)
	log.Base = event.Fields{"entry": name}
	ctx, cancel := context.WithCancel(c.t.Context())
	process := &entryProcess{name: name, dataCentre: dataCentre, host: host, cancel: cancel, done: make(chan error, 1), gate: &gate{}}
	c.entries[name] = process
	d := &daemon.Daemon{
		Config: config.Config{
			Name: name, DataCentre: dataCentre, DataCentres: c.dataCentres,
			Listen:    config.Listen{Callers: host + ":" + callersPort, Operators: host + ":" + operatorsPort, Peers: host + ":" + peersPort},
			Platform:  config.Platform{Address: "10.0.0.1:80", Timeout: config.Duration(2 * time.Second)},
			Peers:     peers,
			Operators: []operator.Operator{{Name: "root-ops", Token: "root"}, {Name: "quabbin-ops", Token: "quabbin", Subtree: "quabbin"}},
			Limits:    config.Limits{BodyBytes: 1 << 20, Connections: 1024, DrainTimeout: config.Duration(drainTimeout), StopGrace: config.Duration(stopGrace)},
		},
		Log: log, Version: "test",
		Listen: func(address string, _ connection.Queues) (net.Listener, error) {
			return c.network.Listen(dataCentre, address)
		},
		Dial: func(address string, timeout time.Duration) (net.Conn, error) {
			return c.dialFrom(process, address, timeout)
		},
		Client: process.gate.client(c.clientOf(process)), Random: seeded(name),
	}
	go func() { process.done <- d.Run(ctx) }()
}

// seeded returns a generator that is seeded by the name, so that each run gives the same numbers.
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
func (c *testCluster) addInstance(listing platform.Listing) {
	process := &endpointProcess{listing: listing, runs: make(map[string]int), delay: 10 * time.Millisecond, startedAt: make(map[string]time.Time), respondedAt: make(map[string]time.Time)}
	process.server = &fasthttp.Server{Handler: process.serve, NoDefaultDate: true}
	listener, err := c.network.Listen(listing.DataCentre, listing.Address)
	assert.NilError(c.t, err)
	c.endpoints[listing.ID] = process
	c.platform.AddInstance(listing)
	go func() { _ = process.server.Serve(listener) }()
}

func (e *endpointProcess) serve(ctx *fasthttp.RequestCtx) {
	ticket := string(ctx.Request.Header.Peek("X-Ticket"))
	e.mu.Lock()
	e.runs[ticket]++
	e.startedAt[ticket] = time.Now()
	delay := e.delay
	leaving := e.leaving
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	e.respondedAt[ticket] = time.Now()
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

// changeSettings changes the settings through the operators' listener of an entry.
func (c *testCluster) changeSettings(entry string, edits ...settings.Edit) *fasthttp.Response {
	body, err := json.Marshal(settings.Change{Edits: edits})
	assert.NilError(c.t, err)
	return c.call(entry, operatorsPort, fasthttp.MethodPost, "/v1/settings", body, "Authorization", "Bearer root")
}

// call sends one request to a listener of an entry and returns the response, with status 0 and the error as its body
// if there was none.
func (c *testCluster) call(entry, port, method, path string, body []byte, headers ...string) *fasthttp.Response {
	process := c.entries[entry]
	address := process.host + ":" + port
	client := &fasthttp.HostClient{
		Addr: address, MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: time.Second,
		Dial: func(address string) (net.Conn, error) {
			return c.network.Dial(process.dataCentre, address, time.Second)
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

// events returns the new events with numbers from first to last; events of the same instant are sorted, since their
// order is random.
func (c *testCluster) events(first, last int) string {
	c.log.mu.Lock()
	lines := slices.Clone(c.log.lines[c.printedLines:])
	c.printedLines = len(c.log.lines)
	c.log.mu.Unlock()
	var out []string
	for _, line := range lines {
		if line.event >= first && line.event <= last {
			out = append(out, c.format(line))
		}
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

func (c *testCluster) format(line eventLine) string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%10.3fs %-12v %d %v", line.at.Sub(c.startedAt).Seconds(), line.fields["entry"], line.event, line.fields["name"])
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

// close stops all processes, since the bubble ends only without goroutines.
func (c *testCluster) close() {
	c.platform.Set(platformtest.Switches{})
	for _, process := range c.entries {
		process.gate.open()
		process.cancel()
	}
	for _, process := range c.entries {
		err := <-process.done
		assert.Check(c.t, process.killed.Load() || err == nil, "%v", err)
	}
	for _, process := range c.endpoints {
		_ = process.server.Shutdown()
	}
	// The worker pools of the servers check whether to exit only after their idle time.
	time.Sleep(serverIdleTime)
}
