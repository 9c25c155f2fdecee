package emulator

import (
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRefused is returned by Dial if the address has no listener or is in a partitioned data centre.
var ErrRefused = errors.New("connection refused")

// Network is an in-memory network between data centres that can be partitioned; its methods are safe for concurrent
// use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	partitioned map[[2]string]bool
	conns       map[*conn]bool
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		partitioned: make(map[[2]string]bool),
		conns:       make(map[*conn]bool),
	}
}

// listener accepts the connections to one address.
type listener struct {
	network    *Network
	address    string
	dataCentre string
	accept     chan net.Conn
	closed     chan struct{}
	once       sync.Once
}

// conn is one end of a connection between two data centres.
type conn struct {
	net.Conn
	network  *Network
	address  string
	from, to string
	peer     *conn
	// owner is the host that opened the connection, empty if it isn't known.
	owner string
	mu    sync.Mutex
	// silent makes writes succeed without sending anything.
	silent bool
}

// Write sends data, or discards it on a silent connection, as happens when a middlebox has lost the connection's state.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes this end of the connection.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// Listen opens a listener for the address, which belongs to the data centre.
func (n *Network) Listen(dataCentre, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &listener{
		network: n, address: address, dataCentre: dataCentre,
		accept: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection from the data centre to the address.
func (n *Network) Dial(dataCentre, address string, timeout time.Duration) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil || n.partitioned[[2]string{dataCentre, l.dataCentre}] {
		n.mu.Unlock()
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	a := &conn{Conn: near, network: n, address: address, from: dataCentre, to: l.dataCentre}
	b := &conn{Conn: far, network: n, address: address, from: l.dataCentre, to: dataCentre, peer: a}
	a.peer = b
	n.conns[a] = true
	n.conns[b] = true
	n.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case l.accept <- b:
		return a, nil
	case <-l.closed:
		_ = a.Close()
		_ = b.Close()
		return nil, ErrRefused
	case <-timer.C:
		_ = a.Close()
		_ = b.Close()
		return nil, errors.New("dial timeout")
	}
}

// SetPartitioned partitions two data centres, which closes their open connections, or ends the partition.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
	var affected []*conn
	for c := range n.conns {
		if partitioned && (c.from == a && c.to == b || c.from == b && c.to == a) {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		_ = c.Close()
	}
}

// Silence discards all further data on the open connections to the address; new connections work.
func (n *Network) Silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address {
			c.silence()
		}
	}
}

// Accept waits for the next connection and fails with net.ErrClosed once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; accepted connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the network.
func (address) Network() string { return "memory" }

// String returns the address.
func (a address) String() string { return string(a) }

// SetOwner records which host opened a connection, for KillHost.
func (n *Network) SetOwner(host string, opened net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	opened.(*conn).owner = host
}

// KillHost closes the listeners of a host and all connections from and to it.
func (n *Network) KillHost(host string) {
	n.mu.Lock()
	var closing []interface{ Close() error }
	for addr, l := range n.listeners {
		if strings.HasPrefix(addr, host+":") {
			closing = append(closing, l)
		}
	}
	for c := range n.conns {
		if c.owner == host || c.peer.owner == host || strings.HasPrefix(c.address, host+":") {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// Disconnect closes both ends of all connections to the listeners of a host.
func (n *Network) Disconnect(host string) {
	n.mu.Lock()
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		if strings.HasPrefix(c.address, host+":") {
			_ = c.Close()
		}
	}
}
