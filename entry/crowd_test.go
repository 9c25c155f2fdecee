package main_test

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/platform"
	"samphirekeel.example/platform/platformtest"
)

// crowdDir holds the scripts of TestCrowds, each with one crowd of clients that don't behave.
const crowdDir = "testdata/crowd"

const (
	// quietTime is how long no client of a crowd makes progress until the crowd has settled, and maxSettleTime how long a crowd
	// that reconnects again and again is given.
	quietTime     = time.Second
	maxSettleTime = 10 * time.Second
	// sampleInterval is the interval between two samples of a process's memory and descriptors.
	sampleInterval = 10 * time.Millisecond
	// reconnectDelay is the pause of a client before it connects again.
	reconnectDelay = 5 * time.Millisecond
)

// serialT runs the scripts one after the other, since each measures the memory of its processes.
type serialT struct{ *testing.T }

func (t serialT) Parallel() {}

func (t serialT) Verbose() bool { return testing.Verbose() }

func (t serialT) Run(name string, f func(testscript.T)) {
	t.T.Run(name, func(t *testing.T) { f(serialT{t}) })
}

// crowdState holds what the commands of one script share.
type crowdState struct {
	store  *emulator.Store
	fault  *emulator.StoreFault
	crowds map[string]*crowd
	usage  map[string]*usage
	close  []func()
}

type crowdKey struct{}

func (s *crowdState) end() {
	for _, c := range s.crowds {
		c.leave()
	}
	for _, u := range s.usage {
		u.stop()
	}
	for _, f := range s.close {
		f()
	}
}

func crowdStateOf(ts *testscript.TestScript) *crowdState {
	return ts.Value(crowdKey{}).(*crowdState)
}

// TestCrowds runs the scripts in testdata/crowd: real processes on the loopback interface meet a crowd of clients beyond the limits.
// Each script checks that the process lives, that its memory and its sockets stay within the limits of its instance, and that
// ordinary requests get their responses. The scripts run one at a time, and no other test should run beside them.
func TestCrowds(t *testing.T) {
	bin := buildPrograms(t)
	commands := processCommands()
	for name, command := range map[string]func(*testscript.TestScript, bool, []string){
		"store": storeCommand, "store-fault": storeFaultCommand, "store-rows": storeRowsCommand,
		"endpoint": endpointCommand, "watch": watchCommand, "crowd": crowdCommand, "leave": leaveCommand, "within": withinCommand,
		"fill": fillCommand,
	} {
		commands[name] = command
	}
	testscript.RunT(serialT{t}, testscript.Params{
		Dir: crowdDir,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			state := &crowdState{crowds: make(map[string]*crowd), usage: make(map[string]*usage)}
			env.Values[crowdKey{}] = state
			running := processes{}
			env.Values[processesKey{}] = running
			env.Defer(running.kill)
			env.Defer(state.end)
			err := os.CopyFS(env.WorkDir, os.DirFS(filepath.Join(crowdDir, "common")))
			if err != nil {
				return err
			}
			return assignPorts(env)
		},
		Cmds: commands,
	})
}

// serve serves the handler on the address until the script ends.
func (s *crowdState) serve(ts *testscript.TestScript, address string, handler fasthttp.RequestHandler) {
	listener, err := net.Listen("tcp", address)
	ts.Check(err)
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: 64 << 20}
	go func() { _ = server.Serve(listener) }()
	s.close = append(s.close, func() { _ = listener.Close() })
}

// storeCommand starts a stand-in of the platform's store with the operator's configuration: address, file.
func storeCommand(ts *testscript.TestScript, _ bool, args []string) {
	state := crowdStateOf(ts)
	state.store = emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
	state.store.Put(table.Write{Key: table.Key{Table: platform.OperatorTable, Name: "config"}, Value: []byte(ts.ReadFile(args[1]))})
	server := &platformtest.StoreServer{Store: state.store.Client("entry")}
	state.serve(ts, args[0], server.Handle)
}

// storeFaultCommand changes how the store responds: none, or a kind of outage, and the partitions whose writes it affects if not all
// calls are.
func storeFaultCommand(ts *testscript.TestScript, _ bool, args []string) {
	state := crowdStateOf(ts)
	if state.fault != nil {
		state.store.Clear(state.fault)
		state.fault = nil
	}
	if args[0] != "none" {
		state.fault = &emulator.StoreFault{Outage: emulator.Outage(args[0]), Partitions: args[1:]}
		state.store.Inject(state.fault)
	}
}

