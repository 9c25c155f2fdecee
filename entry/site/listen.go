package site

import (
	"fmt"
	"net"

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
		listener      *net.Listener
	}{
		{"callers", s.Settings.Callers, &open.callers},
		{"the load balancer", s.Settings.Readiness, &open.readiness},
		{"peers", s.peerAddress(), &open.peers},
		{"metrics", s.metricsAddress(), &open.metrics},
	}
	for _, a := range addresses {
		if a.address == "" {
			continue
		}
		listener, err := s.Listen(a.address)
		if err != nil {
			open.close()
			return nil, fault.Wrap(fault.Usage, err, "listen for %s", a.name)
		}
		*a.listener = listener
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
