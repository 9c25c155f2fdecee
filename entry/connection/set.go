package connection

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// closeTimeout is the longest time that Finish waits for inactive connections to close.
const closeTimeout = 2 * time.Second

// Set holds the states of a server's open connections; its methods may be called by any goroutine.
type Set struct {
	mu     sync.Mutex
	states map[net.Conn]tracked
	// changed is closed at the next change of a state; nil if no goroutine waits for one.
	changed chan struct{}
}

// tracked is a state of a connection and when it began.
type tracked struct {
	state fasthttp.ConnState
	since time.Time
}

// Track records a change of a connection's state; it is used as the server's ConnState.
func (c *Set) Track(conn net.Conn, state fasthttp.ConnState) {
	client, ok := conn.(*Conn)
	switch {
	case ok && state == fasthttp.StateActive:
		client.beginHeader()
	case ok && state == fasthttp.StateIdle:
		client.endRequest()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = make(map[net.Conn]tracked)
	}
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(c.states, conn)
	default:
		c.states[conn] = tracked{state: state, since: time.Now()}
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Active returns the number of connections on which a request is being read or served.
func (c *Set) Active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active()
}

// Finish waits until the requests in progress have been served or ctx ends, then closes the inactive connections and
// waits for at most closeTimeout until none is open.
func (c *Set) Finish(ctx context.Context) {
	c.waitInactive(ctx)
	c.closeInactive()
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	c.waitClosed(closeCtx)
}

func (c *Set) active() int {
	count := 0
	for _, t := range c.states {
		if t.state == fasthttp.StateActive {
			count++
		}
	}
	return count
}

// waitInactive waits until no request is being read or served, or ctx ends.
func (c *Set) waitInactive(ctx context.Context) {
	c.wait(ctx, func() bool { return c.active() == 0 })
}

// waitClosed waits until no connection is open, or ctx ends.
func (c *Set) waitClosed(ctx context.Context) {
	c.wait(ctx, func() bool { return len(c.states) == 0 })
}

func (c *Set) wait(ctx context.Context, condition func() bool) {
	for {
		c.mu.Lock()
		if condition() {
			c.mu.Unlock()
			return
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// closeInactive closes the connections on which no request is being read or served.
func (c *Set) closeInactive() {
	c.mu.Lock()
	var inactive []net.Conn
	for conn, t := range c.states {
		if t.state != fasthttp.StateActive {
			inactive = append(inactive, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range inactive {
		_ = conn.Close()
	}
}

// CloseIdle closes the connections that have been idle for longer than the time. Nothing is written on them, which a caller could take
// for the response to a request that it sends at that moment.
func (c *Set) CloseIdle(longerThan time.Duration) {
	c.mu.Lock()
	var idle []net.Conn
	for conn, t := range c.states {
		if t.state == fasthttp.StateIdle && time.Since(t.since) > longerThan {
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}