// storeRowsCommand adds rows to the store: table, partition, number, bytes of each.
func storeRowsCommand(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[2])
	ts.Check(err)
	size, err := strconv.Atoi(args[3])
	ts.Check(err)
	for i := range count {
		key := table.Key{Table: args[0], Partition: args[1], Name: fmt.Sprintf("%016x", i)}
		crowdStateOf(ts).store.Put(table.Write{Key: key, Value: bytes.Repeat([]byte("x"), size)})
	}
}

// endpointCommand starts an endpoint whose responses have a large body: address, bytes.
func endpointCommand(ts *testscript.TestScript, _ bool, args []string) {
	size, err := strconv.Atoi(args[1])
	ts.Check(err)
	large := bytes.Repeat([]byte("x"), size)
	crowdStateOf(ts).serve(ts, args[0], func(ctx *fasthttp.RequestCtx) {
		if strings.HasSuffix(string(ctx.Path()), "/large") {
			ctx.SetBody(large)
			return
		}
		ctx.SetBodyString("done")
	})
}

// member is what one client of a crowd does.
type member struct {
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	// Send lists what each client writes, without waiting for a response.
	Send []fragment `json:"send"`
	// Times is how often each client writes this, 0 for once.
	Times int `json:"times"`
	// Reopen makes the clients read, and connect again when their connection is closed.
	Reopen bool `json:"reopen"`
}

// fragment is Text, Text repeated to Bytes bytes in all, or the bytes that Hex encodes.
type fragment struct {
	Text  string `json:"text"`
	Bytes int    `json:"bytes"`
	Hex   string `json:"hex"`
}

// writeTo writes the fragment.
func (f fragment) writeTo(w io.Writer) error {
	if f.Hex != "" {
		data, err := hex.DecodeString(f.Hex)
		if err == nil {
			_, err = w.Write(data)
		}
		return err
	}
	if f.Bytes == 0 {
		_, err := io.WriteString(w, f.Text)
		return err
	}
	block := bytes.Repeat([]byte(f.Text), max(1, (64<<10)/len(f.Text)))
	for left := f.Bytes; left > 0; left -= len(block) {
		_, err := w.Write(block[:min(left, len(block))])
		if err != nil {
			return err
		}
	}
	return nil
}

