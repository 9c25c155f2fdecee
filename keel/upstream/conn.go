package upstream

import (
	"bufio"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

// The headers of requests to endpoints and of their responses.
const (
	// HeaderOutcome with value not_run on a response with status 429 or 503 means that the endpoint rejected the
	// request without running it.
	HeaderOutcome = "X-Outcome"
	// HeaderLeaving with any value on a response means that the endpoint accepts no new requests.
	HeaderLeaving = "X-Leaving"
	// HeaderRequestID identifies the request; if an endpoint repeats it in its response, it must match.
	HeaderRequestID = "X-Request-Id"
)

const (
	// lengthChunked is fasthttp's content length of a chunked body.
	lengthChunked = -1
	// lengthUntilClose is fasthttp's content length of a body that ends when the connection is closed.
	lengthUntilClose = -2
	// maxInformationalResponses is the maximum number of informational (1xx) responses before the final one.
	maxInformationalResponses = 16
)

// Limits holds the timeouts and the maximum size of a response.
type Limits struct {
	// FirstByte is the timeout for the first byte of the response to a repeatable request; 0 means until the deadline.
	FirstByte time.Duration
	// Progress is the timeout of each read after the first byte of a response; 0 means until the deadline.
	Progress time.Duration
	// BodyBytes is the maximum size of a response body in bytes; 0 means no limit.
	BodyBytes int
}

// countingConn counts the bytes written and received during one exchange and applies progressTimeout to reads.
type countingConn struct {
	net.Conn
	written, received int64
	timedOut          bool
	deadline          time.Time
	progressTimeout   time.Duration
	// hold holds memory for received bytes of a body whose length isn't known; nil holds nothing.
	hold func(bytes int64) error
}

// chunkedCopies is how often a body of unknown length is held: its buffer may be twice as large.
const chunkedCopies = 2

// Write writes to the connection and counts the bytes written, including those of a partial write.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read reads from the connection; after the first byte it fails if no byte arrives within progressTimeout.
func (c *countingConn) Read(data []byte) (int, error) {
	if c.received > 0 && c.progressTimeout > 0 {
		err := c.SetReadDeadline(earlierDeadline(c.deadline, c.progressTimeout))
		if err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(data)
	c.received += int64(n)
	c.timedOut = isTimeout(err)
	if c.hold != nil && n > 0 {
		holdErr := c.hold(chunkedCopies * int64(n))
		if holdErr != nil {
			return 0, holdErr
		}
	}
	return n, err
}

// earlierDeadline returns the earlier of the deadline and the time at which the timeout expires.
func earlierDeadline(deadline time.Time, timeout time.Duration) time.Time {
	limit := time.Now().Add(timeout)
	if limit.Before(deadline) {
		return limit
	}
	return deadline
}

// Conn is one connection to an endpoint; it carries one request at a time.
type Conn struct {
	conn   countingConn
	reused bool
	// idleSince is when the connection last finished a complete response.
	idleSince time.Time
}

func newConn(conn net.Conn) *Conn {
	return &Conn{conn: countingConn{Conn: conn}}
}

// Buffers are pooled across connections, so that idle connections hold none.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

// exchange sends the request and reads the complete response.
// After an error the connection must be closed.
func (c *Conn) exchange(call *Call) error {
	c.conn.written = 0
	c.conn.received = 0
	c.conn.timedOut = false
	c.conn.deadline = call.Deadline
	c.conn.progressTimeout = call.Limits.Progress
	err := c.conn.SetDeadline(firstByteDeadline(call))
	if err != nil {
		return c.exchangeError(err, "set deadline")
	}
	err = c.send(call.Request)
	if err != nil {
		return c.exchangeError(err, "write request")
	}
	return c.receive(call)
}

// firstByteDeadline returns the deadline for the first byte of the response.
// A request that must not be repeated is on a new or recently used connection, so no first-byte timeout applies.
func firstByteDeadline(call *Call) time.Time {
	if !call.NonRepeatable && call.Limits.FirstByte > 0 {
		return earlierDeadline(call.Deadline, call.Limits.FirstByte)
	}
	return call.Deadline
}

func (c *Conn) send(request *fasthttp.Request) error {
	writer := writers.Get().(*bufio.Writer)
	defer writers.Put(writer)
	writer.Reset(&c.conn)
	err := request.Write(writer)
	if err != nil {
		return err
	}
	return writer.Flush()
}

func (c *Conn) receive(call *Call) error {
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	reader.Reset(&c.conn)
	response := call.Response
	response.Reset()
	response.SkipBody = call.Request.Header.IsHead()
	err := c.readResponse(reader, call)
	if err != nil {
		return err
	}
	if reader.Buffered() > 0 {
		return fault.New(fault.BadResponse, "unexpected bytes after the end of the response")
	}
	return checkRequestID(call.Request, response)
}

// readResponse reads one response; it rejects one whose body would end only when the connection is closed, since a
// truncated body could not be told from a complete one.
func (c *Conn) readResponse(reader *bufio.Reader, call *Call) error {
	response := call.Response
	err := readHeader(reader, response)
	if err != nil {
		return c.exchangeError(err, "read response")
	}
	status := response.StatusCode()
	if status < fasthttp.StatusOK {
		return fault.New(fault.BadResponse, "response with status %d", status)
	}
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if response.Header.ContentLength() == lengthUntilClose {
		return fault.New(fault.BadResponse, "response without a content length")
	}
	err = c.readBody(reader, call)
	if err != nil {
		return c.exchangeError(err, "read response")
	}
	return nil
}

// readBody reads the body of a response after memory has been held for it.
func (c *Conn) readBody(reader *bufio.Reader, call *Call) error {
	response := call.Response
	length := response.Header.ContentLength()
	tooLarge := call.Limits.BodyBytes > 0 && length > call.Limits.BodyBytes
	if length == lengthChunked || tooLarge {
		c.conn.hold = call.Hold
		defer func() { c.conn.hold = nil }()
		err := response.ReadBody(reader, call.Limits.BodyBytes)
		if err != nil || length != lengthChunked {
			return err
		}
		return response.Header.ReadTrailer(reader)
	}
	if call.Hold != nil {
		err := call.Hold(int64(length))
		if err != nil {
			return err
		}
	}
	// The body isn't one of the library's buffers, which keep their size for the next response.
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	if err != nil {
		return err
	}
	response.SetBodyRaw(body)
	return nil
}

// readHeader reads the header of a response and skips informational responses.
func readHeader(reader *bufio.Reader, response *fasthttp.Response) error {
	for range maxInformationalResponses {
		err := response.Header.Read(reader)
		if err != nil {
			return err
		}
		status := response.StatusCode()
		if status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("too many informational responses")
}

// checkRequestID rejects a response with the ID of another request.
func checkRequestID(request *fasthttp.Request, response *fasthttp.Response) error {
	sent := request.Header.Peek(HeaderRequestID)
	received := response.Header.Peek(HeaderRequestID)
	if len(received) > 0 && string(received) != string(sent) {
		return fault.New(fault.BadResponse, "response to request %q", received)
	}
	return nil
}

// exchangeError returns the error of a failed exchange, with outcome not_run if no byte was written.
func (c *Conn) exchangeError(cause error, step string) error {
	if fault.IsKind(cause, fault.Overloaded) {
		// The limit is this entry's own; it tells nothing of the endpoint, and the request may have run.
		return fault.Wrap(fault.Overloaded, cause, "%s", step).WithOutcome(fault.Unknown)
	}
	err := fault.Wrap(c.errorKind(cause), cause, "%s", step)
	if c.conn.written == 0 {
		return err.WithOutcome(fault.NotRun)
	}
	return err
}

func (c *Conn) errorKind(cause error) fault.Kind {
	switch {
	case c.conn.timedOut || isTimeout(cause):
		return fault.EndpointTimeout
	case c.conn.received > 0:
		return fault.BadResponse
	}
	return fault.EndpointFailed
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }
