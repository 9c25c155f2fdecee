package route

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/upstream"
)

// Service is what routing knows of one service.
type Service struct {
	// Path is the service's node in the tree of settings.
	Path    settings.Path
	Timeout time.Duration
	// QueueDepth is the number of requests that may wait for a slot.
	QueueDepth int
	// ResponseLimit is the greatest size in bytes of an answer that is kept for repeats.
	ResponseLimit int
	// SequenceWindow is the time for which a request of a sequence waits for those before it.
	SequenceWindow time.Duration
	// RetryBudget is the share of requests that may be sent again.
	RetryBudget float64
	// RepeatablePost reports that the service's POST requests may run more than once.
	RepeatablePost bool
	// Limits bounds what endpoints may do with a connection.
	Limits upstream.Limits

	pool  *Pool
	state *state
}

// Endpoints returns the instances that may be given new work.
func (s *Service) Endpoints() []*Endpoint { return s.pool.endpoints() }

// state is what lasts of a service when its settings change.
type state struct {
	lane    lane
	budget  budget
	partner *partner
	// typical is the average service time in nanoseconds.
	typical atomic.Int64

	latency           prometheus.Observer
	inFlight, waiting prometheus.Gauge
	retries           prometheus.Counter
	results           *prometheus.CounterVec
	ran               prometheus.Counter
}

// partner counts the requests of a partner that the entry holds.
type partner struct {
	held atomic.Int64
}

// Directory is the immutable list of services by "partner/service".
type Directory struct {
	Revision uint64
	Services map[string]*Service
}
