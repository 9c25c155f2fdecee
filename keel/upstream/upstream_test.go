package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/upstream"
)

const (
	callTimeout  = 5 * time.Second
	idleTime     = 100 * time.Millisecond
	maxBodyBytes = 1 << 20
)

// endpoint is a scripted endpoint: its first connection runs script, later connections run laterScript.
type endpoint struct {
	dial, script string
	laterScript  string
	connections  atomic.Int32
}

func (e *endpoint) connect(_ string, timeout time.Duration) (net.Conn, error) {
	if e.connections.Add(1) > 1 {
		return e.open(e.laterScript), nil
	}
	switch e.dial {
	case "refuse":
		return nil, errors.New("connection refused")
	case "hang":
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	case "closed":
		conn := e.open("close")
		synctest.Wait()
		return conn, nil
	}
	return e.open(e.script), nil
}

func (e *endpoint) open(script string) net.Conn {
	near, far := net.Pipe()
	c := &scriptedConn{Conn: near, readable: make(chan struct{}, 1)}
	go c.pump()
	go runScript(far, script)
	return c
}

// scriptedConn buffers received data as a TCP connection does, so that the sender need not wait for a reader.
type scriptedConn struct {
	net.Conn
	mu       sync.Mutex
	arrived  []byte
	ended    bool
	deadline time.Time
	readable chan struct{}
}

func (c *scriptedConn) pump() {
	buffer := make([]byte, 1024)
	for {
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.arrived = append(c.arrived, buffer[:n]...)
		c.ended = err != nil
		c.mu.Unlock()
		select {
		case c.readable <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// SetDeadline sets the deadline of reads and writes.
func (c *scriptedConn) SetDeadline(deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads.
func (c *scriptedConn) SetReadDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

// Read returns buffered data, and waits for it until the deadline.
func (c *scriptedConn) Read(data []byte) (int, error) {
	for {
		c.mu.Lock()
		n := copy(data, c.arrived)
		c.arrived = c.arrived[n:]
		ended := c.ended
		c.mu.Unlock()
		switch {
		case n > 0:
			return n, nil
		case ended:
			return 0, io.EOF
		}
		select {
		case <-c.readable:
		case <-time.After(time.Until(c.deadline)):
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Reusable reports whether the connection is open and no data is buffered.
func (c *scriptedConn) Reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.arrived) == 0 && !c.ended
}

// runScript executes the steps of a script on the endpoint's side of the connection.
func runScript(conn net.Conn, script string) {
	reader := bufio.NewReader(conn)
	for script != "" {
		var step string
		step, script = nextStep(script)
		verb, value, _ := strings.Cut(step, ":")
		switch verb {
		case "read":
			read(reader, value)
		case "write":
			text, err := strconv.Unquote(value)
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, text)
		case "wait":
			duration, _ := time.ParseDuration(value)
			time.Sleep(duration)
		case "close":
			_ = conn.Close()
			return
		case "hang":
			time.Sleep(2 * callTimeout)
			_ = conn.Close()
			return
		case "serve":
			for read(reader, "") {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
			}
			_ = conn.Close()
			return
		}
	}
}

// nextStep splits off the first step of a script; a step ends at a space outside quotes.
func nextStep(script string) (step, rest string) {
	script = strings.TrimSpace(script)
	quoted := false
	for i, char := range script {
		if char == '"' {
			quoted = !quoted
		}
		if char == ' ' && !quoted {
			return script[:i], script[i+1:]
		}
	}
	return script, ""
}

// read reads a number of bytes, or a complete request if none is given.
func read(reader *bufio.Reader, number string) bool {
	if number != "" {
		n, _ := strconv.Atoi(number)
		_, err := io.ReadFull(reader, make([]byte, n))
		return err == nil
	}
	var request fasthttp.Request
	return request.Read(reader) == nil
}

// TestFailureTable sends a request for each row of the table, and then a second request, which must get its own
// response.
func TestFailureTable(t *testing.T) {
	table, err := os.ReadFile("testdata/failures.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(table)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		columns := strings.Split(line, "|")
		for i := range columns {
			columns[i] = strings.TrimSpace(columns[i])
		}
		t.Run(columns[0], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRow(t, columns) })
		})
	}
}

func runRow(t *testing.T, columns []string) {
	e := &endpoint{dial: columns[2], script: columns[3], laterScript: "serve"}
	pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
	defer time.Sleep(3 * callTimeout)
	defer pool.Close()
	began := time.Now()
	got := doCall(pool, columns[1])
	assert.Assert(t, time.Since(began) <= callTimeout)
	assert.Equal(t, got, columns[4])
	time.Sleep(idleTime)
	assert.Equal(t, doCall(pool, fasthttp.MethodPost), "ran second")
	assert.Equal(t, fmt.Sprint(e.connections.Load()), columns[5])
}

// doCall sends one request and returns the body of its response, or the kind and outcome of its failure.
func doCall(pool *upstream.Pool, method string) string {
	call := newCall(method)
	call.NonRepeatable = true
	err := pool.Do(call)
	if err != nil {
		return fmt.Sprintf("%s %s", fault.KindOf(err), fault.As(err).Outcome())
	}
	outcome := call.Response.Header.Peek(upstream.HeaderOutcome)
	return strings.TrimSpace("ran " + string(call.Response.Body()) + string(outcome))
}

func newCall(method string) *upstream.Call {
	call := &upstream.Call{
		Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Deadline: time.Now().Add(callTimeout),
		Limits: upstream.Limits{FirstByte: time.Second, Progress: time.Second, BodyBytes: maxBodyBytes},
	}
	call.Request.Header.SetMethod(method)
	call.Request.Header.Set(upstream.HeaderRequestID, "r1")
	call.Request.SetRequestURI("http://endpoint/tickets")
	if method == fasthttp.MethodPost {
		call.Request.SetBody(make([]byte, 300))
	}
	return call
}

// TestStaleConnections lets two idle connections become stale while new ones work: one request waits for the first-byte
// timeout, and the next one uses a new connection instead of the other stale one.
func TestStaleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := `read wait:1ms write:"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" read hang`
		e := &endpoint{script: script, laterScript: script}
		pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
		defer time.Sleep(3 * callTimeout)
		defer pool.Close()
		var requests sync.WaitGroup
		for range 2 {
			requests.Go(func() { assert.Check(t, pool.Do(newCall(fasthttp.MethodGet))) })
		}
		requests.Wait()
		e.laterScript = "serve"
		stale := newCall(fasthttp.MethodGet)
		began := time.Now()
		err := pool.Do(stale)
		assert.Assert(t, fault.IsKind(err, fault.EndpointTimeout))
		assert.Assert(t, stale.StaleConnection())
		assert.Equal(t, time.Since(began), time.Second)
		assert.NilError(t, pool.Do(newCall(fasthttp.MethodGet)))
		assert.Equal(t, e.connections.Load(), int32(3))
		assert.Equal(t, time.Since(began), time.Second)
	})
}

