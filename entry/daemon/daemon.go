package daemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"samphirekeel.example/entry/config"
	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/gateway"
	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/meter"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/repair"
	"samphirekeel.example/keel/route"
	"samphirekeel.example/keel/sequence"
	"samphirekeel.example/keel/upstream"
	"samphirekeel.example/keel/wave"
)

const (
	controlWorkers       = 64
	maxPlatformConns     = 128
	memberLease          = 5 * time.Second
	memberRenewInterval  = 2 * time.Second
	memberPollInterval   = time.Second
	replicaInterval      = 500 * time.Millisecond
	heartbeatInterval    = 500 * time.Millisecond
	instanceListInterval = time.Second
	// waveInterval is not a multiple of announceInterval, so that a wave step never coincides with an announcement.
	waveInterval          = 230 * time.Millisecond
	repairInterval        = time.Second
	jobInterval           = time.Second
	instanceSizesInterval = time.Second
	peerTimeout           = time.Second
	// memoryReleaseDelay is the time between readiness and the release of the memory that the start used.
	memoryReleaseDelay = 3 * time.Second
	maxLoopPhase       = 100 * time.Millisecond
	idleTimeout        = 60 * time.Second
	readTimeout        = 30 * time.Second
)

// Daemon is one entry process; its exported fields are set before Run is called.
type Daemon struct {
	Config config.Config
	Log    *event.Log
	// Version is the program's version as it appears in the log.
	Version string
	// Listen opens a listener; nil selects TCP.
	Listen func(address string, queues connection.Queues) (net.Listener, error)
	// Dial opens a connection within the timeout; nil selects TCP.
	Dial upstream.DialFunc
	// Client calls the platform; nil selects HTTP to the address in the settings.
	Client *platform.Client
	// Random returns a random number below n for the choice of endpoints; nil selects math/rand/v2.
	Random func(n int) int

	loop       *control.Loop
	view       *fleet.View
	session    *duty.Session
	jobs       *job.Controller
	jobService *job.Service
	// sizesVersion is the version of the control rows at the last call of publishInstanceSizes.
	sizesVersion  uint64
	router        *route.Router
	node          *peer.Node
	gateway       *gateway.Gateway
	claims        *claim.Service
	claimSnapshot atomic.Pointer[claimSnapshot]
	// registry holds the metrics of the process.
	registry *prometheus.Registry
	// platformMeter and peerMeter count the bytes of connections to the platform and to peers.
	platformMeter meter.Meter
	peerMeter     meter.Meter
	heartbeat     atomic.Pointer[peer.Heartbeat]
	ready         atomic.Bool
	stopping      atomic.Bool
	accounts      clientAccounts
	callerConns   connection.Set
	operatorConns connection.Set
	// startedAt is the time at which the control loop started.
	startedAt time.Time
	replica   replicaState
	// replicaCheckedAt is replica.checkedAt once the rows of that check are applied, nil before the first.
	replicaCheckedAt atomic.Pointer[time.Time]

	broadcast broadcastState
	// endedSessions counts the sessions of this process that other entries ended.
	endedSessions int
}

// Run serves until ctx ends, then finishes the requests in flight and hands over the entry's duties.
func (d *Daemon) Run(ctx context.Context) error {
	d.setDefaults()
	listeners, err := listenAll(d.Listen, d.Config.Listen, func(setting string, err error, delay time.Duration) {
		d.Log.Write(event.AcceptFailed, event.Fields{"listener": setting, "reason": err.Error(), "retry_ms": delay.Milliseconds()})
	})
	if err != nil {
		return err
	}
	defer listeners.close()
	d.build()
	d.Log.Write(event.EntryStarted, event.Fields{
		"incarnation": d.session.Self.Incarnation, "data_centre": d.Config.DataCentre, "version": d.Version,
	})
	// The servers and the loop continue after ctx ends, until drain has finished the requests in flight.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return d.loop.Run(groupCtx, d.start) })
	group.Go(func() error { return d.callerServer().Serve(listeners.callers) })
	group.Go(func() error { return d.operatorServer().Serve(listeners.operators) })
	group.Go(func() error { return d.node.Serve(groupCtx, d.peerMeter.Listener(listeners.peers)) })
	select {
	case <-ctx.Done():
		d.drain(listeners)
	case <-groupCtx.Done():
	}
	stop()
	listeners.close()
	err = group.Wait()
	d.node.Close()
	d.claims.Batcher.Close()
	d.Log.Write(event.EntryStopped, nil)
	return err
}

// setDefaults sets the unset dependencies, and the names of the meters.
func (d *Daemon) setDefaults() {
	d.platformMeter.Link = "platform"
	d.peerMeter.Link = "peer"
	if d.Listen == nil {
		d.Listen = connection.Listen
	}
	if d.Dial == nil {
		d.Dial = dialTCP
	}
	if d.Client == nil {
		d.Client = (&platform.HTTP{
			Address: d.Config.Platform.Address, DataCentre: d.Config.DataCentre,
			Timeout: time.Duration(d.Config.Platform.Timeout), MaxConns: maxPlatformConns,
			Wrap: d.platformMeter.Conn,
		}).Client()
	}
}

