package site

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

const (
	// maxTenantLabels bounds the tenants that have metrics of their own; the largest deployment has 140.
	maxTenantLabels = 200
	// otherTenants stands for the tenants beyond them, and noTenant for callers without a valid key.
	otherTenants = "other"
	noTenant     = "none"
)

// The values of the label result.
const (
	resultAccepted     = "accepted"
	resultRefused      = "refused"
	resultUnauthorised = "unauthorised"
)

// tenantMetrics counts the requests of tenants; its method may be called from any goroutine.
type tenantMetrics struct {
	requests *prometheus.CounterVec

	mu sync.Mutex
	// named holds the tenants that have metrics of their own.
	named map[string]bool
}

// newTenantMetrics creates the metrics and registers them.
func newTenantMetrics(registry *prometheus.Registry) *tenantMetrics {
	m := &tenantMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "samphirekeel_tenant_requests_total", Help: "Requests to queues that need a key, by tenant and result.",
		}, []string{"tenant", "result"}),
		named: make(map[string]bool),
	}
	registry.MustRegister(m.requests)
	return m
}

// observe counts a request that has its response.
func (m *tenantMetrics) observe(tenant string, status int) {
	result := resultRefused
	switch {
	case status == fasthttp.StatusUnauthorized:
		result = resultUnauthorised
	case status < fasthttp.StatusMultipleChoices, status == fasthttp.StatusGone:
		result = resultAccepted
	}
	m.requests.WithLabelValues(m.label(tenant), result).Inc()
}

// label returns the label of a tenant, empty for a caller without a valid key.
func (m *tenantMetrics) label(tenant string) string {
	if tenant == "" {
		return noTenant
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.named[tenant] && len(m.named) >= maxTenantLabels {
		return otherTenants
	}
	m.named[tenant] = true
	return tenant
}
