package peer_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"

	"samphirekeel.example/keel/peer"
)

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat sends heartbeats that list instances with requests in flight, one after another.
func BenchmarkHeartbeat(b *testing.B) {
	for _, busyInstances := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("busy=%d", busyInstances), func(b *testing.B) { benchmarkHeartbeat(b, busyInstances) })
	}
}

func benchmarkHeartbeat(b *testing.B, busyInstances int) {
	heartbeat := peer.Heartbeat{Incarnation: "worcester-a-1764795600000000000", DataCentre: "worcester", AppliedVersion: 1234567, SettingsRevision: 4321}
	heartbeat.InFlight = make(map[string]int64)
	for i := range busyInstances {
		heartbeat.InFlight[fmt.Sprintf("c/instance/worcester/worcester-%03d", i)] = int64(i)
	}
	done := make(chan struct{}, 1)
	server := &peer.Node{Timeout: time.Second, OnHeartbeat: func(peer.Heartbeat) { done <- struct{}{} }}
	listener := fasthttputil.NewInmemoryListener()
	go func() { _ = server.Serve(b.Context(), listener) }()
	var sent, received atomic.Int64
	node := &peer.Node{
		Timeout: time.Second, Heartbeat: func() peer.Heartbeat { return heartbeat },
		Dial: func(string, time.Duration) (net.Conn, error) {
			conn, err := listener.Dial()
			return countedConn{Conn: conn, sent: &sent, received: &received}, err
		},
	}
	defer node.Close()
	for range b.N {
		for len(done) == 0 {
			node.Broadcast(b.Context(), []string{"b"}, map[string]bool{"b": true})
			time.Sleep(50 * time.Microsecond)
		}
		<-done
	}
	b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B/beat")
	b.ReportMetric(float64(received.Load())/float64(b.N), "received-B/beat")
}
