package site

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/tenant"
)

// TestConfigSummary guards against keys that an entry shows to whoever can read its metrics.
func TestConfigSummary(t *testing.T) {
	s := &Entry{registry: prometheus.NewRegistry()}
	handler := s.metricsServer().Handler
	get := func() *fasthttp.Response {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(configPath)
		handler(&ctx)
		return &ctx.Response
	}
	assert.Equal(t, get().StatusCode(), fasthttp.StatusServiceUnavailable)
	config := queue.NewConfig(7, []*queue.Queue{{Name: "q"}}, nil, queue.Limits{})
	config.Tenants = tenant.NewSet()
	config.Tenants.Add(tenant.Tenant{Name: "t"}, []tenant.Key{tenant.HashKey("secret")})
	s.config.Store(config)
	body := string(get().Body())
	assert.Check(t, strings.Contains(body, `"version":7`) && strings.Contains(body, tenant.HashKey("secret").String()), body)
	assert.Check(t, !strings.Contains(body, "secret"), body)
}
