package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// bed holds one deployment: the stand-ins, the entries and what was seen.
type bed struct {
	dir     string
	program string
	net     int
	// port is the first of the ports that are used on each address.
	port  int
	began time.Time
	store *store
	cloud *cloud
	// policy is nil if no queue has a placement policy.
	policy  *policy
	spare   map[string]bool
	zones   []string
	entries []*entry
	// useCloud is cleared for a deployment without an instance service.
	useCloud bool
	stopTime time.Duration
	// further is set for the scenario with further troubles.
	further bool
	// saved holds, by task, the checkpoints that workers have listed.
	saved map[string]map[string]bool
	conns connections
	// BeforeWorker is called before a call to a worker is handled, and returns a status to answer with, 0 to go on and -1 to break
	// the connection.
	BeforeWorker func(w *worker, path string) int

	logMu sync.Mutex
	log   *bufio.Writer

	// workersMu guards all workers and gangs.
	workersMu sync.Mutex
	gangs     map[string]*gang

	mu      sync.Mutex
	workers map[string]*worker
	starts  []startNote
	history map[string][]*taskNote
	broken  []string
	// counts holds the number of tasks by job and step.
	counts   map[string]int
	upkeeps  map[int64][]string
	services []map[string]any
	routes   []map[string]any
	version  int
}

type startNote struct {
	job string
	at  time.Time
}

// taskNote is a run of a task as its worker saw it.
type taskNote struct {
	worker     string
	run, token int64
	began      time.Time
	ended      time.Time
	how        string
	seen       time.Time
	// copies reports that the task may run twice at a time.
	copies bool
	// gang reports that the task is a member of a gang.
	gang bool
}

// entry is one process of the system.
type entry struct {
	b        *bed
	name, ip string
	zone     string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	output   *os.File
}

func (b *bed) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", 64+b.net/200, 1+b.net%200, n) }

// The offsets of the ports from the first one: that of the platform's services, those of an entry for readiness, control and callers, and
// the range for calls between entries. The metrics have the port of the command in the deploy file.
const (
	readinessPort = 2
	controlPort   = 3
	callerPort    = 4
	firstPeerPort = 10
	lastPeerPort  = 25
	metricsPort   = 7071
	maxEntries    = 5
)

// chooseAddresses chooses loopback addresses and ports that are free.
func (b *bed) chooseAddresses() {
	for range 100 {
		b.net, b.port = rand.Intn(10000), 20000+rand.Intn(10000)
		if b.isFree() {
			return
		}
	}
	b.fatal("no free addresses")
}

func (b *bed) isFree() bool {
	addresses := []string{b.address(1), b.address(2), b.address(3)}
	for n := range maxEntries {
		for _, port := range []int{b.port + readinessPort, b.port + controlPort, b.port + callerPort, b.port + firstPeerPort, metricsPort} {
			addresses = append(addresses, fmt.Sprintf("%s:%d", b.ip(10+n), port))
		}
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// address returns the address of one of the platform's services.
func (b *bed) address(n int) string { return fmt.Sprintf("%s:%d", b.ip(n), b.port) }

// maxRunTime is the longest time that a scenario may take.
const maxRunTime = 115 * time.Second

func newBed(program, out string) *bed {
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	b := &bed{
		dir: dir, program: program, began: time.Now(), spare: make(map[string]bool), zones: []string{"za", "zb", "zc"}, log: bufio.NewWriter(file),
		workers: make(map[string]*worker), history: make(map[string][]*taskNote), upkeeps: make(map[int64][]string), gangs: make(map[string]*gang), counts: make(map[string]int), saved: make(map[string]map[string]bool), stopTime: 200 * time.Millisecond, useCloud: true,
	}
	b.chooseAddresses()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			b.fatal("ended from outside")
		case <-time.After(maxRunTime):
			b.fatal("not done after %v", maxRunTime)
		}
	}()
	b.store = newStore()
	b.cloud = &cloud{b: b, machines: make(map[string]*machine), waves: make(map[int64]map[string]bool)}
	b.serve(b.address(1), b.store)
	b.serve(b.address(2), b.cloud)
	return b
}

func (b *bed) serve(address string, handler http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		b.fatal("listen: %v", err)
	}
	go func() {
		_ = (&http.Server{Handler: b.conns.wrap(handler), ConnContext: b.conns.add, ConnState: b.conns.changed}).Serve(l)
	}()
}

// record writes a line with the time since the start.
func (b *bed) record(format string, args ...any) {
	b.logMu.Lock()
	defer b.logMu.Unlock()
	_, _ = fmt.Fprintf(b.log, "%8.3f "+format+"\n", append([]any{time.Since(b.began).Seconds()}, args...)...)
	_ = b.log.Flush()
}

