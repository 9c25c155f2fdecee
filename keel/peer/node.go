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
)

const (
	// silentTimeouts is the number of timeouts without a byte after which a link is closed by its receiver.
	silentTimeouts = 10
	// maxBackoffBeats is the greatest number of heartbeats that are left out after a failure to connect.
	maxBackoffBeats = 8
	// maxRowAnswers is the greatest number of answers with rows that are being made and sent at once.
	maxRowAnswers = 2
	// codeBusy is the code of the answer to a request for rows beyond that.
	codeBusy = -32001
)

// Node holds this entry's links to its peers; its methods are safe for concurrent use.
type Node struct {
	Log *event.Log
	// Dial opens a connection to a peer within the timeout.
	Dial func(address string, timeout time.Duration) (net.Conn, error)
	// Timeout bounds a call and the opening of a link.
	Timeout time.Duration
	// Heartbeat returns the heartbeat to send.
	Heartbeat func() Heartbeat
	// OnHeartbeat takes in a peer's heartbeat.
	OnHeartbeat func(Heartbeat)
	// ServeRows answers a request for rows.
	ServeRows func(RowsRequest) RowsResult
	// ServeClaimQuery answers a question about a claim.
	ServeClaimQuery func(context.Context, claim.HolderQuery) claim.HolderResponse
	// OnJobsChanged takes in that the jobs of a pool have changed.
	OnJobsChanged func(pool string)
	// Methods answers further methods by name.
	Methods map[string]Method

	rowAnswers atomic.Int64

	mu    sync.Mutex
	links map[string]*link
	// accepted holds the links that peers opened.
	accepted map[*jsonrpc2.Conn]bool
}

// Method answers a request whose parameters it decodes.
type Method func(ctx context.Context, request *jsonrpc2.Request) (any, error)

// NewMethod returns the method that decodes its parameters and calls serve.
func NewMethod[In, Out any](serve func(context.Context, In) Out) Method {
	return func(ctx context.Context, request *jsonrpc2.Request) (any, error) {
		return answer(request, func(in In) Out { return serve(ctx, in) })
	}
}

// link is the outgoing link to one address.
type link struct {
	// opening is held while the link is being opened, so that each pair has one link in each direction.
	opening sync.Mutex
	conn    *jsonrpc2.Conn
	// beating reports that a heartbeat is on its way.
	beating bool
	// failures counts the failures to connect since the last success, and skip the heartbeats still to leave out.
	failures int
	skip     int
}

// Serve answers peers on the listener until ctx ends.
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
		n.keep(n.open(ctx, conn))
	}
}

// keep holds an accepted link until it ends, so that Close ends it.
func (n *Node) keep(conn *jsonrpc2.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accepted == nil {
		n.accepted = make(map[*jsonrpc2.Conn]bool)
	}
	n.accepted[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.accepted, conn)
	}()
}

func (n *Node) open(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	timed := &timedConn{Conn: conn, readWithin: silentTimeouts * n.Timeout, writeWithin: n.Timeout}
	stream := jsonrpc2.NewBufferedStream(timed, codec{})
	// A late answer is dropped by its id; the library would write a line to standard error for each.
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, stream, handler{HandlerWithErrorConfigurer: jsonrpc2.HandlerWithError(n.handle), node: n}, quiet)
}

// handler answers heartbeats in the order in which they come and everything else beside it.
type handler struct {
	*jsonrpc2.HandlerWithErrorConfigurer
	node *Node
}

// Handle answers one request.
func (h handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method == MethodBeat {
		h.HandlerWithErrorConfigurer.Handle(ctx, conn, request)
		return
	}
	if request.Method == MethodRows {
		h.handleRows(ctx, conn, request)
		return
	}
	go h.HandlerWithErrorConfigurer.Handle(ctx, conn, request)
}

// handleRows bounds the answers that hold rows, each of which takes memory until its peer has read it.
// A peer that is refused asks again, or asks another one.
func (h handler) handleRows(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if h.node.rowAnswers.Add(1) > maxRowAnswers {
		h.node.rowAnswers.Add(-1)
		busy := &jsonrpc2.Error{Code: codeBusy, Message: "other peers are being given rows"}
		go func() { _ = conn.ReplyWithError(ctx, request.ID, busy) }()
		return
	}
	go func() {
		defer h.node.rowAnswers.Add(-1)
		h.HandlerWithErrorConfigurer.Handle(ctx, conn, request)
	}()
}

