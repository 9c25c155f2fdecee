package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"samphirekeel.example/keel/memory"
	"samphirekeel.example/keel/peer"
)

const (
	// refusalTimeout is the timeout for writing the response to a connection beyond the limit.
	refusalTimeout = 100 * time.Millisecond
	// refusal is the response on a connection beyond the limit while none is idle.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

const (
	// reservedDescriptors is the number of descriptors that are left for files.
	reservedDescriptors = 200
	// minConnections is the least limit of connections, however few descriptors there are.
	minConnections = 8
)

// MaxConnections returns the maximum number of open connections of a listener that may use the part of the process's descriptors, 0 for no
// limit if their number is 0.
func MaxConnections(descriptors int, part float64) int {
	if descriptors == 0 {
		return 0
	}
	return max(minConnections, int(part*float64(descriptors-reservedDescriptors)))
}

// Queues bounds what the kernel queues for each connection of a listener, in bytes; 0 leaves it to the kernel.
type Queues struct {
	// Received bounds what was received and the process hasn't read, Sent what was written and the client hasn't received.
	Received, Sent int
}

// On a loopback interface, whose packets have 64 KB, smaller queues than these make both sides wait for acknowledgements.
var (
	// CallerQueues are those of listeners whose responses are small.
	CallerQueues = Queues{Received: 24 << 10, Sent: 16 << 10}
	// ClientQueues are those of listeners whose responses may be large.
	ClientQueues = Queues{Received: 24 << 10, Sent: 64 << 10}
	// PeerQueues are those of listeners for peers, whose responses with rows need a large queue between regions.
	PeerQueues = Queues{Received: peer.SocketQueueBytes}
)

// kernelFactor is how much larger than asked for the kernel makes a queue.
const kernelFactor = 2

// Listen opens a listener with the queues.
func Listen(address string, queues Queues) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			limitQueue(int(fd), unix.SO_RCVBUF, queues.Received)
			limitQueue(int(fd), unix.SO_SNDBUF, queues.Sent)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if ok {
		limitBacklog(tcp)
	}
	return listener, nil
}

// limitQueue sets the size of a queue, which connections inherit from their listener. Where the kernel lacks the option, its own limit
// applies.
func limitQueue(fd, option, size int) {
	if size > 0 {
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, size)
	}
}

// backlog is the maximum number of connections that wait to be accepted. Each can hold some 40 KB that it has sent, of which no account
// knows; beyond it, the kernel drops the first packet of a connection, which the client sends again.
const backlog = 256

// limitBacklog replaces the backlog of a listener, which is that of the system.
func limitBacklog(listener *net.TCPListener) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	// Where a second call isn't possible, the system's backlog applies.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
}

// LimitQueues bounds the queues of a connection that the process opened.
func LimitQueues(conn net.Conn, queues Queues) {
	tcp, ok := conn.(*net.TCPConn)
	if ok {
		_ = tcp.SetReadBuffer(queues.Received)
		_ = tcp.SetWriteBuffer(queues.Sent)
	}
}

// unsent returns how many bytes that were written the client hasn't received, 0 if that isn't known.
func unsent(conn net.Conn) int64 {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	controlErr := raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil || err != nil {
		return 0
	}
	return int64(queued)
}

// Limited is a listener whose connections are held in an account: without room for a new one, slow and idle ones are closed. If there
// are none, the new one gets the status 503 and is closed.
type Limited struct {
	net.Listener
	// Account holds the connections; nil means that there is no limit.
	Account *memory.Account
	// ConnBytes is what an idle connection holds, in bytes.
	ConnBytes int64
	Timeouts  Timeouts
	// Queues are those that the listener was opened with.
	Queues Queues
}

// Accept returns the next connection for which there is room.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client := &Conn{Conn: conn, timeouts: l.Timeouts, queues: l.Queues}
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
