package upstream

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle TCP connection is open and has no data to read.
// Unsolicited data would be parsed as the start of the next response.
func Reusable(conn net.Conn) bool {
	if checker, ok := conn.(interface{ Reusable() bool }); ok {
		return checker.Reusable()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var data [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), data[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