// TestProgressTimeout checks that a response that stalls within its body fails after the progress timeout, not at the
// deadline.
func TestProgressTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoint{script: `read wait:500ms write:"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfir" hang`}
		pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
		defer time.Sleep(3 * callTimeout)
		defer pool.Close()
		began := time.Now()
		err := pool.Do(newCall(fasthttp.MethodGet))
		assert.Assert(t, fault.IsKind(err, fault.EndpointTimeout))
		assert.Equal(t, time.Since(began), 1500*time.Millisecond)
	})
}

// TestNonRepeatableTakesRecentlyUsedConnections checks that a request that must not be repeated opens a new connection
// if the idle one was not used recently.
func TestNonRepeatableTakesRecentlyUsedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoint{script: "serve", laterScript: "serve"}
		pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
		defer pool.Close()
		for _, step := range []struct {
			wait          time.Duration
			nonRepeatable bool
			connections   int32
		}{{0, true, 1}, {100 * time.Millisecond, true, 1}, {time.Second, false, 1}, {time.Second, true, 2}, {time.Minute, false, 3}} {
			time.Sleep(step.wait)
			call := newCall(fasthttp.MethodPost)
			call.NonRepeatable = step.nonRepeatable
			assert.NilError(t, pool.Do(call))
			assert.Equal(t, e.connections.Load(), step.connections)
		}
	})
}
