package upstream

import (
	"bufio"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

// The headers by which an endpoint says more than its answer.
const (
	// HeaderOutcome with value not_run on status 429 or 503 says that the endpoint refused the request unrun.
	HeaderOutcome = "X-Outcome"
	// HeaderLeaving with any value on an answer says that the endpoint wants no new work.
	HeaderLeaving = "X-Leaving"
	// HeaderRequestID names the request; an endpoint may repeat it in its answer, which is then checked.
	HeaderRequestID = "X-Request-Id"
)

const (
	// chunkedLength is what the library gives for a chunked body.
	chunkedLength = -1
	// identityLength is what the library gives for a body that ends with its connection.
	identityLength = -2
	// maxInformational bounds the informational answers before the final one.
	maxInformational = 16
)

// Limits bounds what an endpoint may do with a connection.
type Limits struct {
	// FirstByte bounds the wait for the answer to a repeatable request; 0 leaves it to the deadline.
	FirstByte time.Duration
	// Progress bounds the wait between two parts of an answer; 0 leaves it to the deadline.
	Progress time.Duration
	// BodyBytes bounds the body of an answer; 0 doesn't.
	BodyBytes int
}

// countingConn counts the bytes of one exchange and bounds the time between two reads of the answer.
type countingConn struct {
	net.Conn
	written, received int64
	timedOut          bool
	deadline          time.Time
	progress          time.Duration
}

// Write writes to the connection and counts what was written, also when it fails half way.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read reads from the connection; after the first byte it waits no longer than the bound on progress.
func (c *countingConn) Read(data []byte) (int, error) {
	if c.received > 0 && c.progress > 0 {
		err := c.SetReadDeadline(earlier(c.deadline, c.progress))
		if err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(data)
	c.received += int64(n)
	c.timedOut = isTimeout(err)
	return n, err
}

// earlier returns the deadline, or the instant after the bound if that comes first.
func earlier(deadline time.Time, bound time.Duration) time.Time {
	limit := time.Now().Add(bound)
	if limit.Before(deadline) {
		return limit
	}
	return deadline
}

// Conn is one connection to an endpoint; it carries one request at a time.
type Conn struct {
	conn   countingConn
	reused bool
	// proved is when the connection last carried a whole answer.
	proved time.Time
}

func newConn(conn net.Conn) *Conn {
	return &Conn{conn: countingConn{Conn: conn}}
}

// Buffers are shared, since idle connections need none.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

// exchange sends the request and reads the whole answer.
// After an error the connection must be closed.
func (c *Conn) exchange(call *Call) error {
	c.conn.written = 0
	c.conn.received = 0
	c.conn.timedOut = false
	c.conn.deadline = call.Deadline
	c.conn.progress = call.Limits.Progress
	err := c.conn.SetDeadline(firstDeadline(call))
	if err != nil {
		return c.fail(err, "set deadline")
	}
	err = c.send(call.Request)
	if err != nil {
		return c.fail(err, "write request")
	}
	return c.receive(call)
}

// firstDeadline returns when the first byte of the answer must have come.
// A request that may not be repeated is on a connection that is known to work, so that it may take its time.
func firstDeadline(call *Call) time.Time {
	if !call.NonRepeatable && call.Limits.FirstByte > 0 {
		return earlier(call.Deadline, call.Limits.FirstByte)
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
	err := c.read(reader, response, call.Limits.BodyBytes)
	if err != nil {
		return err
	}
	if reader.Buffered() > 0 {
		return fault.New(fault.BadResponse, "bytes after the end of the answer")
	}
	return checkName(call.Request, response)
}

// read reads one answer; it refuses one whose end only the end of the connection would tell.
func (c *Conn) read(reader *bufio.Reader, response *fasthttp.Response, limit int) error {
	err := readHeader(reader, response)
	if err != nil {
		return c.fail(err, "read answer")
	}
	status := response.StatusCode()
	if status < fasthttp.StatusOK {
		return fault.New(fault.BadResponse, "answer with status %d", status)
	}
	if response.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if response.Header.ContentLength() == identityLength {
		return fault.New(fault.BadResponse, "answer without a length")
	}
	chunked := response.Header.ContentLength() == chunkedLength
	err = response.ReadBody(reader, limit)
	if err == nil && chunked {
		err = response.Header.ReadTrailer(reader)
	}
	if err != nil {
		return c.fail(err, "read answer")
	}
	return nil
}

// readHeader reads the header of an answer and passes over informational ones.
func readHeader(reader *bufio.Reader, response *fasthttp.Response) error {
	for range maxInformational {
		err := response.Header.Read(reader)
		if err != nil {
			return err
		}
		status := response.StatusCode()
		if status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("too many informational answers")
}

// checkName refuses an answer that names another request.
func checkName(request *fasthttp.Request, response *fasthttp.Response) error {
	sent := request.Header.Peek(HeaderRequestID)
	named := response.Header.Peek(HeaderRequestID)
	if len(named) > 0 && string(named) != string(sent) {
		return fault.New(fault.BadResponse, "answer to request %q", named)
	}
	return nil
}

// fail returns the error of a failed exchange, with outcome not_run only if no byte was written.
func (c *Conn) fail(cause error, step string) error {
	err := fault.Wrap(c.kind(cause), cause, "%s", step)
	if c.conn.written == 0 {
		return err.WithOutcome(fault.NotRun)
	}
	return err
}

func (c *Conn) kind(cause error) fault.Kind {
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
