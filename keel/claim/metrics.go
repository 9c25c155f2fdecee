package claim

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/fault"
)

// Metrics holds the metrics of the Batcher's transactions; a nil pointer records nothing.
type Metrics struct {
	batchSize    prometheus.Histogram
	queueWait    prometheus.Histogram
	duration     prometheus.Histogram
	transactions *prometheus.CounterVec
	rows         prometheus.Counter
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		batchSize: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "samphirekeel_claim_batch_changes", Help: "Changes in one transaction of claims and outcomes.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 9),
		}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "samphirekeel_claim_wait_seconds", Help: "Time that a change waits for its transaction to start.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "samphirekeel_claim_commit_seconds", Help: "Time of one transaction of claims with its repeats.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
		transactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_claim_transactions_total", Help: "Transactions of claims by result.",
		}, []string{"result"}),
		rows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphirekeel_claim_rows_total", Help: "Rows in the transactions of claims that took effect.",
		}),
	}
	registry.MustRegister(m.batchSize, m.queueWait, m.duration, m.transactions, m.rows)
	return m
}

// observe records one transaction and its changes.
func (m *Metrics) observe(batch []*change, start time.Time, err error) {
	if m == nil {
		return
	}
	m.batchSize.Observe(float64(len(batch)))
	m.duration.Observe(time.Since(start).Seconds())
	label := "committed"
	if err != nil {
		label = fault.KindOf(err).String()
	}
	m.transactions.WithLabelValues(label).Inc()
	for _, c := range batch {
		m.queueWait.Observe(start.Sub(c.queuedAt).Seconds())
		if err == nil {
			m.rows.Add(float64(len(c.writes)))
		}
	}
}
