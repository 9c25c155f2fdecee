package daemon

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// tcpUserTimeout is Linux's socket option TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 18
	// unackedTimeout is the time after which unacknowledged data makes the connection fail.
	unackedTimeout    = 3 * time.Second
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// dialTCP opens a TCP connection that detects within seconds that packets no longer reach the other end, for example
// because a device on the path has dropped the connection's state.
func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(controlErr, err)
		},
	}
	return dialer.Dial("tcp", address)
}
