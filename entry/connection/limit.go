package connection

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refusalTimeout is the timeout for writing the response to a connection beyond the limit.
	refusalTimeout = 100 * time.Millisecond
	// refusal is the response on a connection beyond the limit while none is idle.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Limited is a listener with a maximum number of open connections: beyond it, the connection that has been idle for longest is closed
// for a new one. If none is idle, the new one gets the status 503 and is closed.
type Limited struct {
	net.Listener
	// Set tracks the connections of the server that accepts them here.
	Set *Set
	// Max is the maximum number of open connections, 0 for no limit.
	Max int
	// OnFull is called, from any goroutine, with whether the new connection was refused.
	OnFull func(refused bool)

	open atomic.Int64
}

// Accept returns the next connection for which there is room.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Max != 0 && l.open.Load() >= int64(l.Max) {
			refused := !l.Set.closeLongestIdle()
			l.OnFull(refused)
			if refused {
				refuse(conn)
				continue
			}
		}
		l.open.Add(1)
		return &counted{Conn: conn, closed: func() { l.open.Add(-1) }}, nil
	}
}

// refuse responds that the request has not run, without reading it.
func refuse(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write([]byte(refusal))
	_ = conn.Close()
}

// counted is a connection that calls closed when it is closed first.
type counted struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
