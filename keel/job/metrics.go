package job

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"samphirekeel.example/keel/event"
)

// Metrics has the metrics of job scheduling; a nil *Metrics records nothing.
type Metrics struct {
	decisions *prometheus.CounterVec
	commits   *prometheus.CounterVec
	rows      prometheus.Counter
	waited    prometheus.Histogram
	pools     prometheus.Gauge
}

// NewMetrics returns metrics registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	factory := promauto.With(registry)
	return &Metrics{
		decisions: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "keel_job_decisions_total", Help: "Decisions about jobs by the event that logs them.",
		}, []string{"decision"}),
		commits: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "keel_job_transactions_total", Help: "Transactions about jobs by result.",
		}, []string{"result"}),
		rows: factory.NewCounter(prometheus.CounterOpts{
			Name: "keel_job_rows_written_total", Help: "Rows written by transactions about jobs.",
		}),
		waited: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "keel_job_wait_seconds", Help: "Time from a job's acceptance to its placement.",
			Buckets: prometheus.ExponentialBuckets(0.01, 3, 10),
		}),
		pools: factory.NewGauge(prometheus.GaugeOpts{
			Name: "keel_job_pools_held", Help: "Pools whose jobs this entry places.",
		}),
	}
}

func (m *Metrics) setPoolsHeld(pools int) {
	if m != nil {
		m.pools.Set(float64(pools))
	}
}

func (m *Metrics) addCommit(rows int, err error) {
	if m == nil {
		return
	}
	if err != nil {
		m.commits.WithLabelValues("refused").Inc()
		return
	}
	m.commits.WithLabelValues("committed").Inc()
	m.rows.Add(float64(rows))
}

func (m *Metrics) addDecision(d decision) {
	if m == nil {
		return
	}
	m.decisions.WithLabelValues(event.Name(d.event)).Inc()
	if d.event == event.JobPlaced {
		m.waited.Observe(d.waited.Seconds())
	}
}
