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

// readTimeout bounds the reading of the view for one scrape.
const readTimeout = time.Second

// Metrics collects the instances, permits, budgets and waves that an entry knows of.
type Metrics struct {
	// Read runs f on the control loop and waits for it.
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
func (m *Metrics) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{instancesDesc, permitsDesc, budgetDesc, excessDesc, waveDesc} {
		out <- desc
	}
}

// Collect sends the metrics; it sends none if the control loop doesn't answer.
func (m *Metrics) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	var metrics []prometheus.Metric
	err := m.Read(ctx, func(view *fleet.View) { metrics = measure(view) })
	if err != nil {
		return
	}
	for _, metric := range metrics {
		out <- metric
	}
}

func gauge(desc *prometheus.Desc, value int, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
}

func measure(view *fleet.View) []prometheus.Metric {
	var metrics []prometheus.Metric
	type place struct {
		pool  string
		state instance.State
	}
	count := make(map[place]int)
	for found := range view.Inventory().All {
		count[place{found.Value.Pool, found.Value.State}]++
	}
	for at, n := range count {
		metrics = append(metrics, gauge(instancesDesc, n, at.pool, string(at.state)))
	}
	for found := range view.Pools().All {
		row := found.Value
		limits := pool.LimitsOf(view.Settings().Tree, row.Name)
		reasons := make(map[pool.Reason]int)
		for _, permit := range row.Down {
			reasons[permit.Reason]++
		}
		for reason, n := range reasons {
			metrics = append(metrics, gauge(permitsDesc, n, row.Name, string(reason)))
		}
		metrics = append(metrics,
			gauge(budgetDesc, row.Room(limits), row.Name), gauge(excessDesc, row.Excess(limits), row.Name))
	}
	for found := range view.Waves().All {
		if found.Value.Unfinished() {
			p := wave.NewProgress(view, found)
			metrics = append(metrics, gauge(waveDesc, p.Done, p.Wave.ID, "done"), gauge(waveDesc, p.Out, p.Wave.ID, "out"),
				gauge(waveDesc, p.Waiting, p.Wave.ID, "waiting"), gauge(waveDesc, p.Lost, p.Wave.ID, "lost"))
		}
	}
	return metrics
}
