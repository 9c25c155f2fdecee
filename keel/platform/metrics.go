package platform

import (
	"context"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/fault"
)

// functionParts is the number of leading parts of a key that identify the function that the row belongs to.
const functionParts = 2

// Metrics counts and times the platform calls by method, function and result.
type Metrics struct {
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewMetrics returns Metrics registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "samphirekeel", Name: "platform_calls_total",
			Help: "Calls of the platform by method, by the function whose rows they concern, and by result.",
		}, []string{"method", "function", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "samphirekeel", Name: "platform_call_seconds", Help: "Duration of the calls of the platform.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
		}, []string{"method"}),
	}
	registry.MustRegister(metrics.calls, metrics.seconds)
	return metrics
}

// Client returns a client that counts the calls of the inner client.
func (m *Metrics) Client(inner *Client) *Client {
	return &Client{Call: func(ctx context.Context, method string, in, out any) error {
		start := time.Now()
		err := inner.Call(ctx, method, in, out)
		result := "ok"
		if err != nil {
			result = fault.KindOf(err).String()
		}
		m.calls.WithLabelValues(method, functionOf(in), result).Inc()
		m.seconds.WithLabelValues(method).Observe(time.Since(start).Seconds())
		return err
	}}
}

// functionOf returns the first functionParts parts of the first key in a request, such as "c/pool", empty if it has
// none.
func functionOf(in any) string {
	switch request := in.(type) {
	case Txn:
		if len(request.Writes) > 0 {
			return prefixOf(request.Writes[0].Key)
		}
	case ScanRequest:
		return prefixOf(request.Prefix)
	case GetRequest:
		if len(request.Keys) > 0 {
			return prefixOf(request.Keys[0])
		}
	}
	return ""
}

func prefixOf(key string) string {
	parts := strings.SplitN(key, "/", functionParts+1)
	if len(parts) > functionParts {
		parts = parts[:functionParts]
	}
	return strings.TrimSuffix(strings.Join(parts, "/"), "/")
}
