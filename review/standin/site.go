package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment: entries as processes of their own, and stand-ins for the rest.
type site struct {
	record *recorder
	store  *store
	folder string
	// root is the folder of the repository, in which the entries run.
	root                          string
	program                       string
	entries                       []*entryProcess
	workers                       []*worker
	storeAddress, instanceAddress string
	bounds                        map[string]any
	stop                          chan struct{}
	client                        *http.Client
	loopback                      int
	// maxFiles limits the descriptors of each entry, 0 for no limit.
	maxFiles int
}

type entryProcess struct {
	name, zone, ip           string
	callers, readiness, peer int
	settings                 string
	command                  *exec.Cmd
	log                      *os.File
	done                     chan struct{}
}

func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	os.Exit(2)
}

func newSite(root, recordPath string) *site {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	s := &site{
		record: newRecorder(recordPath), store: newStore(), folder: folder, root: root, program: filepath.Join(root, "target", "samphirekeel"),
		stop: make(chan struct{}), loopback: rand.Intn(1 << 24),
	}
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	s.bounds = map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lostSlackMs": 200,
		"configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "holdMaxMs": 10000, "stopTimeoutMs": 200,
		"gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remoteFactor": 1.5,
		"checkpointS": 2, "restoreMs": 100, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "fencingRequired": true, "leaseMs": 3000,
		"thawMs": 300, "paceMs": 100, "harmMs": 4000,
	}
	s.storeAddress = s.serve(s.store)
	s.instanceAddress = s.serve(http.HandlerFunc(s.listInstances))
	return s
}

// serve serves the handler and returns its address.
func (s *site) serve(handler http.Handler) string {
	listener := s.listen("127.0.0.1")
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

func (s *site) listen(ip string) net.Listener {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		s.finish(2, "cannot run: %v", err)
	}
	return listener
}

func (s *site) freePort(ip string) int {
	listener := s.listen(ip)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// nextIP returns a loopback address of its own for each entry, because all entries serve their metrics on the same port.
func (s *site) nextIP() string {
	for {
		s.loopback++
		ip := fmt.Sprintf("127.%d.%d.%d", 1+s.loopback/62500%250, 1+s.loopback/250%250, 1+s.loopback%250)
		listener, err := net.Listen("tcp", ip+":7071")
		if err == nil {
			_ = listener.Close()
			return ip
		}
	}
}

// listInstances serves the list of instances. The deployment has one pool, so that there is nothing to move.
func (s *site) listInstances(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire("instances") {
		respond(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	list := []map[string]any{}
	for _, k := range s.workers {
		list = append(list, map[string]any{
			"machine": k.instance, "pool": k.pool, "state": "up", "zone": k.dataCentre, "labels": []string{"a", k.rack}, "capacity": k.capacity, "id": k.id,
		})
	}
	respond(w, http.StatusOK, map[string]any{"machines": list, "nextPageToken": nil})
}

// addWorker starts a worker and its registration.
func (s *site) addWorker(pool, dataCentre string, cpu, memory int, behave behaviour) *worker {
	n := len(s.workers) + 1
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), instance: fmt.Sprintf("m-%05x", 0xa300+n), pool: pool, dataCentre: dataCentre,
		rack: fmt.Sprintf("r1-%d", n), capacity: map[string]any{"cpu": cpu, "memMb": memory, "gpu": 0}, behave: behave, log: s.record,
		leaseMax: 10 * time.Second, stopTime: 200 * time.Millisecond,
	}
	w.start(s.listen("127.0.0.1"))
	s.workers = append(s.workers, w)
	go func() {
		for {
			w.beat(s.store)
			select {
			case <-time.After(1500 * time.Millisecond):
			case <-s.stop:
				return
			}
		}
	}()
	return w
}

type queueSpec struct {
	name, host, prefix, pool string
	attempts                 int
	timeoutMs                int
}

// configure writes the configuration as the operator does.
func (s *site) configure(version int, queues []queueSpec, pools []string) {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": q.host, wire("prefix"): q.prefix, "kind": "unsafe", "timeoutMs": q.timeoutMs, wire("latencyTarget"): 600,
			"priority": 0, "service": q.pool, "maxAttempts": q.attempts, "stretch": 1.6,
		})
	}
	for _, p := range pools {
		services = append(services, map[string]any{
			"name": p, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, wire("capacityEnforced"): false, "spare": false,
		})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if !s.store.put("op", "config", config) {
		s.finish(2, "cannot run: configuration not stored")
	}
}

