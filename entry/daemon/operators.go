package daemon

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/gateway"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/repair"
	"samphirekeel.example/keel/settings"
)

// metricsTimeout is the longest time that a read of the metrics waits for the control loop.
const metricsTimeout = time.Second

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

func (d *Daemon) operatorServer() *connection.Server {
	d.platformMeter.Register(d.registry)
	d.peerMeter.Register(d.registry)
	d.registerGauges()
	d.registry.MustRegister(&repair.Metrics{Read: d.readView})
	api := &operator.API{
		Operators: d.Config.Operators, Client: d.Client, Registry: d.registry, Ready: d.checkReady, ReadView: d.readView,
		RefreshView:       d.refreshView,
		Store:             &settings.Store{Client: d.Client, CachedState: d.currentSettings},
		Log:               d.Log,
		Usage:             d.usage(),
		Members:           d.session.Registered,
		ForgetEntryTxn:    d.session.Forget,
		Jobs:              d.jobService,
		OnSettingsChanged: func() { d.loop.Post(context.Background(), d.fetchRows) },
	}
	return &connection.Server{
		Handler: d.withBody(holdDecoded(api.Handler())), Reject: gateway.RejectMalformed, Set: &d.operatorConns, Account: d.accounts.operators,
		Timeouts: d.timeouts(), KeepAlive: idleTimeout, Queues: connection.ClientQueues, MaxBody: d.maxBody,
	}
}

// currentSettings returns the settings that this entry applies, nil if there are none yet or the control loop does not
// respond.
func (d *Daemon) currentSettings(ctx context.Context) *settings.State {
	var state *settings.State
	err := d.readView(ctx, func(view *fleet.View) {
		if d.replica.complete {
			state = view.Settings()
		}
	})
	if err != nil {
		return nil
	}
	return state
}

// registerGauges registers the gauges whose values are read on the control loop.
func (d *Daemon) registerGauges() {
	for _, gauge := range []struct {
		name, help string
		value      func(*fleet.View) float64
	}{
		{"settings_revision", "Revision of the settings in force.", func(v *fleet.View) float64 { return float64(v.Settings().Tree.Revision()) }},
		{"settings_checked_age_seconds", "Age of the moment at which the control rows were known to be the table's.",
			func(*fleet.View) float64 { return time.Since(d.replica.checkedAt).Seconds() }},
		{"control_rows", "Control rows held in memory.", func(v *fleet.View) float64 { return float64(v.Cache().Len()) }},
		{"duties_held", "Duties that this entry holds.", func(*fleet.View) float64 { return float64(d.session.HeldCount()) }},
		{"members", "Registered entries.", func(*fleet.View) float64 { return float64(len(d.session.Registered())) }},
	} {
		d.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "samphirekeel", Name: gauge.name, Help: gauge.help},
			func() float64 { return d.readGauge(gauge.value) },
		))
	}
}

// readGauge returns the value, read on the control loop, or -1 if the loop does not respond within metricsTimeout.
func (d *Daemon) readGauge(value func(*fleet.View) float64) float64 {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	result := -1.0
	err := d.readView(ctx, func(view *fleet.View) { result = value(view) })
	if err != nil {
		return -1
	}
	return result
}

func (d *Daemon) checkReady() error {
	if !d.ready.Load() {
		return fault.New(fault.NotReady, "no settings from the platform or a peer yet, or stopping").WithRetryAfter(time.Second)
	}
	return nil
}
