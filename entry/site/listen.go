package site

import (
	"fmt"
	"net"
	"time"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/accept"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
)

// listeners are the listeners of one entry; metrics is nil if no metrics are served.
type listeners struct {
	callers, readiness, peers, metrics net.Listener
}

// listen opens all listeners, or none if one fails.
func (s *Entry) listen() (*listeners, error) {
	open := &listeners{}
	addresses := []struct {
		name, address string
		queues        connection.Queues
		listener      *net.Listener
	}{
		{"callers", s.Settings.Callers, connection.CallerQueues, &open.callers},
		{"the load balancer", s.Settings.Readiness, connection.ClientQueues, &open.readiness},
		{"peers", s.peerAddress(), connection.PeerQueues, &open.peers},
		{"metrics", s.metricsAddress(), connection.ClientQueues, &open.metrics},
	}
	for _, a := range addresses {
		if a.address == "" {
			continue
		}
		listener, err := s.Listen(a.address, a.queues)
		if err != nil {
			open.close()
			return nil, fault.Wrap(fault.Usage, err, "listen for %s", a.name)
		}
		*a.listener = accept.New(listener, func(err error, delay time.Duration) {
			s.Log.Write(event.AcceptFailed, event.Fields{"listener": a.name, "reason": err.Error(), "retry_ms": delay.Milliseconds()})
		})
	}
	return open, nil
}

// close closes the open listeners; it may be called more than once.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.readiness, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (s *Entry) peerAddress() string {
	return fmt.Sprintf("%s:%d", s.Settings.IP, s.Settings.PeerPorts[0])
}

// metricsAddress returns an empty address if no metrics are served.
func (s *Entry) metricsAddress() string {
	if s.MetricsPort == 0 {
		return ""
	}
	return fmt.Sprintf("%s:%d", s.Settings.IP, s.MetricsPort)
}

// idleTimeout returns how long a connection of a caller may be idle.
func (s *Entry) idleTimeout() time.Duration {
	config := s.config.Load()
	if config == nil || config.Limits.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return min(config.Limits.IdleTimeout, maxIdleTimeout)
}