// addEntry writes the settings of an entry and starts its process.
func (s *site) addEntry(zone string) *entryProcess {
	ip := s.nextIP()
	e := &entryProcess{
		name: fmt.Sprintf("edge-%s-%d", zone, len(s.entries)+1), zone: zone, ip: ip,
		callers: s.freePort(ip), readiness: s.freePort(ip), peer: s.freePort(ip),
	}
	settings := map[string]any{
		"node": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "new-england",
		"zones":         map[string]string{"worcester": "new-england", "lowell": "new-england"},
		"listenAddrs":   map[string]string{"frontend": fmt.Sprintf("%s:%d", ip, e.callers), "readiness": fmt.Sprintf("%s:%d", ip, e.readiness)},
		"internalPorts": []int{e.peer, e.peer}, "seeds": []string{}, "bootstrap": true, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": s.bounds, "orders": "invocation", "advice": nil,
		"platform": map[string]any{
			"address": s.storeAddress, "form": "table", "writesPerS": 800, "readsPerS": 2000, "txMs": 8.0, "partitionWritesS": 150, "rowBytes": maxRowBytes,
			"across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
		"cloud": map[string]any{"address": s.instanceAddress, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
	}
	// JSON is valid YAML.
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		s.finish(2, "cannot run: %v", err)
	}
	e.settings = filepath.Join(s.folder, e.name+".yaml")
	err = os.WriteFile(e.settings, encoded, 0o600)
	if err != nil {
		s.finish(2, "cannot run: %v", err)
	}
	s.entries = append(s.entries, e)
	s.launch(e)
	return e
}

func (s *site) launch(e *entryProcess) {
	log, err := os.OpenFile(filepath.Join(s.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.finish(2, "cannot run: %v", err)
	}
	command := exec.Command(s.program, "--metrics-port", "7071")
	if s.maxFiles > 0 {
		command = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, s.maxFiles), s.program, "--metrics-port", "7071")
	}
	command.Dir = s.root
	command.Env = append(os.Environ(), "SAMPHIREKEEL_SETTINGS="+e.settings)
	command.Stdout, command.Stderr = log, log
	err = command.Start()
	if err != nil {
		s.finish(2, "cannot run: start %s: %v", s.program, err)
	}
	e.command, e.log, e.done = command, log, make(chan struct{})
	go func(done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(e.done)
	s.record.note("%s started", e.name)
}

func (s *site) signal(e *entryProcess, signal syscall.Signal) {
	s.record.note("%s gets signal %v", e.name, signal)
	_ = e.command.Process.Signal(signal)
}

// peakMB returns the peak of the resident memory of the entry's process.
func (e *entryProcess) peakMB() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		kilobytes := 0
		n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes)
		if n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}

// kill ends the process and waits for its end.
func (s *site) kill(e *entryProcess) {
	s.signal(e, syscall.SIGKILL)
	<-e.done
}

// ready waits until all entries are ready.
func (s *site) ready(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, e := range s.entries {
		for {
			response, err := s.client.Get(fmt.Sprintf("http://%s:%d%s", e.ip, e.readiness, wire("ready")))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				s.finish(2, "entries are not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// leader returns the entry that holds the lease by its metrics, or nil.
func (s *site) leader() *entryProcess {
	for _, e := range s.entries {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:7071/metrics", e.ip), nil)
		response, err := s.client.Do(request)
		if err != nil {
			cancel()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		cancel()
		for _, line := range strings.Split(string(body), "\n") {
			if strings.HasPrefix(line, "samphirekeel_leading") && strings.HasSuffix(line, " 1") {
				return e
			}
		}
	}
	return nil
}

// call sends a caller's request and returns the status, 0 for none, and the body.
func (s *site) call(e *entryProcess, q queueSpec, method, id string, body []byte, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", e.ip, e.callers, q.prefix, id), bytes.NewReader(body))
	if err != nil {
		s.finish(2, "cannot run: %v", err)
	}
	request.Host = q.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(wire("timeoutHeader"), fmt.Sprint(timeout.Milliseconds()))
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// submit hands a job in until it is accepted or rejected for good, and returns whether it was accepted.
func (s *site) submit(q queueSpec, id string, job map[string]any, attempts int) bool {
	body, err := json.Marshal(job)
	if err != nil {
		s.finish(2, "cannot run: %v", err)
	}
	for i := range attempts {
		e := s.entries[i%len(s.entries)]
		status, _ := s.call(e, q, http.MethodPost, id, body, 3*time.Second)
		s.record.note("job %s handed in at %s: %d", id, e.name, status)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (s *site) jobState(q queueSpec, id string) string {
	for i := range 2 * len(s.entries) {
		status, body := s.call(s.entries[i%len(s.entries)], q, http.MethodGet, id, nil, 3*time.Second)
		if status == http.StatusOK {
			var decoded struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(body), &decoded)
			return decoded.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return "unknown"
}

// states returns the states of the jobs.
func (s *site) states(q queueSpec, ids []string) map[string]string {
	all := make(map[string]string)
	var mu sync.Mutex
	var group sync.WaitGroup
	limit := make(chan struct{}, 16)
	for _, id := range ids {
		group.Add(1)
		go func() {
			defer group.Done()
			limit <- struct{}{}
			state := s.jobState(q, id)
			<-limit
			mu.Lock()
			all[id] = state
			mu.Unlock()
		}()
	}
	group.Wait()
	return all
}

// finish ends all processes, writes the record and exits.
func (s *site) finish(code int, format string, args ...any) {
	result := fmt.Sprintf(format, args...)
	s.record.note("result: %s", result)
	fmt.Println(result)
	close(s.stop)
	for _, e := range s.entries {
		if e.command == nil {
			continue
		}
		_ = e.command.Process.Signal(syscall.SIGCONT)
		_ = e.command.Process.Kill()
		<-e.done
		_ = e.log.Close()
	}
	s.record.write()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
	os.Exit(code)
}
