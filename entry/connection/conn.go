package connection

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/memory"
)

const (
	// headerFactor is how much larger than its bytes a header can be once it is parsed: a field of 4 bytes takes an entry of 56 bytes, in
	// a list that may have twice its length, and two texts of 8 bytes.
	headerFactor = 32
	// writeBytes is the part of a response that a client has to read within the write timeout.
	writeBytes = 64 << 10
	// lingerTime and lingerBytes bound what is still read of a request that was refused, so that its client can read the response: the
	// kernel resets a connection that is closed with unread bytes.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// errEvicted is the error of reads from a connection that was closed for another one.
var errEvicted = fault.New(fault.Overloaded, "connection closed, as others need its memory").WithRetryAfter(retryAfter)

// errNoMemory is the error of a request for which there is no memory.
var errNoMemory = fault.New(fault.Overloaded, "too much memory in use for requests").WithRetryAfter(retryAfter)

// retryAfter is the retry delay of a caller that was refused for want of memory.
const retryAfter = time.Second

// Conn is a connection of a client whose memory is held in an account.
type Conn struct {
	net.Conn
	hold     *memory.Hold
	timeouts Timeouts
	queues   Queues

	// inRequest is set from the first byte of a request until its response was written.
	inRequest atomic.Bool
	// inHeader is set while a header is being read.
	inHeader atomic.Bool
	// held is what the request in progress holds, in bytes, and unsent what the client hadn't received of the responses to the ones before.
	held    atomic.Int64
	unsent  int64
	evicted atomic.Bool
	// handlerHolds is set if the handler holds memory for the response itself.
	handlerHolds atomic.Bool
	// unread is set if the connection is closed before the request was read.
	unread atomic.Bool

	once sync.Once
}

// Timeouts are the timeouts of a listener's connections.
type Timeouts struct {
	// Idle is the timeout of the first request of a connection, and Header that of a header from its first byte.
	Idle, Header func() time.Duration
	// Body is the timeout of a body from the end of its header.
	Body time.Duration
	// Write is the time within which a client has to read each part of a response.
	Write time.Duration
}

// grow holds further bytes for the request in progress, and returns false if there is no room.
func (c *Conn) grow(bytes int64) bool {
	if !c.hold.Grow(bytes) {
		return false
	}
	c.held.Add(bytes)
	return true
}

// requestBytes returns what a request holds besides its header and its bodies: what the kernel queues while nothing is read.
func (c *Conn) requestBytes() int64 { return int64(kernelFactor * c.queues.Received) }

// release gives back a part of what the request in progress holds.
func (c *Conn) release(bytes int64) {
	c.hold.Shrink(bytes)
	c.held.Add(-bytes)
}

// Read reads from the connection; the first byte of a header begins a request.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.evicted.Load() {
		return 0, errEvicted
	}
	if n > 0 && c.inRequest.CompareAndSwap(false, true) {
		c.inHeader.Store(true)
		c.hold.SetState(memory.Arriving)
		if !c.grow(c.requestBytes()) {
			return 0, errNoMemory
		}
	}
	if !c.inHeader.Load() {
		return n, err
	}
	if n > 0 && !c.grow(headerFactor*int64(headerLength(data[:n]))) {
		return 0, errNoMemory
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.hold.Note(memory.HeaderTimeout)
	}
	return n, err
}

// headerLength returns how many of the bytes are part of a header, if its end is among them.
func headerLength(data []byte) int {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return len(data)
	}
	return end
}

// beginHeader sets the deadline for the header of a request whose first byte has arrived.
func (c *Conn) beginHeader() {
	c.inRequest.Store(true)
	c.inHeader.Store(true)
	c.hold.SetState(memory.Arriving)
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.timeouts.Header()))
}

// endHeader replaces what is held for the header by its size once parsed, and returns false if there is no room.
func (c *Conn) endHeader(parsedBytes int64) bool {
	c.inHeader.Store(false)
	c.release(c.held.Load())
	return c.grow(c.requestBytes() + parsedBytes)
}

// endRequest gives back what the request has held.
func (c *Conn) endRequest() {
	c.inHeader.Store(false)
	c.unread.Store(false)
	c.handlerHolds.Store(false)
	c.release(c.held.Load())
	c.hold.SetState(memory.Idle)
	c.inRequest.Store(false)
	c.hold.Shrink(c.unsent)
	c.unsent = min(unsent(c.Conn), int64(kernelFactor*c.queues.Sent))
	if !c.hold.Grow(c.unsent) {
		c.evict(false)
	}
}

// SetReadDeadline sets the deadline of reads. During a request, the server sets none for the header, for which that of beginHeader
// applies, and one for the body once the header has arrived.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if c.inHeader.Load() {
		if deadline.IsZero() {
			return nil
		}
		c.inHeader.Store(false)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write writes to the connection; it fails if the client doesn't read a part within the write timeout.
func (c *Conn) Write(data []byte) (int, error) {
	if c.timeouts.Write == 0 {
		return c.Conn.Write(data)
	}
	written := 0
	for written < len(data) {
		err := c.SetWriteDeadline(time.Now().Add(c.timeouts.Write))
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+writeBytes)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.hold.Note(memory.WriteTimeout)
			c.discardQueues()
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// evict closes the connection for another one. Responses of which a client that isn't slow hasn't received the end are still sent.
func (c *Conn) evict(slow bool) {
	c.evicted.Store(true)
	if slow {
		c.discardQueues()
	}
	_ = c.Conn.Close()
}

// discardQueues makes the kernel discard what the client hasn't read when the connection is closed, which it would otherwise keep.
func (c *Conn) discardQueues() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok {
		_ = tcp.SetLinger(0)
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.once.Do(func() {
		if c.unread.Load() && !c.evicted.Load() {
			c.linger()
		}
		c.hold.Close()
	})
	return c.Conn.Close()
}

// linger ends the sending direction and reads what the client still sends, for a short time.
func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
