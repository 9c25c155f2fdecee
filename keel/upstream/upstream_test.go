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
	callTimeout = 5 * time.Second
	idleBetween = 100 * time.Millisecond
	largestBody = 1 << 20
)

// endpoint is a scripted endpoint whose first connection follows one script and whose later ones follow another.
type endpoint struct {
	dial, script string
	// next is the script of later connections.
	next  string
	conns atomic.Int32
}

func (e *endpoint) connect(_ string, timeout time.Duration) (net.Conn, error) {
	if e.conns.Add(1) > 1 {
		return e.open(e.next), nil
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
	c := &scriptedConn{Conn: near, news: make(chan struct{}, 1)}
	go c.pump()
	go follow(far, script)
	return c
}

// scriptedConn receives like a TCP connection: what was sent is there to be read even if nobody reads yet.
type scriptedConn struct {
	net.Conn
	mu       sync.Mutex
	arrived  []byte
	ended    bool
	deadline time.Time
	news     chan struct{}
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
		case c.news <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// SetDeadline bounds reads and writes.
func (c *scriptedConn) SetDeadline(deadline time.Time) error {
	_ = c.SetReadDeadline(deadline)
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline bounds reads of what arrived.
func (c *scriptedConn) SetReadDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

// Read returns what arrived, and waits for it until the deadline.
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
		case <-c.news:
		case <-time.After(time.Until(c.deadline)):
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Quiet reports whether nothing arrived.
func (c *scriptedConn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.arrived) == 0 && !c.ended
}

// follow does the steps of a script on the endpoint's end.
func follow(conn net.Conn, script string) {
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

// nextStep cuts the first step off a script; a step ends at a space outside quotes.
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

// read reads a number of bytes, or a whole request if none is given.
func read(reader *bufio.Reader, number string) bool {
	if number != "" {
		n, _ := strconv.Atoi(number)
		_, err := io.ReadFull(reader, make([]byte, n))
		return err == nil
	}
	var request fasthttp.Request
	return request.Read(reader) == nil
}

// TestFailureTable runs each row of the table, and then a second request that must get its own answer.
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
	e := &endpoint{dial: columns[2], script: columns[3], next: "serve"}
	pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
	defer time.Sleep(3 * callTimeout)
	defer pool.Close()
	began := time.Now()
	got := call(pool, columns[1])
	assert.Assert(t, time.Since(began) <= callTimeout)
	assert.Equal(t, got, columns[4])
	time.Sleep(idleBetween)
	assert.Equal(t, call(pool, fasthttp.MethodPost), "ran second")
	assert.Equal(t, fmt.Sprint(e.conns.Load()), columns[5])
}

// call sends one request and returns its answer's body, or the kind and outcome of its failure.
func call(pool *upstream.Pool, method string) string {
	one := newCall(method)
	one.NonRepeatable = true
	err := pool.Do(one)
	if err != nil {
		return fmt.Sprintf("%s %s", fault.KindOf(err), fault.As(err).Outcome())
	}
	outcome := one.Response.Header.Peek(upstream.HeaderOutcome)
	return strings.TrimSpace("ran " + string(one.Response.Body()) + string(outcome))
}

func newCall(method string) *upstream.Call {
	one := &upstream.Call{
		Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Deadline: time.Now().Add(callTimeout),
		Limits: upstream.Limits{FirstByte: time.Second, Progress: time.Second, BodyBytes: largestBody},
	}
	one.Request.Header.SetMethod(method)
	one.Request.Header.Set(upstream.HeaderRequestID, "r1")
	one.Request.SetRequestURI("http://endpoint/tickets")
	if method == fasthttp.MethodPost {
		one.Request.SetBody(make([]byte, 300))
	}
	return one
}

// TestSilentConnections has two connections go silent while new ones work: the bound holds for one request, and the
// sibling is not used.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := `read wait:1ms write:"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" read hang`
		e := &endpoint{script: script, next: script}
		pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
		defer time.Sleep(3 * callTimeout)
		defer pool.Close()
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { assert.Check(t, pool.Do(newCall(fasthttp.MethodGet))) })
		}
		both.Wait()
		e.next = "serve"
		silent := newCall(fasthttp.MethodGet)
		began := time.Now()
		err := pool.Do(silent)
		assert.Assert(t, fault.IsKind(err, fault.EndpointTimeout))
		assert.Assert(t, silent.StaleConnection())
		assert.Equal(t, time.Since(began), time.Second)
		assert.NilError(t, pool.Do(newCall(fasthttp.MethodGet)))
		assert.Equal(t, e.conns.Load(), int32(3))
		assert.Equal(t, time.Since(began), time.Second)
	})
}

// TestProgress has an answer stop half way: the wait is bounded by the progress, not by the deadline.
func TestProgress(t *testing.T) {
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

// TestOnceTakesProvedConnections has a request that must not be repeated pass over an idle connection.
func TestOnceTakesProvedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoint{script: "serve", next: "serve"}
		pool := &upstream.Pool{Address: "endpoint", Dial: e.connect}
		defer pool.Close()
		for _, step := range []struct {
			wait  time.Duration
			once  bool
			conns int32
		}{{0, true, 1}, {100 * time.Millisecond, true, 1}, {time.Second, false, 1}, {time.Second, true, 2}, {time.Minute, false, 3}} {
			time.Sleep(step.wait)
			one := newCall(fasthttp.MethodPost)
			one.NonRepeatable = step.once
			assert.NilError(t, pool.Do(one))
			assert.Equal(t, e.conns.Load(), step.conns)
		}
	})
}
