package schedule

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/forecast"
)

// outageTracker holds the outages in progress of the store's tables and, as "instances", of the instance service.
type outageTracker struct {
	byTable map[string]*outage
}

func (t *outageTracker) init() { t.byTable = make(map[string]*outage) }

func (s *Scheduler) countOutcome(j *job, now time.Duration) {
	late := j.queue != nil && now > j.objective()
	s.Metrics.addOutcome(string(j.outcome.State), late, now-j.arrived)
}

// Metrics holds the scheduler's metrics; all methods of a nil Metrics do nothing.
type Metrics struct {
	starts   prometheus.Histogram
	renewals prometheus.Counter
	commits  *prometheus.CounterVec
	outcomes *prometheus.CounterVec
	ages     *prometheus.HistogramVec
	moves    prometheus.Counter
	waiting  *prometheus.GaugeVec
	waits    *prometheus.GaugeVec
	passes   prometheus.Histogram
	delays   prometheus.Histogram
	crashes  *prometheus.CounterVec
	pairs    prometheus.Gauge
	apart    *prometheus.CounterVec
	tenants  tenantMetrics
	peaks    *prometheus.CounterVec
	prepared prometheus.Counter
	policies policyMetrics
	blocked  prometheus.Gauge
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16)
	m := &Metrics{
		starts: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "samphirekeel_task_start_seconds", Help: "Time that a worker took to answer an order to start a run.", Buckets: buckets,
		}),
		renewals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphirekeel_worker_looks_total", Help: "Answered renewals of workers' leases.",
		}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_ledger_commits_total", Help: "Transactions of the ledger by result.",
		}, []string{"result"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_jobs_ended_total", Help: "Jobs whose outcome was stored, by state and by whether they met their objective.",
		}, []string{"state", "late"}),
		ages: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "samphirekeel_job_seconds", Help: "Time from a job's acceptance to its stored outcome.", Buckets: buckets,
		}, []string{"state"}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "samphirekeel_instance_moves_total", Help: "Instances told to join another pool.",
		}),
	}
	m.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "samphirekeel_waiting_tasks", Help: "Tasks that should run and have had no run for 2 seconds, by what holds them.",
	}, []string{"cause"})
	m.waits = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "samphirekeel_longest_task_wait_seconds", Help: "The longest wait of a task that should run, by what holds it.",
	}, []string{"cause"})
	m.passes = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "samphirekeel_placement_pass_seconds", Help: "Duration of a placement pass over all pools, with the moves of instances.", Buckets: buckets,
	})
	m.delays = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "samphirekeel_control_loop_delay_seconds", Help: "Time by which a placement pass began after it was due, because the control loop was busy.", Buckets: buckets,
	})
	m.crashes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirekeel_worker_crashes_total", Help: "Workers known to have crashed, by pool.",
	}, []string{"pool"})
	m.pairs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirekeel_interfering_pairs", Help: "Pairs of images of which one is found to slow the other one down on the same worker.",
	})
	m.apart = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirekeel_separated_starts_total", Help: "Started tasks whose image forms an interfering pair, by whether the other image ran on their worker (beside) or not (apart).",
	}, []string{"placed"})
	m.blocked = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "samphirekeel_blocked_maintenance_instances", Help: "Instances of waves that can't become idle for their maintenance.",
	})
	m.tenants = newTenantMetrics(registry)
	m.peaks = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "samphirekeel_demand_peaks_total", Help: "Peaks of a pool's demand that began or ended, and expected ones that did not begin.",
	}, []string{"change"})
	m.prepared = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "samphirekeel_prepared_instances_total", Help: "Instances told to join another pool before an expected peak.",
	})
	m.policies = newPolicyMetrics(buckets)
	registry.MustRegister(m.blocked, m.policies.times, m.policies.workers, m.pairs, m.apart, m.peaks, m.prepared, m.crashes, m.starts, m.renewals, m.commits, m.outcomes, m.ages, m.moves, m.waiting, m.waits, m.passes, m.delays)
	return m
}

func (m *Metrics) addPass(took, delay time.Duration) {
	if m != nil {
		m.passes.Observe(took.Seconds())
		m.delays.Observe(delay.Seconds())
	}
}

func (m *Metrics) addPeak(change forecast.Change) {
	if m != nil {
		m.peaks.WithLabelValues(change.String()).Inc()
	}
}

func (m *Metrics) addPrepared() {
	if m != nil {
		m.prepared.Inc()
	}
}

func (m *Metrics) addCrash(pool string) {
	if m != nil {
		m.crashes.WithLabelValues(pool).Inc()
	}
}

// policyMetrics are the metrics of requests to placement policies.
type policyMetrics struct {
	times   *prometheus.HistogramVec
	workers *prometheus.CounterVec
}

func newPolicyMetrics(buckets []float64) policyMetrics {
	return policyMetrics{
		times: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "samphirekeel_policy_request_seconds", Help: "Time of a request to a placement policy, by whether it was answered.", Buckets: buckets,
		}, []string{"result"}),
		workers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_policy_workers_total", Help: "Workers in answered requests to placement policies, by whether the policy allowed them.",
		}, []string{"result"}),
	}
}

// addPolicyCall counts a request to a placement policy for a number of workers.
func (m *Metrics) addPolicyCall(took time.Duration, asked, allowed int, err error) {
	if m == nil {
		return
	}
	if err != nil {
		m.policies.times.WithLabelValues("failed").Observe(took.Seconds())
		return
	}
	m.policies.times.WithLabelValues("answered").Observe(took.Seconds())
	m.policies.workers.WithLabelValues("allowed").Add(float64(allowed))
	m.policies.workers.WithLabelValues("denied").Add(float64(asked - allowed))
}

func (m *Metrics) addStart(took time.Duration) {
	if m != nil {
		m.starts.Observe(took.Seconds())
	}
}

func (m *Metrics) addRenewal() {
	if m != nil {
		m.renewals.Inc()
	}
}

func (m *Metrics) addCommit(_ int, err error) {
	if m == nil {
		return
	}
	result := "stored"
	if err != nil {
		result = "failed"
	}
	m.commits.WithLabelValues(result).Inc()
}

func (m *Metrics) addOutcome(state string, late bool, age time.Duration) {
	if m == nil {
		return
	}
	text := "no"
	if late {
		text = "yes"
	}
	m.outcomes.WithLabelValues(state, text).Inc()
	m.ages.WithLabelValues(state).Observe(age.Seconds())
}

func (m *Metrics) addMove() {
	if m != nil {
		m.moves.Inc()
	}
}

// setWaits replaces the gauges of waiting tasks; without groups there are none.
func (m *Metrics) setWaits(groups []*waitGroup, now time.Duration) {
	if m == nil {
		return
	}
	m.waiting.Reset()
	m.waits.Reset()
	longest := make(map[waitCause]time.Duration)
	for _, g := range groups {
		m.waiting.WithLabelValues(string(g.cause)).Add(float64(g.tasks))
		longest[g.cause] = max(longest[g.cause], now-g.held.since)
	}
	for cause, waited := range longest {
		m.waits.WithLabelValues(string(cause)).Set(waited.Seconds())
	}
}

func (m *Metrics) setBlocked(instances int) {
	if m != nil {
		m.blocked.Set(float64(instances))
	}
}

func (m *Metrics) setPairs(n int) {
	if m != nil {
		m.pairs.Set(float64(n))
	}
}

func (m *Metrics) addSeparatedStart(apart bool) {
	if m == nil {
		return
	}
	placed := "beside"
	if apart {
		placed = "apart"
	}
	m.apart.WithLabelValues(placed).Inc()
}
