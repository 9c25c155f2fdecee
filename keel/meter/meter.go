package meter

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Meter counts the bytes of the connections that it wraps; its methods are safe for concurrent use.
type Meter struct {
	// Link is the kind of connection, which is the value of the metric's label link.
	Link string

	received atomic.Uint64
	sent     atomic.Uint64
}

// Received returns the number of bytes received.
func (m *Meter) Received() uint64 { return m.received.Load() }

// Sent returns the number of bytes sent.
func (m *Meter) Sent() uint64 { return m.sent.Load() }

// Conn wraps the connection and counts its bytes.
func (m *Meter) Conn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, meter: m} }

// Listener wraps the listener and counts the bytes of the connections that it accepts.
func (m *Meter) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, meter: m}
}

// Register adds the meter's two counters to the registry.
func (m *Meter) Register(registry prometheus.Registerer) {
	for _, counter := range []struct {
		direction string
		value     *atomic.Uint64
	}{{"received", &m.received}, {"sent", &m.sent}} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "samphirekeel_control_bytes_total",
			Help:        "Bytes carried by the connections of one kind.",
			ConstLabels: prometheus.Labels{"link": m.Link, "direction": counter.direction},
		}, func() float64 { return float64(counter.value.Load()) }))
	}
}

type countedConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	meter *Meter
}

// Accept accepts a connection and wraps it to count its bytes.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(conn), nil
}
