package accept

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// failing is a listener whose calls of Accept fail as long as failures is positive.
type failing struct {
	net.Listener
	failures int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.failures != 0 {
		f.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (f *failing) Close() error { return nil }

// Guards against a server that ends, and its process with it, because descriptors are used up for a moment.
func TestAcceptIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delays []time.Duration
		began := time.Now()
		l := New(&failing{failures: 12}, func(_ error, delay time.Duration) { delays = append(delays, delay) })
		conn, err := l.Accept()
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
		assert.Equal(t, len(delays), 12)
		assert.Equal(t, delays[0], firstDelay)
		assert.Equal(t, delays[11], maxDelay)
		assert.Assert(t, time.Since(began) < 6*time.Second)
	})
}

func TestCloseEndsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(&failing{failures: -1}, func(error, time.Duration) {})
		time.AfterFunc(3*time.Second, func() { _ = l.Close() })
		_, err := l.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
		assert.NilError(t, l.Close())
	})
}
