// Command stage plays a script: it starts entries of the daemon and stands in for the platform, its workers and the callers.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held = iota
	broken
	failedToRun
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *bufio.Writer
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// entry is one process of the daemon.
type entry struct {
	name, callers string
	command       *exec.Cmd
	ended         atomic.Bool
}

// stage is the installation that a script plays on.
type stage struct {
	record  *record
	store   *store
	fleet   *fleet
	cloud   *cloud
	entries []*entry
	folder  string
	trouble bool
	client  http.Client
}

func listen(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

var current *stage

func fail(err error) {
	fmt.Fprintln(os.Stderr, "stage:", err)
	if current != nil {
		current.end()
	}
	os.Exit(failedToRun)
}

// crashAfter is the time from the start of a task to the crash of its worker in the script late.
var crashAfter = flag.Duration("after", 6*time.Second, "time from the start of a task that crashes its workers to the crash")

func main() {
	script := flag.String("script", "", "name of the script")
	program := flag.String("program", "target/samphirekeel", "the daemon")
	recordPath := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	file, err := os.Create(*recordPath)
	if err != nil {
		fail(err)
	}
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		fail(err)
	}
	s := &stage{record: &record{began: time.Now(), out: bufio.NewWriter(file)}, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	current = s
	s.store = newStore()
	s.store.note = s.record.write
	s.fleet = newFleet(s.store, s.record)
	s.cloud = &cloud{fleet: s.fleet}
	play, ok := scripts[*script]
	if !ok {
		fail(fmt.Errorf("no script %q", *script))
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		fail(fmt.Errorf("stopped by signal %v", <-stopped))
	}()
	result := play(s, *program)
	s.end()
	s.record.write("result %d", result)
	os.Exit(result)
}

func (s *stage) end() {
	for _, e := range s.entries {
		_ = e.command.Process.Kill()
	}
	for _, e := range s.entries {
		for !e.ended.Load() {
			time.Sleep(10 * time.Millisecond)
		}
	}
	_ = os.RemoveAll(s.folder)
}

// bounds are those of a small installation.
const bounds = `  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 2000
  graceS: 6
  lostSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxSkewMs: 5000
  recoveryS: 12
  holdMaxMs: 6000
  stopTimeoutMs: 900
  gangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  remoteFactor: 2
  checkpointS: 1
  restoreMs: 600
  noticeMs: 4500
  moveS: 1.5
  upkeepS: 2
  fencingRequired: true
  leaseMs: 3000
  thawMs: 300
  paceMs: 100
  harmMs: 4000
`

// freeNet returns the third number of loopback addresses of which n have their ports free.
func freeNet(n int) int {
	const nets = 200
	for i := range nets {
		base := 20 + (os.Getpid()+i)%nets
		var held []net.Listener
		free := true
		for k := range n {
			for _, port := range []int{7060, 7071, 8622, 8624} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", base, k+11, port))
				if err != nil {
					free = false
					continue
				}
				held = append(held, l)
			}
		}
		for _, l := range held {
			_ = l.Close()
		}
		if !free {
			continue
		}
		return base
	}
	fail(fmt.Errorf("no free ports"))
	return 0
}