// crowd is a number of clients that write, and then keep their connections.
type crowd struct {
	member
	ended chan struct{}
	once  sync.Once
	group sync.WaitGroup
	// progress is when a client last wrote or received anything, in nanoseconds since the Unix epoch.
	progress atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// join starts the clients.
func (c *crowd) join() {
	c.ended, c.conns = make(chan struct{}), make(map[net.Conn]bool)
	c.note()
	for range c.Connections {
		c.group.Go(c.run)
	}
}

func (c *crowd) note() { c.progress.Store(time.Now().UnixNano()) }

// run is one client.
func (c *crowd) run() {
	for {
		c.visit()
		if !c.Reopen {
			return
		}
		select {
		case <-c.ended:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// visit opens a connection and uses it until it fails or the crowd ends.
func (c *crowd) visit() {
	conn, err := net.DialTimeout("tcp", c.Address, maxSettleTime)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns[conn] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
		_ = conn.Close()
	}()
	select {
	case <-c.ended:
		// The crowd has left while the connection was being opened.
		return
	default:
	}
	c.send(notingWriter{conn, c})
	if c.Reopen {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	<-c.ended
}

// send writes until it fails.
func (c *crowd) send(w io.Writer) {
	for range max(1, c.Times) {
		for _, f := range c.Send {
			err := f.writeTo(w)
			if err != nil {
				return
			}
		}
	}
}

// notingWriter records each write as progress of the crowd.
type notingWriter struct {
	io.Writer
	crowd *crowd
}

func (w notingWriter) Write(data []byte) (int, error) {
	n, err := w.Writer.Write(data)
	w.crowd.note()
	return n, err
}

// settle waits until no client makes progress, or for maxSettleTime.
func (c *crowd) settle() {
	deadline := time.Now().Add(maxSettleTime)
	for time.Now().Before(deadline) && time.Since(time.Unix(0, c.progress.Load())) < quietTime {
		time.Sleep(sampleInterval)
	}
}

// leave closes all connections and waits for the clients to end.
func (c *crowd) leave() {
	c.once.Do(func() { close(c.ended) })
	c.mu.Lock()
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// crowdCommand starts the crowd that a file describes and waits until it has settled: name, file.
func crowdCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := &crowd{}
	ts.Check(json.Unmarshal([]byte(os.Expand(ts.ReadFile(args[1]), ts.Getenv)), &c.member))
	c.join()
	crowdStateOf(ts).crowds[args[0]] = c
	c.settle()
}

// leaveCommand ends a crowd: name.
func leaveCommand(ts *testscript.TestScript, _ bool, args []string) {
	crowdStateOf(ts).crowds[args[0]].leave()
}

// usage is the largest use of memory and sockets by a process.
type usage struct {
	pid   int
	ports map[uint64]bool
	done  chan struct{}
	once  sync.Once
	group sync.WaitGroup

	mu sync.Mutex
	// bytes is resident memory and what the kernel holds for connections to the ports.
	bytes, resident, queued int64
	sockets                 int
}

// watchCommand starts to sample a process: name, ports on which it listens.
func watchCommand(ts *testscript.TestScript, _ bool, args []string) {
	u := &usage{pid: running(ts)[args[0]].Process.Pid, ports: make(map[uint64]bool), done: make(chan struct{})}
	for _, text := range args[1:] {
		port, err := strconv.ParseUint(text, 10, 16)
		ts.Check(err)
		u.ports[port] = true
	}
	crowdStateOf(ts).usage[args[0]] = u
	u.group.Go(u.run)
}

func (u *usage) run() {
	for {
		u.sample()
		select {
		case <-u.done:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (u *usage) stop() {
	u.once.Do(func() { close(u.done) })
	u.group.Wait()
}

func (u *usage) sample() {
	resident := statusBytes(u.pid, "VmRSS:")
	peak := statusBytes(u.pid, "VmHWM:")
	queued := queuedBytes(u.ports)
	sockets := openSockets(u.pid)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes = max(u.bytes, resident+queued, peak)
	u.resident, u.queued, u.sockets = max(u.resident, peak), max(u.queued, queued), max(u.sockets, sockets)
}

// statusBytes returns a field of the process's status in bytes, 0 if the process has ended.
func statusBytes(pid int, field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(data), field)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// queuedBytes returns the bytes in the kernel's queues of connections to the ports, received and not read or not yet sent.
func queuedBytes(ports map[uint64]bool) int64 {
	const listening = "0A"
	data, _ := os.ReadFile("/proc/net/tcp")
	var total int64
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseUint(hexPort, 16, 16)
		if err != nil || !ports[port] {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, text := range []string{sent, received} {
			n, _ := strconv.ParseUint(text, 16, 32)
			// The kernel prints a difference of sequence numbers, which is -1 for a moment while a connection closes.
			total += int64(max(0, int32(uint32(n))))
		}
	}
	return total
}

// openSockets returns the number of the process's open sockets.
func openSockets(pid int) int {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(directory)
	sockets := 0
	for _, e := range entries {
		target, _ := os.Readlink(filepath.Join(directory, e.Name()))
		if strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}

// withinCommand fails unless the process runs and has stayed within its bounds: name, megabytes, sockets.
func withinCommand(ts *testscript.TestScript, _ bool, args []string) {
	megabytes, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	sockets, err := strconv.Atoi(args[2])
	ts.Check(err)
	u := crowdStateOf(ts).usage[args[0]]
	u.stop()
	if statusBytes(u.pid, "VmRSS:") == 0 {
		ts.Fatalf("%s has ended\n%s", args[0], ts.ReadFile(args[0]+".err"))
	}
	ts.Logf("%s: at most %d MB resident, %d MB in the kernel's queues, %d MB together, %d sockets",
		args[0], u.resident>>20, u.queued>>20, u.bytes>>20, u.sockets)
	if u.bytes > megabytes<<20 {
		ts.Fatalf("%s has used %d MB, at most %d allowed", args[0], u.bytes>>20, megabytes)
	}
	if u.sockets > sockets {
		ts.Fatalf("%s has had %d sockets open, at most %d allowed", args[0], u.sockets, sockets)
	}
}

// fillCommand appends text, repeated to a number of bytes, to a file: file, text, bytes.
func fillCommand(ts *testscript.TestScript, _ bool, args []string) {
	size, err := strconv.Atoi(args[2])
	ts.Check(err)
	file, err := os.OpenFile(ts.MkAbs(args[0]), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	ts.Check(err)
	ts.Check(fragment{Text: args[1], Bytes: size}.writeTo(file))
	ts.Check(file.Close())
}
