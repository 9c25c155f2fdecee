package memory

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"samphirekeel.example/keel/event"
)

// reportInterval is the minimum time between two log lines about one listener and reason.
const reportInterval = time.Second

// Owner divides Bytes among accounts; its exported fields are set before the first account is opened.
type Owner struct {
	// Bytes is the memory that all accounts together may hold.
	Bytes int64
	Log   *event.Log

	accounts []*Account
}

// Account returns a new account for the clients of one listener: it may hold the share, a fraction, of the bytes and the number
// of connections, 0 for no limit.
func (o *Owner) Account(listener string, share float64, connections int) *Account {
	a := &Account{Listener: listener, Bytes: int64(share * float64(o.Bytes)), Connections: connections, Log: o.Log}
	o.accounts = append(o.accounts, a)
	return a
}

// Register adds the metrics of the accounts to the registry.
func (o *Owner) Register(registry prometheus.Registerer) {
	for _, a := range o.accounts {
		labels := prometheus.Labels{"listener": a.Listener}
		for _, gauge := range []struct {
			name, help string
			value      func() float64
		}{
			{"client_memory_bytes", "Memory held for the clients of a listener.", func() float64 { return float64(a.Used()) }},
			{"client_memory_limit_bytes", "Memory that may be held for the clients of a listener.", func() float64 { return float64(a.Bytes) }},
			{"client_connections", "Open connections of the clients of a listener.", func() float64 { return float64(a.Open()) }},
		} {
			registry.MustRegister(prometheus.NewGaugeFunc(
				prometheus.GaugeOpts{Namespace: "samphirekeel", Name: gauge.name, Help: gauge.help, ConstLabels: labels}, gauge.value))
		}
		for i, limit := range limits {
			labels := prometheus.Labels{"listener": a.Listener, "reason": limit.reason, "action": limit.action}
			registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
				Namespace: "samphirekeel", Name: "clients_limited_total", ConstLabels: labels,
				Help: "Connections that were closed or refused at a limit, and requests that were refused for want of memory.",
			}, func() float64 { return float64(a.Count(Limit(i))) }))
		}
	}
}
