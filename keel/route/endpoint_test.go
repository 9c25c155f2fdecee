package route_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// testEndpoint is an in-memory endpoint: what it has received, and how it behaves.
type testEndpoint struct {
	runs, dials int
	work        time.Duration
	status      int
	refuse      bool
	freeze      bool
	close       bool
	leaving     bool
	// dial is "refuse" for refused connections, "hang" for connections that time out, or another value for working
	// ones.
	dial string
}

func (h *harness) dial(address string, timeout time.Duration) (net.Conn, error) {
	h.mu.Lock()
	e := h.endpoints[address]
	e.dials++
	mode := e.dial
	h.mu.Unlock()
	switch mode {
	case "refuse":
		return nil, errors.New("connection refused")
	case "hang":
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	clientConn, serverConn := net.Pipe()
	h.mu.Lock()
	h.conns = append(h.conns, clientConn, serverConn)
	h.mu.Unlock()
	go h.serve(e, serverConn)
	return clientConn, nil
}

// serve handles the requests of one connection.
func (h *harness) serve(e *testEndpoint, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		h.mu.Lock()
		e.runs++
		current := *e
		h.mu.Unlock()
		if current.close {
			_ = conn.Close()
			return
		}
		if current.freeze {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		_, _ = io.WriteString(conn, current.response())
	}
}

func (e *testEndpoint) response() string {
	status, headers := 200, ""
	switch {
	case e.refuse:
		status, headers = 503, "X-Outcome: not_run\r\n"
	case e.status != 0:
		status = e.status
	default:
		time.Sleep(e.work)
	}
	if e.leaving {
		headers += "X-Leaving: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: 2\r\n\r\nok", status, headers)
}