func (d *Daemon) build() {
	incarnation := fmt.Sprintf("%s-%d", d.Config.Name, time.Now().UnixNano())
	d.registry = newRegistry()
	d.buildAccounts()
	d.Client = platform.NewMetrics(d.registry).Client(d.Client)
	d.loop = control.New(controlWorkers)
	d.loop.Phase = time.Duration(xxhash.Sum64String(d.Config.Name) % uint64(maxLoopPhase))
	d.view = fleet.NewView()
	d.router = &route.Router{
		Log: d.Log, DataCentre: d.Config.DataCentre, Dial: d.dialEndpoint, Random: d.Random,
		Capacity: int64(d.Config.Limits.Connections), Metrics: route.NewMetrics(d.registry), Current: d.replicaCurrent,
	}
	d.session = &duty.Session{
		Client: d.Client, Loop: d.loop, Log: d.Log, LeaseDuration: memberLease, RenewInterval: memberRenewInterval, PollInterval: memberPollInterval,
		Self: duty.Member{Incarnation: incarnation, Name: d.Config.Name, DataCentre: d.Config.DataCentre, Peer: d.Config.Listen.Peers},
		DutyNames: func() []string {
			return append([]string{wave.DutyName, repair.DutyName, claim.DutyName}, d.jobs.DutyNames()...)
		},

		NewIncarnation: d.newIncarnation,
	}
	d.node = &peer.Node{
		Log: d.Log, Dial: d.dialPeer, Timeout: peerTimeout, Account: d.accounts.peers,
		Heartbeat: func() peer.Heartbeat { return *d.heartbeat.Load() },
		OnHeartbeat: func(heartbeat peer.Heartbeat) {
			d.loop.Post(context.Background(), func() { d.receiveHeartbeat(heartbeat) })
		},
		ServeRows:     d.serveRows,
		OnJobsChanged: func(pool string) { d.loop.Post(context.Background(), func() { d.jobs.ScanPool(pool) }) },
		ServeClaimQuery: func(ctx context.Context, query claim.HolderQuery) claim.HolderResponse {
			return d.claims.HandleHolderQuery(ctx, query)
		},
	}
	d.buildClaims(incarnation)
	d.buildJobs()
	d.gateway = &gateway.Gateway{
		Router: d.router, Log: d.Log,
		Claims: d.claims, Sequences: &sequence.Service{Client: d.Client, Claims: d.claims},
		HoldResponse: connection.HoldResponse,
		Jobs:         (&gateway.Jobs{Service: d.jobService, Router: d.router, Log: d.Log, Hold: connection.Hold}).Handle,
	}
}

// sessionSeparator separates the incarnation with which an entry started from the number of a later session.
const sessionSeparator = "+"

// newIncarnation returns an unused incarnation for the session that replaces one that another entry ended.
func (d *Daemon) newIncarnation() string {
	d.endedSessions++
	return fmt.Sprintf("%s%s%d", processIncarnation(d.session.Self.Incarnation), sessionSeparator, d.endedSessions)
}

// processIncarnation returns the incarnation with which the entry started and under which it holds claims.
func processIncarnation(incarnation string) string {
	start, _, _ := strings.Cut(incarnation, sessionSeparator)
	return start
}

// start starts the control work; it is called on the loop.
func (d *Daemon) start() {
	d.startedAt = time.Now()
	d.session.Start()
	d.loop.Every(replicaInterval, d.refreshReplica)
	d.loop.Every(instanceListInterval, d.fetchInstanceList)
	d.loop.Every(heartbeatInterval, d.sendHeartbeats)
	waves := &wave.Controller{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, View: d.view,
		Interval: waveInterval, Usage: d.usage(), Refresh: d.fetchRows,
	}
	waves.Start()
	repairs := &repair.Controller{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, View: d.view,
		Interval: repairInterval, Usage: d.usage(), Refresh: d.fetchRows,
	}
	repairs.Start()
	d.jobs.Start()
	d.loop.Every(routeInterval, d.refreshRoutes)
	d.startClaimSweeper()
	d.loop.Every(instanceSizesInterval, d.publishInstanceSizes)
}

// readView runs f on the control loop and waits for it; it fails with kind NotReady if ctx ends first.
func (d *Daemon) readView(ctx context.Context, f func(*fleet.View)) error {
	done := make(chan struct{})
	d.loop.Post(ctx, func() {
		f(d.view)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.NotReady, "the control loop did not respond in time")
	}
}

// dialEndpoint opens a connection to an endpoint, of which the kernel queues no more than of a client's.
func (d *Daemon) dialEndpoint(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := d.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	connection.LimitQueues(conn, connection.ClientQueues)
	return conn, nil
}

func (d *Daemon) dialPeer(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := d.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return d.peerMeter.Conn(conn), nil
}
