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

// connect returns the open connection to the address, and opens one if there is none.
func (n *Node) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	n.mu.Lock()
	l := n.linkLocked(address)
	n.mu.Unlock()
	l.openMu.Lock()
	defer l.openMu.Unlock()
	conn := n.currentConn(address, l)
	if conn != nil {
		return conn, nil
	}
	raw, err := n.Dial(address, n.Timeout)
	if err != nil {
		n.recordFailure(l)
		return nil, fault.Wrap(fault.NotReady, err, "connect to peer %s", address)
	}
	conn = n.newConn(context.WithoutCancel(ctx), raw)
	n.mu.Lock()
	defer n.mu.Unlock()
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

// recordFailure doubles the number of heartbeat rounds until the next attempt to connect, up to maxBackoffRounds.
func (n *Node) recordFailure(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
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
