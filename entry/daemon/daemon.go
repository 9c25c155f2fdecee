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
	"github.com/valyala/fasthttp"
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
	controlWorkers = 64
	platformConns  = 128
	memberLease    = 5 * time.Second
	memberInterval = 2 * time.Second
	memberPoll     = time.Second
	rowsInterval   = 500 * time.Millisecond
	beatInterval   = 500 * time.Millisecond
	listInterval   = time.Second
	// waveInterval is no multiple of announceGap, so that a look at the waves never falls on the instant of an announcement.
	waveInterval   = 230 * time.Millisecond
	repairInterval = time.Second
	jobInterval    = time.Second
	shapesInterval = time.Second
	peerTimeout    = time.Second
	// settleTime is the time from readiness to the return of the memory that the start took.
	settleTime       = 3 * time.Second
	maxPhase         = 100 * time.Millisecond
	idleTimeout      = 60 * time.Second
	callerReadWithin = 30 * time.Second
)

// Daemon is one entry process.
type Daemon struct {
	Config config.Config
	Log    *event.Log
	// Version is the program's version as it appears in the log.
	Version string
	// Listen opens a listener; nil stands for TCP.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection within the timeout; nil stands for TCP.
	Dial upstream.DialFunc
	// Client calls the platform; nil stands for HTTP to the address in the settings.
	Client *platform.Client
	// Random returns a number below n for the choice of endpoints; nil stands for the library's generator.
	Random func(n int) int

	loop         *control.Loop
	view         *fleet.View
	session      *duty.Session
	jobs         *job.Controller
	jobService   *job.Service
	shapesNewest uint64
	router       *route.Router
	node         *peer.Node
	gateway      *gateway.Gateway
	claims       *claim.Service
	shared       atomic.Pointer[claimShare]
	// registry holds the metrics of the process.
	registry *prometheus.Registry
	// platformMeter and peerMeter count what control work costs the network.
	platformMeter meter.Meter
	peerMeter     meter.Meter
	beat          atomic.Pointer[peer.Heartbeat]
	ready         atomic.Bool
	stopping      atomic.Bool
	callerConns   connection.Set
	operatorConns connection.Set
	// began is when the control loop started.
	began        time.Time
	follow       follow
	announcement announcement
	// sessions counts the memberships that other entries ended.
	sessions int
}

