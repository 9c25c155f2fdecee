package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/memory"
)

const (
	// readTimeoutFactor is the read timeout of a link as a multiple of Node.Timeout; the receiver closes a link on
	// which no byte arrives for that long.
	readTimeoutFactor = 10
	// maxBackoffRounds is the maximum number of heartbeat rounds from one failure to connect to the next attempt.
	maxBackoffRounds = 8
	// maxConcurrentRowResponses is the maximum number of responses with rows that are built and sent at the same time.
	maxConcurrentRowResponses = 2
	// codeBusy is the JSON-RPC error code of a request for rows that exceeds maxConcurrentRowResponses.
	codeBusy = -32001
)

// Node holds this entry's links to its peers and serves their calls; its methods are safe for concurrent use.
type Node struct {
	Log *event.Log
	// Dial opens a connection to a peer within the timeout.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Timeout is the timeout of a call and of the opening of a link.
	Timeout time.Duration
	// Heartbeat returns the heartbeat to send.
	Heartbeat func() Heartbeat
	// OnHeartbeat is called with each heartbeat of a peer.
	OnHeartbeat func(Heartbeat)
	// ServeRows serves a request for rows.
	ServeRows func(RowsRequest) RowsResult
	// ServeClaimQuery serves a query for the state of a claim.
	ServeClaimQuery func(context.Context, claim.HolderQuery) claim.HolderResponse
	// OnJobsChanged is called when a peer has notified that job rows of the pool have changed.
	OnJobsChanged func(pool string)
	// Methods holds further methods by name.
	Methods map[string]Method
	// Account holds the memory of the connections that peers open; nil means that there is no limit.
	Account *memory.Account

	rowResponses atomic.Int64

	mu    sync.Mutex
	links map[string]*link
	// accepted holds the connections that peers opened.
	accepted map[*jsonrpc2.Conn]bool
}

// Method decodes the parameters of a request and returns its result.
type Method func(ctx context.Context, request *jsonrpc2.Request) (any, error)

// NewMethod returns a Method that decodes the parameters of type In and calls serve.
func NewMethod[In, Out any](serve func(context.Context, In) Out) Method {
	return func(ctx context.Context, request *jsonrpc2.Request) (any, error) {
		return serveRequest(request, func(in In) Out { return serve(ctx, in) })
	}
}

// NewAttachedMethod returns a Method that calls serve with the attachment of the request; its error is the response.
func NewAttachedMethod(serve func(context.Context, Attachment) error) Method {
	return func(ctx context.Context, request *jsonrpc2.Request) (any, error) {
		if request.Params == nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no attachment"}
		}
		err := serve(ctx, Attachment(*request.Params))
		if err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return struct{}{}, nil
	}
}

// link is the outgoing link to one address.
type link struct {
	conn *jsonrpc2.Conn
	// opening is the attempt in progress to open the link, nil if there is none.
	opening *opening
	// heartbeatInFlight is true from the start of a heartbeat until its response or failure.
	heartbeatInFlight bool
	// failures is the number of failures to connect since the last success.
	failures int
	// skipRounds is the number of heartbeat rounds to skip before the next attempt to connect.
	skipRounds int
}

// Serve serves peers on the listener until ctx ends.
func (n *Node) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(fault.Internal, err, "accept peer")
		}
		hold, ok := n.Account.Add(connBytes, func(bool) { _ = conn.Close() })
		if !ok {
			_ = conn.Close()
			continue
		}
		n.trackAccepted(n.newConn(ctx, conn, &inbound{hold: hold, timeout: readTimeoutFactor * n.Timeout}), hold)
	}
}

// trackAccepted records an accepted connection until it is closed, so that Close closes it.
func (n *Node) trackAccepted(conn *jsonrpc2.Conn, hold *memory.Hold) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted == nil {
		n.accepted = make(map[*jsonrpc2.Conn]bool)
	}
	n.accepted[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		hold.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.accepted, conn)
	}()
}

func (n *Node) newConn(ctx context.Context, conn net.Conn, in *inbound) *jsonrpc2.Conn {
	timed := &timedConn{Conn: conn, readTimeout: readTimeoutFactor * n.Timeout, writeTimeout: n.Timeout}
	c := &codec{inbound: in}
	stream := jsonrpc2.NewBufferedStream(timed, c)
	// jsonrpc2 drops a late response by its ID, and would write a line to standard error for each.
	noLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, stream, handler{HandlerWithErrorConfigurer: jsonrpc2.HandlerWithError(n.handle), node: n, inbound: in}, noLog, jsonrpc2.OnSend(c.onSend), jsonrpc2.OnRecv(c.onReceive))
}

// handler serves the heartbeats of a connection in the order of arrival and all other requests concurrently.
type handler struct {
	*jsonrpc2.HandlerWithErrorConfigurer
	node    *Node
	inbound *inbound
}

// Handle serves one request.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	served := h.inbound.serve()
	if request.Method == MethodHeartbeat {
		defer served()
		h.HandlerWithErrorConfigurer.Handle(ctx, conn, request)
		return
	}
	go func() {
		defer served()
		if request.Method == MethodRows {
			h.handleRows(ctx, conn, request)
			return
		}
		h.HandlerWithErrorConfigurer.Handle(ctx, conn, request)
	}()
}

