package repair

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/wave"
)

// readTimeout bounds the read of the view for one scrape.
const readTimeout = time.Second

// Metrics is a Prometheus collector of the instances, permits, budgets and waves in this entry's view.
type Metrics struct {
	// Read runs f on the control loop and waits for it to return.
	Read func(ctx context.Context, f func(*fleet.View)) error
}

var (
	instancesDesc = prometheus.NewDesc("samphirekeel_instances", "Instances by pool and state.", []string{"pool", "state"}, nil)
	permitsDesc   = prometheus.NewDesc("samphirekeel_pool_permits", "Instances out of service by pool and reason.", []string{"pool", "reason"}, nil)
	budgetDesc    = prometheus.NewDesc("samphirekeel_pool_budget_left", "Instances that planned removals may still take out of a pool.", []string{"pool"}, nil)
	excessDesc    = prometheus.NewDesc("samphirekeel_pool_budget_exceeded", "Instances that are out of a pool beyond its budget.", []string{"pool"}, nil)
	waveDesc      = prometheus.NewDesc("samphirekeel_wave_instances", "Instances of unfinished waves by how far the wave has come with them.", []string{"wave", "progress"}, nil)
)

// Describe sends the descriptions of the metrics.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{instancesDesc, permitsDesc, budgetDesc, excessDesc, waveDesc} {
		ch <- desc
	}
}

// Collect sends the metrics; it sends none if the control loop doesn't run the read within readTimeout.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var metrics []prometheus.Metric
	err := m.Read(ctx, func(view *fleet.View) { metrics = collect(view) })
	if err != nil {
		return
	}
	for _, metric := range metrics {
		ch <- metric
	}
}

func gauge(desc *prometheus.Desc, value int, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
}

func collect(view *fleet.View) []prometheus.Metric {
	var metrics []prometheus.Metric
	type poolState struct {
		pool  string
		state instance.State
	}
	count := make(map[poolState]int)
	for row := range view.Inventory().All {
		count[poolState{row.Value.Pool, row.Value.State}]++
	}
	for key, n := range count {
		metrics = append(metrics, gauge(instancesDesc, n, key.pool, string(key.state)))
	}
	for row := range view.Pools().All {
		record := row.Value
		limits := pool.LimitsOf(view.Settings().Tree, record.Name)
		reasons := make(map[pool.Reason]int)
		for _, permit := range record.Permits {
			reasons[permit.Reason]++
		}
		for reason, n := range reasons {
			metrics = append(metrics, gauge(permitsDesc, n, record.Name, string(reason)))
		}
		metrics = append(metrics,
			gauge(budgetDesc, record.RemainingBudget(limits), record.Name), gauge(excessDesc, record.Excess(limits), record.Name))
	}
	for row := range view.Waves().All {
		if row.Value.Unfinished() {
			p := wave.NewProgress(view, row)
			metrics = append(metrics, gauge(waveDesc, p.Done, p.Wave.ID, "done"), gauge(waveDesc, p.Out, p.Wave.ID, "out"),
				gauge(waveDesc, p.Waiting, p.Wave.ID, "waiting"), gauge(waveDesc, p.Lost, p.Wave.ID, "lost"))
		}
	}
	return metrics
}