// Run serves until ctx ends, then finishes what is in flight and hands back its duties.
func (d *Daemon) Run(ctx context.Context) error {
	d.setSeams()
	listeners, err := listenAll(d.Listen, d.Config.Listen)
	if err != nil {
		return err
	}
	defer listeners.close()
	d.build()
	d.Log.Write(event.EntryStarted, event.Fields{
		"incarnation": d.session.Self.Incarnation, "data_centre": d.Config.DataCentre, "version": d.Version,
	})
	// The servers and the loop outlive ctx until the requests in flight are answered.
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

// setSeams fills in what the daemon was not given.
func (d *Daemon) setSeams() {
	d.platformMeter.Link = "platform"
	d.peerMeter.Link = "peer"
	if d.Listen == nil {
		d.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if d.Dial == nil {
		d.Dial = dialTCP
	}
	if d.Client == nil {
		d.Client = (&platform.HTTP{
			Address: d.Config.Platform.Address, DataCentre: d.Config.DataCentre,
			Timeout: time.Duration(d.Config.Platform.Timeout), MaxConns: platformConns,
			Wrap: d.platformMeter.Conn,
		}).Client()
	}
}

func (d *Daemon) build() {
	incarnation := fmt.Sprintf("%s-%d", d.Config.Name, time.Now().UnixNano())
	d.registry = newRegistry()
	d.Client = platform.NewMetrics(d.registry).Client(d.Client)
	d.loop = control.New(controlWorkers)
	d.loop.Phase = time.Duration(xxhash.Sum64String(d.Config.Name) % uint64(maxPhase))
	d.view = fleet.NewView()
	d.router = &route.Router{
		Log: d.Log, DataCentre: d.Config.DataCentre, Dial: d.Dial, Random: d.Random,
		Capacity: int64(d.Config.Limits.Connections), Metrics: route.NewMetrics(d.registry),
	}
	d.session = &duty.Session{
		Client: d.Client, Loop: d.loop, Log: d.Log, LeaseDuration: memberLease, RenewInterval: memberInterval, PollInterval: memberPoll,
		Self: duty.Member{Incarnation: incarnation, Name: d.Config.Name, DataCentre: d.Config.DataCentre, Peer: d.Config.Listen.Peers},
		DutyNames: func() []string {
			return append([]string{wave.DutyName, repair.DutyName, claim.DutyName}, d.jobs.DutyNames()...)
		},

		NewIncarnation: d.newIncarnation,
	}
	d.node = &peer.Node{
		Log: d.Log, Dial: d.dialPeer, Timeout: peerTimeout,
		Heartbeat:     func() peer.Heartbeat { return *d.beat.Load() },
		OnHeartbeat:   func(beat peer.Heartbeat) { d.loop.Post(context.Background(), func() { d.hear(beat) }) },
		ServeRows:     d.rows,
		OnJobsChanged: func(pool string) { d.loop.Post(context.Background(), func() { d.jobs.ScanPool(pool) }) },
		ServeClaimQuery: func(ctx context.Context, ask claim.HolderQuery) claim.HolderResponse {
			return d.claims.HandleHolderQuery(ctx, ask)
		},
	}
	d.buildClaims(incarnation)
	d.buildJobs()
	d.gateway = &gateway.Gateway{
		Router: d.router, Log: d.Log,
		Claims: d.claims, Sequences: &sequence.Service{Client: d.Client, Claims: d.claims},
		Jobs: (&gateway.Jobs{Service: d.jobService, Router: d.router, Log: d.Log}).Handle,
	}
}

// sessionSeparator stands between the incarnation that an entry started with and the number of a later session.
const sessionSeparator = "+"

// newIncarnation returns a name that no session of an entry has had, for one that another entry ended.
func (d *Daemon) newIncarnation() string {
	d.sessions++
	return fmt.Sprintf("%s%s%d", startOf(d.session.Self.Incarnation), sessionSeparator, d.sessions)
}

// startOf returns the incarnation that the entry started with, under which it holds claims.
func startOf(incarnation string) string {
	start, _, _ := strings.Cut(incarnation, sessionSeparator)
	return start
}

// start begins the control work; it is called on the loop.
func (d *Daemon) start() {
	d.began = time.Now()
	d.session.Start()
	d.loop.Every(rowsInterval, d.followTable)
	d.loop.Every(listInterval, d.fetchList)
	d.loop.Every(beatInterval, d.sendBeats)
	waves := &wave.Controller{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, View: d.view,
		Interval: waveInterval, Usage: d.use(), Refresh: d.fetchRows,
	}
	waves.Start()
	repairs := &repair.Controller{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, View: d.view,
		Interval: repairInterval, Usage: d.use(), Refresh: d.fetchRows,
	}
	repairs.Start()
	d.jobs.Start()
	d.loop.Every(routeInterval, d.refreshRoutes)
	d.sweepClaims()
	d.loop.Every(shapesInterval, d.publishShapes)
}

func (d *Daemon) callerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: d.serveCaller, Name: "samphirekeel", ConnState: d.callerConns.Track,
		MaxRequestBodySize: d.Config.Limits.BodyBytes, Concurrency: d.Config.Limits.Connections,
		ReadTimeout: callerReadWithin, IdleTimeout: idleTimeout,
		NoDefaultDate: true, ErrorHandler: gateway.RejectMalformed,
	}
}

// read runs f on the control loop and waits for it.
func (d *Daemon) read(ctx context.Context, f func(*fleet.View)) error {
	done := make(chan struct{})
	d.loop.Post(ctx, func() {
		f(d.view)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.New(fault.NotReady, "the control loop does not answer")
	}
}

func (d *Daemon) dialPeer(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := d.Dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return d.peerMeter.Conn(conn), nil
}