// breaks records that a rule was broken.
func (b *bed) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.record("BROKEN: %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

func (b *bed) fatal(format string, args ...any) {
	b.record("CAN'T RUN: "+format, args...)
	b.stopAll()
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	os.Exit(2)
}

// finish ends all processes and exits with 1 if a rule was broken.
func (b *bed) finish() {
	b.stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println(b.dir)
	}
	if len(b.broken) > 0 {
		fmt.Println("broken:", b.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
	os.Exit(0)
}

func (b *bed) stopAll() {
	for _, e := range b.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.wait(5 * time.Second)
	}
}

func rackName(n int) string { return fmt.Sprintf("r%d-%d", n, n) }

// rackSize is the number of instances in a rack.
const rackSize = 4

// addPool adds a pool with instances of 16 cores and 32 GB, a rack in each data centre by turns.
func (b *bed) addPool(name string, instances int, spare bool) {
	b.services = append(b.services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, names["enforced"]: false, "spare": spare})
	b.spare[name] = spare
	b.cloud.mu.Lock()
	defer b.cloud.mu.Unlock()
	for range instances {
		n := len(b.cloud.machines)
		m := &machine{id: fmt.Sprintf("m-%03d", n), pool: name, zone: b.zones[n/rackSize%len(b.zones)], rack: rackName(n / rackSize), cpu: 16000, mem: 32768, maintained: make(map[int64]bool)}
		b.cloud.machines[m.id] = m
		b.cloud.boot(m)
	}
}

// addQueue adds a queue whose tasks run in the pool.
func (b *bed) addQueue(name, host, prefix, pool string, attempts int) {
	b.routes = append(b.routes, map[string]any{
		"name": name, "host": host, names["prefix"]: prefix, "kind": "unsafe", "timeoutMs": 3000, names["target"]: 600, "priority": 0, "service": pool,
		"maxAttempts": attempts, "stretch": 1.6,
	})
}

// putConfig writes the configuration.
func (b *bed) putConfig() {
	b.version += 3
	b.store.put("op", "config", map[string]any{
		"version": b.version, "routes": b.routes, "services": b.services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	b.record("configuration %d written", b.version)
}

// addEntries starts n entries.
func (b *bed) addEntries(n int) {
	for i := range n {
		e := &entry{b: b, name: fmt.Sprintf("edge-%s-%d", b.zones[i%len(b.zones)], 1+i/len(b.zones)), ip: b.ip(10 + i), zone: b.zones[i%len(b.zones)]}
		b.entries = append(b.entries, e)
		e.settings = filepath.Join(b.dir, e.name+".yaml")
		var text bytes.Buffer
		data := map[string]any{"Name": e.name, "IP": e.ip, "Zone": e.zone, "Zones": b.zones, "Store": b.address(1), "Cloud": b.address(2), "Readiness": b.port + readinessPort, "Control": b.port + controlPort, "Callers": b.port + callerPort,
			"FirstPeer": b.port + firstPeerPort, "LastPeer": b.port + lastPeerPort,
		}
		if !b.useCloud {
			data["Cloud"] = ""
		}
		if b.policy != nil {
			data["Policy"] = b.address(3)
		}
		err := template.Must(template.New("").Parse(settingsTemplate)).Execute(&text, data)
		if err == nil {
			err = os.WriteFile(e.settings, text.Bytes(), 0o600)
		}
		if err != nil {
			b.fatal("settings: %v", err)
		}
		e.start()
	}
}

func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(e.b.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		e.b.fatal("log: %v", err)
	}
	cmd := exec.Command(e.b.program, "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SAMPHIREKEEL_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = output, output
	err = cmd.Start()
	if err != nil {
		e.b.fatal("start %s: %v", e.b.program, err)
	}
	done := make(chan struct{})
	e.cmd, e.done = cmd, done
	e.b.record("%s started, process %d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		e.b.record("%s ended: %v", e.name, err)
		_ = output.Close()
		close(done)
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	cmd, done := e.cmd, e.done
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-done:
	default:
		_ = cmd.Process.Signal(s)
	}
}

// alive reports whether the process runs.
func (e *entry) alive() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

func (e *entry) wait(limit time.Duration) bool {
	if e.done == nil {
		return true
	}
	select {
	case <-e.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// restart kills the process and starts it again.
func (e *entry) restart(pause time.Duration) {
	e.b.record("%s is killed", e.name)
	e.signal(syscall.SIGKILL)
	e.wait(5 * time.Second)
	time.Sleep(pause)
	e.start()
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", e.ip, e.b.port+readinessPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (b *bed) awaitReady() {
	for range 200 {
		n := 0
		for _, e := range b.entries {
			if e.isReady() {
				n++
			}
		}
		if n == len(b.entries) {
			b.record("all entries are ready")
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.fatal("entries aren't ready after 20 s")
}

// leader returns the entry that holds the lease by the rows of the store, nil if there is none.
func (b *bed) leader() *entry {
	for _, part := range []string{"lease0", "lease1", "lease2"} {
		var r struct {
			Holder   string `json:"holder"`
			Released bool   `json:"released"`
		}
		v := b.store.value("control", part, "leader")
		if v == nil || json.Unmarshal(v, &r) != nil {
			continue
		}
		for _, e := range b.entries {
			if e.name == r.Holder && !r.Released {
				return e
			}
		}
	}
	return nil
}

func (b *bed) addWorker(w *worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers[w.id] = w
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableKeepAlives: false}}

// call sends a request of a caller to an entry; a status of 0 means that there was no response.
func (e *entry) call(method, host, path string, body []byte, limit time.Duration) (int, []byte) {
	req, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", e.ip, e.b.port+callerPort, path), bytes.NewReader(body))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Time-Budget-Ms", fmt.Sprint(limit.Milliseconds()))
	client := *callers
	client.Timeout = limit
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}