func (n *Node) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	switch request.Method {
	case MethodBeat:
		return answer(request, func(beat Heartbeat) struct{} { n.OnHeartbeat(beat); return struct{}{} })
	case MethodRows:
		return answer(request, n.ServeRows)
	case MethodJobs:
		return answer(request, func(notice JobsNotice) struct{} { n.OnJobsChanged(notice.Pool); return struct{}{} })
	case MethodAsk:
		return answer(request, func(ask claim.HolderQuery) claim.HolderResponse { return n.ServeClaimQuery(ctx, ask) })
	}
	method, ok := n.Methods[request.Method]
	if ok {
		return method(ctx, request)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
}

// Call calls a method of the peer at the address.
func (n *Node) Call(ctx context.Context, address, method string, in, out any) error {
	return call(ctx, n, address, method, in, out)
}

// CallWithTimeout calls a method whose answer may take longer than the node's timeout; a late answer doesn't end the link.
// It fails with outcome not_run if the peer couldn't be reached, and unknown if it didn't answer.
func (n *Node) CallWithTimeout(ctx context.Context, timeout time.Duration, address, method string, in, out any) error {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return err
	}
	within, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err = conn.Call(within, method, in, out)
	if err != nil {
		return fault.Wrap(fault.NotReady, err, "peer %s", address).WithOutcome(fault.Unknown)
	}
	return nil
}

// answer decodes the parameters of a request and returns its result.
func answer[In, Out any](request *jsonrpc2.Request, serve func(In) Out) (any, error) {
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

// Broadcast starts a heartbeat to each address and doesn't wait; it leaves out the addresses of which the last
// heartbeat is still on its way, and for a while those that can't be reached. Links to other addresses than those
// that are known are closed.
func (n *Node) Broadcast(ctx context.Context, addresses []string, known map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forgetLocked(known)
	for _, address := range addresses {
		l := n.linkLocked(address)
		if l.beating || l.skip > 0 {
			l.skip = max(0, l.skip-1)
			continue
		}
		l.beating = true
		go n.sendBeat(ctx, address, l)
	}
}

// forgetLocked closes the links to addresses that are no longer known.
func (n *Node) forgetLocked(known map[string]bool) {
	for address, l := range n.links {
		if known[address] || l.beating {
			continue
		}
		if l.conn != nil {
			_ = l.conn.Close()
		}
		delete(n.links, address)
	}
}

// sendBeat sends one heartbeat; its answer proves that the link is not silent.
func (n *Node) sendBeat(ctx context.Context, address string, l *link) {
	_ = call(ctx, n, address, MethodBeat, n.Heartbeat(), &struct{}{})
	n.mu.Lock()
	defer n.mu.Unlock()
	l.beating = false
}

// FetchRows asks the peer at the address for rows.
func (n *Node) FetchRows(ctx context.Context, address string, request RowsRequest) (RowsResult, error) {
	var result RowsResult
	err := call(ctx, n, address, MethodRows, request, &result)
	return result, err
}

// QueryClaim asks the peer at the address about a claim.
func (n *Node) QueryClaim(ctx context.Context, address string, request claim.HolderQuery) (claim.HolderResponse, error) {
	var result claim.HolderResponse
	err := call(ctx, n, address, MethodAsk, request, &result)
	return result, err
}

// NotifyJobsChanged tells the peer at the address that the jobs of a pool have changed.
func (n *Node) NotifyJobsChanged(ctx context.Context, address, pool string) error {
	return call(ctx, n, address, MethodJobs, JobsNotice{Pool: pool}, &struct{}{})
}

// call calls a method of the peer within the node's timeout and gives the link up if no answer comes.
func call(parent context.Context, n *Node, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(parent, n.Timeout)
	defer cancel()
	conn, err := n.connect(parent, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, in, out)
	if err == nil {
		return nil
	}
	if _, answered := err.(*jsonrpc2.Error); !answered && parent.Err() == nil {
		n.drop(address, conn, err)
	}
	return fault.Wrap(fault.NotReady, err, "peer %s", address)
}
