package upstream

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

const (
	// maxIdle is how long a connection may lie unused before it is closed instead of reused.
	maxIdle = 30 * time.Second
	// provedFor is how long a whole answer proves that a connection works.
	provedFor = 250 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
)

// DialFunc opens a connection to an address within the timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// Call is one request to an endpoint.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	Deadline time.Time
	// NonRepeatable reports that the request must not be sent a second time.
	NonRepeatable bool
	Limits        Limits

	silent  bool
	leaving bool
}

// StaleConnection reports whether a reused connection gave no answer in time, which says little of the endpoint.
func (c *Call) StaleConnection() bool { return c.silent }

// Leaving reports whether the endpoint said that it wants no new work.
func (c *Call) Leaving() bool { return c.leaving }

// Pool holds the idle connections to one endpoint; its methods are safe for concurrent use.
type Pool struct {
	Address string
	// Dial opens a connection within the timeout.
	Dial DialFunc

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// Do sends the request on an idle connection or a new one, and reads the whole answer.
// A request that must not be repeated takes an idle connection only if that was proved just before.
func (p *Pool) Do(call *Call) error {
	conn, err := p.take(call)
	if err != nil {
		return err
	}
	err = conn.exchange(call)
	if err != nil {
		conn.Close()
		p.suspect(call, conn, err)
		return err
	}
	call.leaving = len(call.Response.Header.Peek(HeaderLeaving)) > 0
	call.Response.Header.Del(HeaderLeaving)
	if call.leaving || call.Response.ConnectionClose() {
		conn.Close()
	} else {
		p.put(conn)
	}
	// The caller's connection is not the endpoint's.
	call.Response.Header.ResetConnectionClose()
	err = refusal(call.Response)
	// The caller takes this header for the word of the entry.
	call.Response.Header.Del(HeaderOutcome)
	return err
}

// refusal returns the error of an answer that refuses the request unrun, or nil.
func refusal(response *fasthttp.Response) error {
	status := response.StatusCode()
	if status != fasthttp.StatusTooManyRequests && status != fasthttp.StatusServiceUnavailable {
		return nil
	}
	if string(response.Header.Peek(HeaderOutcome)) != string(fault.NotRun) {
		return nil
	}
	err := fault.New(fault.EndpointRefused, "the endpoint refused the request")
	seconds, parseErr := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if parseErr == nil && seconds > 0 {
		return err.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return err
}

// suspect closes the idle connections after a reused one went silent, since the same cause may have hit them.
func (p *Pool) suspect(call *Call, conn *Conn, err error) {
	if !conn.reused || conn.conn.received > 0 || !fault.IsKind(err, fault.EndpointTimeout) {
		return
	}
	call.silent = true
	p.closeIdle()
}

func (p *Pool) take(call *Call) (*Conn, error) {
	conn := p.takeIdle(call.NonRepeatable)
	if conn != nil {
		conn.reused = true
		return conn, nil
	}
	timeout := min(dialTimeout, time.Until(call.Deadline))
	if timeout <= 0 {
		return nil, fault.New(fault.DeadlineExceeded, "no time is left to connect to %s", p.Address)
	}
	opened, err := p.Dial(p.Address, timeout)
	if err == nil {
		return newConn(opened), nil
	}
	kind := fault.EndpointFailed
	if isTimeout(err) {
		kind = fault.EndpointTimeout
	}
	return nil, fault.Wrap(kind, err, "connect to %s", p.Address).WithOutcome(fault.NotRun)
}

// takeIdle returns the idle connection that was used last, or nil if none may carry the request.
func (p *Pool) takeIdle(once bool) *Conn {
	for {
		conn := p.pop(once)
		if conn == nil {
			return nil
		}
		if Quiet(conn.conn.Conn) {
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) pop(once bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	age := time.Since(conn.proved)
	if age >= maxIdle {
		// The others are older.
		p.dropIdle()
		return nil
	}
	if once && age >= provedFor {
		return nil
	}
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

func (p *Pool) put(conn *Conn) {
	conn.proved = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// Trim closes the connections that have been idle for too long.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := 0
	for old < len(p.idle) && time.Since(p.idle[old].proved) >= maxIdle {
		p.idle[old].Close()
		old++
	}
	if old > 0 {
		p.idle = append([]*Conn(nil), p.idle[old:]...)
	}
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle()
}

func (p *Pool) dropIdle() {
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// Close closes the idle connections, and each other one when its request has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
}
