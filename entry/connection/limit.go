package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"samphirekeel.example/keel/budget"
)

const (
	// refusalTimeout is the timeout for writing the response to a connection beyond the limit.
	refusalTimeout = 100 * time.Millisecond
	// refusal is the response on a connection beyond the limit while none is idle.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// SocketQueueBytes bounds what the kernel queues for a client's connection: what was received and the process hasn't read, and what was
	// written and the client hasn't received. At 6 ms between them, a client can send 2.7 MB a second.
	SocketQueueBytes = 16 << 10
)

// Listen opens a listener for whose connections the kernel queues at most queueBytes in each direction, 0 for SocketQueueBytes.
func Listen(address string, queueBytes int) (net.Listener, error) {
	if queueBytes == 0 {
		queueBytes = SocketQueueBytes
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections inherit the sizes. Where the kernel lacks the options, its own limits apply.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, queueBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, queueBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Limited is a listener whose connections are held in an account: without room for a new one, slow and idle ones are closed. If there
// are none, the new one gets the status 503 and is closed.
type Limited struct {
	net.Listener
	// Account holds the connections; nil means that there is no limit.
	Account *budget.Account
	// ConnBytes is what an idle connection holds, in bytes.
	ConnBytes int64
	Timeouts  Timeouts
}

// Accept returns the next connection for which there is room.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client := &Conn{Conn: conn, timeouts: l.Timeouts}
		hold, ok := l.Account.Add(l.ConnBytes, client.evict)
		if !ok {
			refuse(conn)
			continue
		}
		client.hold = hold
		err = conn.SetReadDeadline(time.Now().Add(l.Timeouts.Idle()))
		if err != nil {
			_ = client.Close()
			continue
		}
		return client, nil
	}
}

// refuse responds that the request has not run, without reading it.
func refuse(conn net.Conn) {
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write([]byte(refusal))
	_ = conn.Close()
}
