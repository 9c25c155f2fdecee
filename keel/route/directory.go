package route

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/upstream"
)

// Service is the routing configuration of one service, with the state that outlives it.
type Service struct {
	// Path is the service's node in the settings tree.
	Path    settings.Path
	Timeout time.Duration
	// QueueDepth is the number of requests that may wait for a slot.
	QueueDepth int
	// ResponseLimit is the maximum size in bytes of a response that is recorded for repeated requests.
	ResponseLimit int
	// SequenceWindow is how long a request of a sequence waits for its predecessors.
	SequenceWindow time.Duration
	// RetryBudget is the ratio of retries to requests.
	RetryBudget float64
	// RepeatablePost reports that the service's POST requests may run more than once.
	RepeatablePost bool
	// Limits holds the timeouts and size limits of exchanges with endpoints.
	Limits upstream.Limits

	pool  *Pool
	state *serviceState
}

// Endpoints returns the endpoints that may get new requests; the caller must not change the slice.
func (s *Service) Endpoints() []*Endpoint { return s.pool.endpoints() }

// serviceState is the state of a service that is kept across changes of its settings.
type serviceState struct {
	queue       waitQueue
	retryBudget retryBudget
	partner     *partnerState
	// avgServiceTime is the moving average of the service time in nanoseconds, 0 before the first response.
	avgServiceTime atomic.Int64

	latency           prometheus.Observer
	inFlight, waiting prometheus.Gauge
	retries           prometheus.Counter
	results           *prometheus.CounterVec
	ran               prometheus.Counter
}

// partnerState counts the requests of a partner that are in flight at this entry.
type partnerState struct {
	inFlight atomic.Int64
}

// Directory is an immutable set of services by name, "partner/service".
type Directory struct {
	Revision uint64
	Services map[string]*Service
}
