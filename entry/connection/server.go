package connection

import (
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/memory"
)

const (
	// HeaderBufferBytes is the size of the buffer for a header on listeners of callers, and smallBufferBytes that on the others.
	HeaderBufferBytes = 20 << 10
	smallBufferBytes  = 4 << 10
	// connBytes is what an idle connection holds besides the buffer for a header: the buffer for responses, the stack of its goroutine,
	// and what is kept of its last request for the next one.
	connBytes = 24 << 10
	// maxKeptHeaderBytes and maxKeptFields bound the header whose memory is kept for the next request of the connection.
	maxKeptHeaderBytes = 4 << 10
	maxKeptFields      = 64
	// fieldBytes is the memory of a header field besides its text.
	fieldBytes = 160
	// headerCopies is how often a header's text is held: raw, parsed, and up to three times as a URI.
	headerCopies = 5
	// firstBodyBytes is the initial size of the buffer for a body.
	firstBodyBytes = 16 << 10
)

// Server serves HTTP on a listener of type Limited. Bodies are read, and memory is held for them, by ReadBody.
type Server struct {
	Handler fasthttp.RequestHandler
	// Reject writes the response to a request that can't be read.
	Reject func(ctx *fasthttp.RequestCtx, err error)
	// Set tracks the connections.
	Set *Set
	// Account holds the connections; nil means that there is no limit.
	Account  *memory.Account
	Timeouts Timeouts
	// KeepAlive is the longest time that a connection may be idle between two requests; Set.CloseIdle may close it sooner.
	KeepAlive time.Duration
	// Queues are those that the listener was opened with.
	Queues Queues
	// HeaderBytes is the size of the buffer for a header, 0 for a small one.
	HeaderBytes int
	// RequestBytes is what a request holds besides its header and bodies, in bytes.
	RequestBytes int64
	// MaxHeader returns the maximum size of a header in bytes, 0 for that of its buffer; nil is like 0.
	MaxHeader func() int
	// MaxBody returns the size in bytes above which a body is refused by ReadBody, whatever limit that is given.
	MaxBody func() int
}

// Serve serves the connections of the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	buffer := s.HeaderBytes
	if buffer == 0 {
		buffer = smallBufferBytes
	}
	server := &fasthttp.Server{
		Handler: s.serve, ErrorHandler: s.rejectUnreadable, ConnState: s.Set.Track, HeaderReceived: s.bodyConfig, Name: "samphirekeel",
		NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
		ReadBufferSize: buffer, IdleTimeout: s.KeepAlive, Concurrency: maxConcurrency, Logger: noLogger{},
		// The body is read by ReadBody; the server itself reads one byte of it.
		StreamRequestBody: true, MaxRequestBodySize: 1, DisablePreParseMultipartForm: true,
	}
	limited := &Limited{Listener: listener, Account: s.Account, ConnBytes: int64(connBytes + buffer), Timeouts: s.Timeouts, Queues: s.Queues}
	return server.Serve(limited)
}

// headerOversized marks a request whose body is announced to be too large, with its length.
const headerOversized = "X-Oversized-Body"

// bodyConfig makes the server set the deadline for the body once the header has arrived. The server would wait for the first byte of a
// body of known length; one that is refused anyway has none for it.
func (s *Server) bodyConfig(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(headerOversized)
	length := header.ContentLength()
	if length > s.MaxBody() {
		const unknownLength = -1
		header.SetContentLength(unknownLength)
		header.Set(headerOversized, strconv.Itoa(length))
	}
	return fasthttp.RequestConfig{ReadTimeout: s.Timeouts.Body}
}

// oversized reports whether the body of the request is announced to be too large.
func oversized(ctx *fasthttp.RequestCtx) bool {
	return len(ctx.Request.Header.Peek(headerOversized)) > 0
}

// maxConcurrency is above all limits of accounts.
const maxConcurrency = 1 << 20

// noLogger discards the server's messages about connections of clients that fail, one line for each.
type noLogger struct{}

// Printf does nothing.
func (noLogger) Printf(string, ...any) {}

// clientOf returns the connection of a request, or one without limits if the server was given another listener.
func clientOf(ctx *fasthttp.RequestCtx) *Conn {
	client, ok := ctx.Conn().(*Conn)
	if !ok {
		return &Conn{Conn: ctx.Conn()}
	}
	return client
}

