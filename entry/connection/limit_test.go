package connection

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/memory"
)

// limitedServer is a server with a limit on open connections whose requests for /wait are served until release is closed.
type limitedServer struct {
	t       *testing.T
	address string
	set     *Set
	account *memory.Account
	release chan struct{}
}

func newLimitedServer(t *testing.T, most int) *limitedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &limitedServer{t: t, address: listener.Addr().String(), release: make(chan struct{})}
	set := &Set{}
	s.set = set
	s.account = &memory.Account{Listener: "callers", Bytes: math.MaxInt64, Connections: most}
	timeout := func() time.Duration { return time.Minute }
	server := &Server{
		Set: set, Account: s.account, Timeouts: Timeouts{Idle: timeout, Header: timeout, Body: time.Minute, Write: time.Minute},
		KeepAlive: time.Minute, MaxBody: func() int { return 0 },
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/wait" {
				<-s.release
			}
		},
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		assert.NilError(t, <-done)
	})
	return s
}

// get sends a request on a new connection, which stays open, and returns the connection and the response's status, 0 if the
// server has closed the connection.
func (s *limitedServer) get(path string) (net.Conn, int) {
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	assert.NilError(s.t, err)
	return conn, s.read(conn)
}

func (s *limitedServer) read(conn net.Conn) int {
	assert.NilError(s.t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	assert.NilError(s.t, response.Body.Close())
	return response.StatusCode
}

// Guards against an entry without descriptors: callers that keep their connections open use them up. The connection that has been
// idle for longest makes room.
func TestIdleConnectionMakesRoom(t *testing.T) {
	s := newLimitedServer(t, 3)
	var conns []net.Conn
	for range 3 {
		conn, status := s.get("/")
		assert.Equal(t, status, 200)
		conns = append(conns, conn)
		time.Sleep(5 * time.Millisecond)
	}
	_, status := s.get("/")
	assert.Equal(t, status, 200)
	assert.Equal(t, s.account.Count(memory.ConnectionClosed), int64(1))
	assert.Equal(t, s.account.Count(memory.ConnectionRefused), int64(0))
	assert.Equal(t, s.read(conns[0]), 0, "the connection that was idle for longest is open")
	for _, conn := range conns[1:] {
		_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		assert.Equal(t, s.read(conn), 200)
	}
}

// Guards against requests that are cut off for new callers: while all connections are in use, a new one is refused.
func TestBusyConnectionsStay(t *testing.T) {
	s := newLimitedServer(t, 2)
	statuses := make(chan int, 2)
	for range 2 {
		go func() {
			_, status := s.get("/wait")
			statuses <- status
		}()
	}
	time.Sleep(200 * time.Millisecond)
	_, status := s.get("/")
	assert.Equal(t, status, 503)
	assert.Equal(t, s.account.Count(memory.ConnectionRefused), int64(1))
	close(s.release)
	assert.Equal(t, <-statuses, 200)
	assert.Equal(t, <-statuses, 200)
}

// Guards against a caller that takes the 400 with which an idle connection was closed for the response to its next request.
func TestIdleConnectionIsClosedWithoutResponse(t *testing.T) {
	s := newLimitedServer(t, 0)
	idle, status := s.get("/")
	assert.Equal(t, status, 200)
	busy := make(chan int)
	go func() {
		_, status := s.get("/wait")
		busy <- status
	}()
	time.Sleep(200 * time.Millisecond)
	s.set.CloseIdle(time.Minute)
	_, err := fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, s.read(idle), 200)
	time.Sleep(50 * time.Millisecond)
	s.set.CloseIdle(20 * time.Millisecond)
	n, err := idle.Read(make([]byte, 1))
	assert.Assert(t, n == 0 && err != nil)
	close(s.release)
	assert.Equal(t, <-busy, 200)
}
