package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
)

func (n *Node) linkLocked(address string) *link {
	if n.links == nil {
		n.links = make(map[string]*link)
	}
	l, ok := n.links[address]
	if !ok {
		l = &link{}
		n.links[address] = l
	}
	return l
}

// opening is one attempt to open a link; conn and err are set once done is closed.
type opening struct {
	done chan struct{}
	conn *jsonrpc2.Conn
	err  error
}

// connect returns the open connection to the address. If there is none it waits, until ctx ends, for an attempt to open
// one, which concurrent calls share.
func (n *Node) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	l := n.linkLocked(address)
	n.mu.Unlock()
	conn := n.currentConn(address, l)
	if conn != nil {
		return conn, nil
	}
	attempt := n.open(ctx, address, l)
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NotReady, ctx.Err(), "connect to peer %s", address)
	}
}

// open returns the attempt in progress to open the link, and starts one if there is none.
func (n *Node) open(ctx context.Context, address string, l *link) *opening {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.opening != nil {
		return l.opening
	}
	attempt := &opening{done: make(chan struct{}), conn: l.conn}
	if l.conn != nil {
		// Another call has opened the link meanwhile.
		close(attempt.done)
		return attempt
	}
	l.opening = attempt
	go func() {
		attempt.conn, attempt.err = n.dial(context.WithoutCancel(ctx), address, l)
		close(attempt.done)
	}()
	return attempt
}

// dial opens the link, which ends the attempt in progress.
func (n *Node) dial(ctx context.Context, address string, l *link) (*jsonrpc2.Conn, error) {
	raw, err := n.Dial(address, n.Timeout)
	if err != nil {
		n.recordFailure(l)
		return nil, fault.Wrap(fault.NotReady, err, "connect to peer %s", address)
	}
	conn := n.newConn(ctx, raw, nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	l.opening = nil
	if n.links[address] != l {
		_ = conn.Close()
		return nil, fault.New(fault.NotReady, "link to peer %s closed while it was being opened", address)
	}
	l.conn = conn
	l.failures = 0
	n.Log.Write(event.PeerConnected, event.Fields{"peer": address})
	return conn, nil
}

// currentConn returns the link's connection, or nil if it has none or the connection was closed.
func (n *Node) currentConn(address string, l *link) *jsonrpc2.Conn {
	n.mu.Lock()
	conn := l.conn
	n.mu.Unlock()
	if conn == nil {
		return nil
	}
	select {
	case <-conn.DisconnectNotify():
		n.closeFailed(address, conn, jsonrpc2.ErrClosed)
		return nil
	default:
		return conn
	}
}

// recordFailure ends a failed attempt to connect and doubles the number of heartbeat rounds until the next one, up to
// maxBackoffRounds.
func (n *Node) recordFailure(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l.opening = nil
	l.skipRounds = min(maxBackoffRounds, 1<<l.failures) - 1
	l.failures = min(l.failures+1, maxBackoffRounds)
}

// closeFailed closes a connection that failed, so that the next call opens a new one.
func (n *Node) closeFailed(address string, conn *jsonrpc2.Conn, reason error) {
	_ = conn.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[address]
	if l == nil || l.conn != conn {
		return
	}
	l.conn = nil
	n.Log.Write(event.PeerLost, event.Fields{"peer": address, "reason": reason.Error()})
}

// Close closes all links in both directions.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.links {
		if l.conn != nil {
			_ = l.conn.Close()
		}
		delete(n.links, address)
	}
	for conn := range n.accepted {
		_ = conn.Close()
	}
}
