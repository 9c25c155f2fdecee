package route

import (
	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/fault"
)

// Metrics holds the metrics of a Router.
type Metrics struct {
	requests, retries *prometheus.CounterVec
	latency           *prometheus.HistogramVec
	inFlight, waiting *prometheus.GaugeVec
	ejections         prometheus.Counter
}

// latencyBuckets reach from 250 microseconds to about 16 seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.00025, 2, 17)

// NewMetrics returns metrics that are registered with the registry, or unregistered ones if it is nil.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "samphirekeel", Subsystem: "route", Name: name, Help: help,
		}, labels)
	}
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "samphirekeel", Subsystem: "route", Name: name, Help: help,
		}, []string{"service"})
	}
	ejections := counter("ejections_total", "Endpoints put in quarantine.")
	m := &Metrics{
		requests: counter("requests_total", "Requests by service and result: ran, or the kind of the error.", "service", "result"),
		retries:  counter("retries_total", "Requests sent once more, by service.", "service"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "samphirekeel", Subsystem: "route", Name: "latency_seconds",
			Help: "Time from the arrival of a request to its answer, by service.", Buckets: latencyBuckets,
		}, []string{"service"}),
		inFlight:  gauge("in_flight", "Requests that the entry holds, by service."),
		waiting:   gauge("waiting", "Requests that wait for a slot, by service."),
		ejections: ejections.WithLabelValues(),
	}
	if registry != nil {
		registry.MustRegister(m.requests, m.retries, m.latency, m.inFlight, m.waiting, ejections)
	}
	return m
}

// bindService sets the metrics of a service in its state, so that requests need no look-up by label.
func (m *Metrics) bindService(s *serviceState, service string) {
	s.latency = m.latency.WithLabelValues(service)
	s.inFlight = m.inFlight.WithLabelValues(service)
	s.waiting = m.waiting.WithLabelValues(service)
	s.retries = m.retries.WithLabelValues(service)
	s.results = m.requests.MustCurryWith(prometheus.Labels{"service": service})
	s.ran = s.results.WithLabelValues(string(fault.Ran))
}
