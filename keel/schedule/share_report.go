package schedule

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/event"
)

const (
	// maxTenantNames is the number of tenants with metrics of their own; the others share otherTenants.
	maxTenantNames = 64
	otherTenants   = "other"
)

// reportTenants logs the tenants at their cap, beyond what they are owed or over their share, and sets the metrics of all.
func (s *Scheduler) reportTenants() {
	s.Metrics.resetTenants()
	for _, name := range slices.Sorted(maps.Keys(s.caps.byName)) {
		t := s.caps.byName[name]
		if t.capped.Len()+t.beyond+t.over > 0 {
			s.Log.Write(event.TenantLimited, event.Fields{
				"tenant": t.name, "weight": t.weight, "cap_cpu": t.limit.MilliCores, "cap_mem": t.limit.MemoryMB, "cap_acc": t.limit.Accelerators,
				"used_cpu": t.used.MilliCores, "unseen_cpu": t.unseen.Least(s.caps.unheard).MilliCores, "share": t.limit.DominantShare(t.used),
				"jobs": t.jobs, "capped": t.capped.Len(), "beyond": t.beyond, "over_share": t.over,
			})
		}
		s.Metrics.addTenant(t)
		t.beyond, t.over = 0, 0
	}
}

// tenantMetrics holds the metrics by tenant, those of the first maxTenantNames tenants by name.
type tenantMetrics struct {
	names  map[string]bool
	used   *prometheus.GaugeVec
	share  *prometheus.GaugeVec
	capped *prometheus.GaugeVec
	beyond *prometheus.CounterVec
	over   *prometheus.CounterVec
}

func newTenantMetrics(registry prometheus.Registerer) tenantMetrics {
	labels := []string{"tenant"}
	m := tenantMetrics{
		names: make(map[string]bool),
		used: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "samphirekeel_tenant_used_millicores", Help: "Processor capacity of the tenant's tasks that may be running.",
		}, labels),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "samphirekeel_tenant_cap_share", Help: "The highest used fraction of the tenant's cap over processor capacity, memory and accelerators.",
		}, labels),
		capped: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "samphirekeel_tenant_capped_jobs", Help: "Jobs that wait for room under their tenant's cap.",
		}, labels),
		beyond: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_tenant_jobs_beyond_total", Help: "Jobs beyond the number a second that their tenant is owed.",
		}, labels),
		over: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_tenant_jobs_over_share_total", Help: "Jobs whose tenant had sent more work than its share of the pool.",
		}, labels),
	}
	registry.MustRegister(m.used, m.share, m.capped, m.beyond, m.over)
	return m
}

func (m *Metrics) resetTenants() {
	if m == nil {
		return
	}
	m.tenants.used.Reset()
	m.tenants.share.Reset()
	m.tenants.capped.Reset()
}

func (m *Metrics) addTenant(t *tenantState) {
	if m == nil {
		return
	}
	name := m.tenants.label(t.name)
	m.tenants.used.WithLabelValues(name).Add(float64(t.used.MilliCores))
	m.tenants.capped.WithLabelValues(name).Add(float64(t.capped.Len()))
	m.tenants.beyond.WithLabelValues(name).Add(float64(t.beyond))
	m.tenants.over.WithLabelValues(name).Add(float64(t.over))
	if name != otherTenants {
		m.tenants.share.WithLabelValues(name).Set(t.limit.DominantShare(t.used))
	}
}

// label returns the tenant's label.
func (m *tenantMetrics) label(name string) string {
	if !m.names[name] && len(m.names) == maxTenantNames {
		return otherTenants
	}
	m.names[name] = true
	return name
}
