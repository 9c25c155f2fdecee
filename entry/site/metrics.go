package site

import (
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/configcheck"
	"samphirekeel.example/keel/fault"
)

// metricsPath is the path at which metrics are served.
const metricsPath = "/metrics"

// configPath is the path at which the summary of the applied configuration is served, without the keys of tenants.
const configPath = "/config"

// The values of the metrics' label call.
const (
	callSubmit  = "submit"
	callState   = "state"
	callCancel  = "cancel"
	callPending = "pending"
	callOther   = "other"
)

// requestMetrics records callers' requests and their responses.
type requestMetrics struct {
	seconds *prometheus.HistogramVec
}

// newRequestMetrics creates the metrics and registers them.
func (s *Entry) newRequestMetrics() *requestMetrics {
	m := &requestMetrics{seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "samphirekeel_request_seconds", Help: "Time to answer callers, by call and status.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"call", "status"})}
	s.registry.MustRegister(m.seconds, collectors.NewGoCollector(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirekeel_config_version", Help: "Version of the operator's configuration in force here, 0 for none.",
		}, s.configVersion),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirekeel_store_age_seconds", Help: "Time since the store last answered this entry.",
		}, func() float64 { return (s.Now() - time.Duration(s.lastStoreResponse.Load())).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirekeel_leading", Help: "1 while this entry places tasks.",
		}, func() float64 { return float64(s.leading.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "samphirekeel_requests_in_flight", Help: "Callers' requests being answered.",
		}, func() float64 { return float64(s.conns.Active()) }),
	)
	return m
}

func (s *Entry) configVersion() float64 {
	config := s.config.Load()
	if config == nil {
		return 0
	}
	return float64(config.Version)
}

// observe records one request that has its response.
func (m *requestMetrics) observe(call string, status int, duration time.Duration) {
	m.seconds.WithLabelValues(call, strconv.Itoa(status)).Observe(duration.Seconds())
}

// maxConcurrentScrapes is the maximum number of requests of operators that are served at the same time; others get 503.
const maxConcurrentScrapes = 4

// metricsServer returns a server for the metrics of the registry.
func (s *Entry) metricsServer() *connection.Server {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	var serving atomic.Int64
	return s.probeServer(s.accounts.metrics, func(ctx *fasthttp.RequestCtx) {
		defer serving.Add(-1)
		if serving.Add(1) > maxConcurrentScrapes {
			writeError(ctx, fault.New(fault.Overloaded, "more than %d requests at the same time", maxConcurrentScrapes).WithRetryAfter(retryAfter))
			return
		}
		switch string(ctx.Path()) {
		case metricsPath:
			metrics(ctx)
		case configPath:
			s.serveConfig(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
}

// serveConfig serves the summary of the applied configuration to operators.
func (s *Entry) serveConfig(ctx *fasthttp.RequestCtx) {
	config := s.config.Load()
	if config == nil {
		writeError(ctx, fault.New(fault.NotReady, "no configuration loaded yet on this entry").WithRetryAfter(retryAfter))
		return
	}
	body, err := json.Marshal(configcheck.Summarise(config))
	if err != nil {
		writeError(ctx, fault.Wrap(fault.Internal, err, "encode the configuration's summary"))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