// serve serves one request whose header has arrived.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	client := clientOf(ctx)
	header := &ctx.Request.Header
	size, fields := len(header.RawHeaders())+len(header.RequestURI()), header.Len()
	large := size > maxKeptHeaderBytes || fields > maxKeptFields
	switch {
	case !client.endHeader(s.RequestBytes + int64(headerCopies*size+fieldBytes*fields)):
		s.Reject(ctx, errNoMemory)
	case s.MaxHeader != nil && s.MaxHeader() > 0 && size > s.MaxHeader():
		s.Reject(ctx, fault.New(fault.BadRequest, "header of %d bytes, at most %d allowed", size, s.MaxHeader()))
	default:
		client.hold.SetState(memory.Busy)
		s.Handler(ctx)
	}
	s.holdResponse(ctx, client)
	client.hold.SetState(memory.Waiting)
	if ctx.Request.IsBodyStream() {
		// The server skips the rest of the body if it is short, and else closes the connection.
		_ = client.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		client.unread.Store(true)
	}
	if oversized(ctx) {
		// The server would take the body for chunks, and what follows a last chunk in it for the next request.
		ctx.SetConnectionClose()
	}
	if large {
		ctx.SetConnectionClose()
		forgetRequest(ctx)
	}
}

// holdResponse holds memory for the response until it has been written. Small ones are part of connBytes.
func (s *Server) holdResponse(ctx *fasthttp.RequestCtx, client *Conn) {
	if ctx.Response.IsBodyStream() || client.handlerHolds.Load() {
		return
	}
	size := len(ctx.Response.Body())
	if size > smallBufferBytes && !client.grow(int64(size+min(size, kernelFactor*client.queues.Sent))) {
		// The request may have run.
		s.Reject(ctx, fault.Wrap(fault.OutcomeUnknown, errNoMemory, "response of %d bytes discarded", size))
	}
}

// forgetRequest drops the memory that would be kept for the next request.
func forgetRequest(ctx *fasthttp.RequestCtx) {
	ctx.Request = fasthttp.Request{}
}

// rejectUnreadable responds to a request whose header can't be read.
func (s *Server) rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	clientOf(ctx).unread.Store(true)
	forgetRequest(ctx)
	s.Reject(ctx, err)
}

// ReadBody reads the body of the request and makes it the request's. It fails with kind TooLarge for a body above the limit, with
// Overloaded if there is no memory for it, and with BadRequest if the client doesn't send it in time or in a valid form. The connection is
// then closed after the response.
func ReadBody(ctx *fasthttp.RequestCtx, limit int) error {
	if oversized(ctx) {
		return rejectBody(ctx, fault.New(fault.TooLarge, "body of %s bytes, at most %d allowed", ctx.Request.Header.Peek(headerOversized), limit))
	}
	stream := ctx.RequestBodyStream()
	length := ctx.Request.Header.ContentLength()
	if stream == nil {
		// The body has been read already.
		length = len(ctx.Request.Body())
	}
	if length > limit {
		return rejectBody(ctx, fault.New(fault.TooLarge, "body of %d bytes, at most %d allowed", length, limit))
	}
	if stream == nil {
		return nil
	}
	client := clientOf(ctx)
	client.hold.SetState(memory.Waiting)
	body, err := client.readBody(stream, length, limit)
	if err != nil {
		return rejectBody(ctx, err)
	}
	client.hold.SetState(memory.Busy)
	ctx.Request.SetBodyRaw(body)
	return nil
}

// rejectBody returns the error of a body that isn't read to its end, after which the connection can't be used.
func rejectBody(ctx *fasthttp.RequestCtx, err error) error {
	ctx.SetConnectionClose()
	clientOf(ctx).unread.Store(true)
	return err
}

// readBody reads the body, whose announced length is negative if it isn't known. It takes memory only as bytes arrive.
func (c *Conn) readBody(stream io.Reader, length, limit int) ([]byte, error) {
	most := limit + 1
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) == most {
				break
			}
			larger := min(most, max(firstBodyBytes, 2*len(body)))
			if !c.grow(int64(larger)) {
				return nil, errNoMemory
			}
			smaller := cap(body)
			body = append(make([]byte, 0, larger), body...)
			c.release(int64(smaller))
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.hold.Note(memory.BodyTimeout)
			return nil, fault.Wrap(fault.BadRequest, err, "body not sent in time")
		case err != nil:
			return nil, unreadable(err)
		}
	}
	if length < 0 {
		return nil, fault.New(fault.TooLarge, "body of more than %d bytes", limit)
	}
	return body, nil
}

// unreadable returns the error of a body that can't be read, unless it has a kind already.
func unreadable(err error) error {
	var known *fault.Error
	if errors.As(err, &known) {
		return known
	}
	return fault.Wrap(fault.BadRequest, err, "malformed body")
}

// Hold holds memory for what is made of the request until the response has been written; it fails with kind Overloaded.
func Hold(ctx *fasthttp.RequestCtx, bytes int64) error {
	if !clientOf(ctx).grow(bytes) {
		return errNoMemory
	}
	return nil
}

// HoldResponse is Hold for the body of the response, for which the server then holds no memory of its own.
func HoldResponse(ctx *fasthttp.RequestCtx, bytes int64) error {
	clientOf(ctx).handlerHolds.Store(true)
	return Hold(ctx, bytes)
}
