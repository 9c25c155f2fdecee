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
	// maxIdleTime is how long a connection may be idle before it is closed instead of reused.
	maxIdleTime = 30 * time.Second
	// maxIdleNonRepeatable is how long a connection may be idle and still carry a request that must not be repeated: a
	// complete response within this time shows that the connection works.
	maxIdleNonRepeatable = 250 * time.Millisecond
	// dialTimeout is the maximum time to open a connection.
	dialTimeout = 2 * time.Second
)

// DialFunc opens a connection to an address within the timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// Call is one request to an endpoint.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	Deadline time.Time
	// NonRepeatable is true if the request must not be sent a second time.
	NonRepeatable bool
	Limits        Limits
	// Hold holds memory for a number of bytes of the response's body before they are read, and fails if there is none; nil holds nothing.
	Hold func(bytes int64) error

	stale   bool
	leaving bool
}

// StaleConnection reports whether the call timed out on a reused connection without receiving a byte: the connection
// was probably stale, so the failure is no evidence that the endpoint is unhealthy.
func (c *Call) StaleConnection() bool { return c.stale }

// Leaving reports whether the response had HeaderLeaving: the endpoint accepts no new requests.
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

// Do sends the request on an idle connection or a new one, and reads the complete response.
// A request that must not be repeated reuses only a connection that was idle for less than maxIdleNonRepeatable.
func (p *Pool) Do(call *Call) error {
	conn, err := p.acquire(call)
	if err != nil {
		return err
	}
	err = conn.exchange(call)
	if err != nil {
		conn.Close()
		p.closeIdleIfStale(call, conn, err)
		return err
	}
	call.leaving = len(call.Response.Header.Peek(HeaderLeaving)) > 0
	call.Response.Header.Del(HeaderLeaving)
	if call.leaving || call.Response.ConnectionClose() {
		conn.Close()
	} else {
		p.release(conn)
	}
	// The header concerned the connection to the endpoint, not the one to the caller.
	call.Response.Header.ResetConnectionClose()
	err = rejection(call.Response)
	// Callers interpret this header as set by the entry.
	call.Response.Header.Del(HeaderOutcome)
	return err
}

// rejection returns an error if the response states that the endpoint rejected the request without running it, else
// nil.
func rejection(response *fasthttp.Response) error {
	status := response.StatusCode()
	if status != fasthttp.StatusTooManyRequests && status != fasthttp.StatusServiceUnavailable {
		return nil
	}
	if string(response.Header.Peek(HeaderOutcome)) != string(fault.NotRun) {
		return nil
	}
	err := fault.New(fault.EndpointRefused, "endpoint rejected the request")
	seconds, parseErr := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if parseErr == nil && seconds > 0 {
		return err.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return err
}

// closeIdleIfStale closes the idle connections after a call timed out on a reused one without receiving a byte, since
// they may be stale for the same reason.
func (p *Pool) closeIdleIfStale(call *Call, conn *Conn, err error) {
	if !conn.reused || conn.conn.received > 0 || !fault.IsKind(err, fault.EndpointTimeout) {
		return
	}
	call.stale = true
	p.closeIdle()
}

func (p *Pool) acquire(call *Call) (*Conn, error) {
	conn := p.acquireIdle(call.NonRepeatable)
	if conn != nil {
		conn.reused = true
		return conn, nil
	}
	timeout := min(dialTimeout, time.Until(call.Deadline))
	if timeout <= 0 {
		return nil, fault.New(fault.DeadlineExceeded, "deadline exceeded before connecting to %s", p.Address)
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

// acquireIdle returns the most recently used idle connection, or nil if none may carry the request.
func (p *Pool) acquireIdle(nonRepeatable bool) *Conn {
	for {
		conn := p.popIdle(nonRepeatable)
		if conn == nil {
			return nil
		}
		if Reusable(conn.conn.Conn) {
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) popIdle(nonRepeatable bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	idleTime := time.Since(conn.idleSince)
	if idleTime >= maxIdleTime {
		// The other connections have been idle for longer.
		p.closeIdleLocked()
		return nil
	}
	if nonRepeatable && idleTime >= maxIdleNonRepeatable {
		return nil
	}
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

func (p *Pool) release(conn *Conn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

// Trim closes the connections that have been idle for at least maxIdleTime.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].idleSince) >= maxIdleTime {
		p.idle[expired].Close()
		expired++
	}
	if expired > 0 {
		p.idle = append([]*Conn(nil), p.idle[expired:]...)
	}
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

func (p *Pool) closeIdleLocked() {
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// Close closes the idle connections; connections in use are closed when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
}