// handleRows limits the concurrent responses with rows, each of which holds memory until its peer has read it.
// A rejected peer retries, here or at another peer.
func (h handler) handleRows(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	concurrent := h.node.rowResponses.Add(1)
	if concurrent > maxConcurrentRowResponses {
		h.node.rowResponses.Add(-1)
		// The peer finds out by its timeout if the response can't be sent.
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: codeBusy, Message: "too many concurrent requests for rows"})
		return
	}
	defer h.node.rowResponses.Add(-1)
	h.HandlerWithErrorConfigurer.Handle(ctx, conn, request)
}

func (n *Node) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	switch request.Method {
	case MethodHeartbeat:
		return serveRequest(request, func(heartbeat Heartbeat) struct{} { n.OnHeartbeat(heartbeat); return struct{}{} })
	case MethodRows:
		return serveRequest(request, n.ServeRows)
	case MethodJobsChanged:
		return serveRequest(request, func(notice JobsChanged) struct{} { n.OnJobsChanged(notice.Pool); return struct{}{} })
	case MethodQueryClaim:
		return serveRequest(request, func(query claim.HolderQuery) claim.HolderResponse { return n.ServeClaimQuery(ctx, query) })
	}
	method, ok := n.Methods[request.Method]
	if ok {
		return method(ctx, request)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
}

// Call calls a method of the peer at the address; in is an Attachment for a method that takes one.
func (n *Node) Call(ctx context.Context, address, method string, in, out any) error {
	return call(ctx, n, address, method, in, out)
}

// CallWithTimeout calls a method with its own timeout, which may exceed the node's; if it expires, the link stays open.
// It fails with outcome not_run if the peer can't be reached, and unknown if the call fails after that.
func (n *Node) CallWithTimeout(ctx context.Context, timeout time.Duration, address, method string, in, out any) error {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = conn.Call(callCtx, method, in, out)
	if err != nil {
		return fault.Wrap(fault.NotReady, err, "peer %s", address).WithOutcome(fault.Unknown)
	}
	return nil
}

// serveRequest decodes the parameters of a request and returns the result of serve.
func serveRequest[In, Out any](request *jsonrpc2.Request, serve func(In) Out) (any, error) {
	if request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	var in In
	err := json.Unmarshal(*request.Params, &in)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return serve(in), nil
}

// Broadcast starts a heartbeat to each address and returns without waiting. It skips addresses whose last heartbeat is
// still in flight, and for some rounds those that can't be reached. It closes the links to addresses not in known.
func (n *Node) Broadcast(ctx context.Context, addresses []string, known map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closeUnknownLocked(known)
	for _, address := range addresses {
		l := n.linkLocked(address)
		if l.heartbeatInFlight || l.skipRounds > 0 {
			l.skipRounds = max(0, l.skipRounds-1)
			continue
		}
		l.heartbeatInFlight = true
		go n.sendHeartbeat(ctx, address, l)
	}
}

// closeUnknownLocked closes the links to addresses that are not in known.
func (n *Node) closeUnknownLocked(known map[string]bool) {
	for address, l := range n.links {
		if known[address] || l.heartbeatInFlight {
			continue
		}
		if l.conn != nil {
			_ = l.conn.Close()
		}
		delete(n.links, address)
	}
}

// sendHeartbeat sends one heartbeat and waits for the response, so that an unresponsive link is detected.
func (n *Node) sendHeartbeat(ctx context.Context, address string, l *link) {
	_ = call(ctx, n, address, MethodHeartbeat, n.Heartbeat(), &struct{}{})
	n.mu.Lock()
	defer n.mu.Unlock()
	l.heartbeatInFlight = false
}

// FetchRows requests rows from the peer at the address.
func (n *Node) FetchRows(ctx context.Context, address string, request RowsRequest) (RowsResult, error) {
	var result RowsResult
	err := call(ctx, n, address, MethodRows, request, &result)
	return result, err
}

// QueryClaim queries the state of a claim at the peer at the address.
func (n *Node) QueryClaim(ctx context.Context, address string, request claim.HolderQuery) (claim.HolderResponse, error) {
	var result claim.HolderResponse
	err := call(ctx, n, address, MethodQueryClaim, request, &result)
	return result, err
}

// NotifyJobsChanged notifies the peer at the address that job rows of the pool have changed.
func (n *Node) NotifyJobsChanged(ctx context.Context, address, pool string) error {
	return call(ctx, n, address, MethodJobsChanged, JobsChanged{Pool: pool}, &struct{}{})
}

// call calls a method of the peer within the node's timeout, and closes the link if it gets no response. It fails with
// outcome not_run if the peer can't be reached, and unknown if the call fails after that.
func call(parent context.Context, n *Node, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(parent, n.Timeout)
	defer cancel()
	conn, err := n.connect(ctx, address)
	if err != nil {
		return err
	}
	attachment, ok := in.(Attachment)
	if ok {
		err = conn.Call(ctx, method, nil, out, jsonrpc2.ExtraField(attachmentField, attachment))
	} else {
		err = conn.Call(ctx, method, in, out)
	}
	if err == nil {
		return nil
	}
	if _, responded := err.(*jsonrpc2.Error); !responded && parent.Err() == nil {
		n.closeFailed(address, conn, err)
	}
	return fault.Wrap(fault.NotReady, err, "peer %s", address).WithOutcome(fault.Unknown)
}
