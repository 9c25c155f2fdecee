package accept

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// firstDelay is the delay after the first error, which doubles with each further one up to maxDelay.
	firstDelay = 5 * time.Millisecond
	maxDelay   = time.Second
)

// Listener is a listener whose Accept fails only once the listener is closed.
type Listener struct {
	net.Listener
	onError func(err error, delay time.Duration)
	closed  chan struct{}
	once    sync.Once
}

// New returns a listener that retries errors of accept; onError is called with each of them and the delay before the next attempt.
func New(inner net.Listener, onError func(err error, delay time.Duration)) *Listener {
	return &Listener{Listener: inner, onError: onError, closed: make(chan struct{})}
}

// Accept waits for the next connection and fails with net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	delay := firstDelay
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.onError(err, delay)
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
		delay = min(2*delay, maxDelay)
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