// start starts n entries, one in each of up to three zones, and waits until they serve.
func (s *stage) start(program string, n int) {
	storeAddress, cloudAddress := listen(s.store), listen(s.cloud)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	base := freeNet(n)
	for i := range n {
		ip := fmt.Sprintf("127.0.%d.%d", base, i+11)
		name := fmt.Sprintf("edge-%d", i+1)
		e := &entry{name: name, callers: ip + ":8624"}
		settings := fmt.Sprintf("node: %q\nip: %q\nzone: %q\nzones:\n", name, ip, zones[i%len(zones)])
		for _, z := range zones {
			settings += fmt.Sprintf("  %s: \"region\"\n", z)
		}
		settings += fmt.Sprintf("listenAddrs:\n  frontend: \"%s:8624\"\n  readiness: \"%s:8622\"\ninternalPorts:\n  - 7060\n  - 7070\n", ip, ip)
		settings += "bootstrap: true\nlimits:\n  cpuShare: 0.4\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n"
		settings += "heartbeatMs: 1500\nbounds:\n" + bounds + "orders: \"invocation\"\n"
		settings += fmt.Sprintf("platform:\n  address: %q\n  form: \"table\"\n  writesPerS: 800\n  readsPerS: 2000\n  txMs: 8.0\n  partitionWritesS: 150\n  rowBytes: 65536\n  across: false\n  historyS: 20\n", storeAddress)
		settings += fmt.Sprintf("cloud:\n  address: %q\n  ratePerS: 64.0\n  dutyPerS: 64.0\n", cloudAddress)
		path := filepath.Join(s.folder, name+".yaml")
		err := os.WriteFile(path, []byte(settings), 0o600)
		if err != nil {
			fail(err)
		}
		log, err := os.Create(filepath.Join(s.folder, name+".log"))
		if err != nil {
			fail(err)
		}
		e.command = exec.Command(program, "--metrics-port", "7071")
		e.command.Env = append(os.Environ(), "SAMPHIREKEEL_SETTINGS="+path)
		e.command.Stdout, e.command.Stderr = log, log
		if os.Getenv("KEEP") != "" {
			out, _ := os.Create(os.Getenv("KEEP") + "-" + name + ".log")
			e.command.Stdout, e.command.Stderr = out, out
		}
		err = e.command.Start()
		if err != nil {
			fail(err)
		}
		s.entries = append(s.entries, e)
		go func() {
			err := e.command.Wait()
			e.ended.Store(true)
			s.record.write("%s has ended: %v", e.name, err)
		}()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for {
			if e.ended.Load() {
				fail(fmt.Errorf("%s has ended", e.name))
			}
			resp, err := s.client.Get("http://" + strings.Replace(e.callers, ":8624", ":8622", 1) + "/v1/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fail(fmt.Errorf("%s isn't ready", e.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(200 * time.Millisecond)
	for _, e := range s.entries {
		if e.ended.Load() {
			fail(fmt.Errorf("%s has ended", e.name))
		}
	}
	s.record.write("%d entries are ready", n)
}

// queueHost is the host of all queues.
const queueHost = "queues.example"

// configure writes a configuration with one queue for each pool.
func (s *stage) configure(version int, attempts int, pools ...string) {
	routes, services := []object{}, []object{}
	for i, p := range pools {
		routes = append(routes, object{
			"name": "queue-" + p, "host": queueHost, names["prefix"]: "/" + p + "/", "service": p, "timeoutMs": 3000, names["target"]: 600, "stretch": 1.6,
			"maxAttempts": attempts, "priority": i,
		})
		services = append(services, object{"name": p, "healthPath": "/health", names["enforced"]: false, "spare": false})
	}
	s.store.put(rowKey{table: "op", key: "config"}, object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
}

// call sends one request of a caller that waits for 3 s, and returns the status and the body.
func (s *stage) call(e *entry, method, path string, body any) (int, object) {
	return s.callWithin(e, method, path, body, 3*time.Second)
}

func (s *stage) callWithin(e *entry, method, path string, body any, limit time.Duration) (int, object) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			fail(err)
		}
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequest(method, "http://"+e.callers+path, content)
	if err != nil {
		fail(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Time-Budget-Ms", fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Timeout: limit + time.Second}
	resp, err := client.Do(req)
	if err != nil {
		s.record.write("%s %s at %s: no answer", method, path, e.name)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer object
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	s.record.write("%s %s at %s: %d %v", method, path, e.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands a job in, with what its tasks do on the workers by step.
func (s *stage) submit(e *entry, pool, id string, steps []object, info []stepInfo) {
	s.fleet.mu.Lock()
	for i, step := range info {
		s.fleet.steps[fmt.Sprintf("%s.%d", id, i)] = step
	}
	s.fleet.mu.Unlock()
	status, _ := s.call(e, "POST", "/"+pool+"/"+id, object{"spec": "work " + id, "steps": steps})
	if status < 200 || status > 299 {
		fail(fmt.Errorf("job %s isn't accepted: %d", id, status))
	}
}

// state asks for a job's state.
func (s *stage) state(e *entry, pool, id string) string {
	_, answer := s.call(e, "GET", "/"+pool+"/"+id, nil)
	if answer == nil {
		return ""
	}
	return answer.text("state")
}
