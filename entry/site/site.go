package site

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/leader"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/peer"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/schedule"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/worker"
	"samphirekeel.example/platform"
)

const (
	// controlWorkers bounds the calls that are under way at once: one look for each of 500 workers, and orders.
	controlWorkers = 3000
	// peerTimeout bounds a call between entries; a link crosses data centres in a few milliseconds.
	peerTimeout = 350 * time.Millisecond
	// gcPercent trades memory, of which an entry has 184 MB or more, for processor time.
	gcPercent = 400
	// memoryPart is the part of the instance's memory at which the collector works harder.
	memoryPart = 0.6
	// weakShare is the share of a core below which an entry leads only where no stronger one does.
	weakShare = 0.3
	// weakRank, firstRank and rankSpread order the entries that may take the lease.
	weakRank   = 12
	firstRank  = 4
	rankSpread = 4
)

// Wire reads what the platform's writers leave in the store.
type Wire struct {
	schedule.RowCodec
	// OperatorTable names the table that the operator writes.
	OperatorTable string
	IsConfig      func(table.Row) bool
	Config        func(table.Row) (*queue.Config, error)
	IsWave        func(table.Row) bool
	Wave          func(table.Row) (provider.Wave, error)
}

// PlatformWire returns the wire of the users' platform.
func PlatformWire() Wire {
	return Wire{
		RowCodec: schedule.RowCodec{
			Registration: platform.DecodeRegistration, WaveStatus: platform.WaveStatus, RegistrationTable: platform.RegistrationTable,
		},
		OperatorTable: platform.OperatorTable, IsConfig: platform.IsConfig, Config: platform.DecodeConfig,
		IsWave: platform.IsWave, Wave: platform.DecodeWave,
	}
}

// Site is one entry process.
type Site struct {
	Settings deployment.Settings
	Log      *event.Log
	// Version is the program's version as it appears in the log.
	Version string
	// Reload reads the settings anew.
	Reload func() (deployment.Settings, error)
	// MetricsPort is where /metrics is served, on the entry's own address; 0 for nowhere.
	MetricsPort int
	// Store, Workers, Estate and Adviser are the platform.
	Store   *table.Store
	Workers *worker.Client
	Estate  *provider.Client
	Adviser *worker.PolicyClient
	// Wire reads what others leave in the store.
	Wire Wire
	// Listen opens a listener and Dial a connection within the timeout; nil stands for TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(address string, timeout time.Duration) (net.Conn, error)
	// Now is a steady clock that counts the time of a suspension, Wall the time of day since 1970; nil stands for the
	// system's clocks.
	Now  func() time.Duration
	Wall func() time.Duration

	loop      *control.Loop
	lease     *leader.Lease
	node      *peer.Node
	jobs      *ledger.Store
	inbox     *ledger.SubmissionWriter
	registry  *prometheus.Registry
	metrics   *schedule.Metrics
	scheduler *schedule.Scheduler
	waves     map[int64]provider.Wave
	// operatorRows holds the operator's rows by name.
	operatorRows map[string]table.Row

	config   atomic.Pointer[queue.Config]
	stopping atomic.Bool
	// wasReady is what the balancer was told last.
	wasReady atomic.Bool
	// leading is 1 while this entry places tasks.
	leading  atomic.Int64
	requests *requestMetrics
	// answered is when the store last answered this entry, by the boot clock.
	answered atomic.Int64
	// passedOn is when the leader last answered this entry in the store's place.
	passedOn atomic.Int64
	conns    connection.Set
	// storeLost reports that the store doesn't answer this entry's questions.
	storeLost atomic.Bool
}

// Run serves until ctx ends, then finishes what is in flight and gives back the lease.
func (s *Site) Run(ctx context.Context, reload <-chan struct{}) error {
	s.setSeams()
	s.build()
	open, err := s.listen()
	if err != nil {
		return err
	}
	s.Log.Write(event.EntryStarted, event.Fields{"incarnation": s.Settings.Name, "data_centre": s.Settings.DataCentre, "version": s.Version})
	// The servers and the loop outlive ctx until the requests in flight are answered.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return s.loop.Run(groupCtx, s.start) })
	group.Go(func() error { return ended(groupCtx, s.callerServer().Serve(open.callers)) })
	group.Go(func() error { return ended(groupCtx, s.readinessServer().Serve(open.readiness)) })
	group.Go(func() error { return s.node.Serve(groupCtx, open.peers) })
	if open.metrics != nil {
		group.Go(func() error { return ended(groupCtx, s.metricsServer().Serve(open.metrics)) })
	}
	for {
		select {
		case <-reload:
			s.reload()
			continue
		case <-ctx.Done():
			s.drain(open.callers)
		case <-groupCtx.Done():
		}
		break
	}
	stop()
	open.close()
	s.node.Close()
	err = group.Wait()
	s.Log.Write(event.EntryStopped, nil)
	return err
}

// ended drops the error of a server whose listener was closed by a stop.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// setSeams fills in what the site was not given.
func (s *Site) setSeams() {
	if s.Listen == nil {
		s.Listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	if s.Dial == nil {
		s.Dial = func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		}
	}
	if s.Now == nil {
		s.Now = bootClock
	}
	if s.Wall == nil {
		s.Wall = wallClock
	}
}

func (s *Site) build() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.Settings.Limits.MemoryMB) * memoryPart * (1 << 20)))
	s.registry = prometheus.NewRegistry()
	s.metrics = schedule.NewMetrics(s.registry)
	s.requests = s.newRequestMetrics()
	s.waves = make(map[int64]provider.Wave)
	s.operatorRows = make(map[string]table.Row)
	s.loop = control.New(controlWorkers)
	s.jobs = &ledger.Store{Table: s.Store}
	s.inbox = &ledger.SubmissionWriter{Table: s.Store}
	s.node = &peer.Node{Log: s.Log, Dial: s.Dial, Timeout: peerTimeout, Methods: s.methods()}
	s.lease = &leader.Lease{
		Store: s.Store, Loop: s.loop, Log: s.Log, Name: s.Settings.Name, Address: s.peerAddress(), Rank: s.rank(),
		Now: s.Now, OnAcquired: s.lead, OnLost: s.follow,
		RecentOrders: func() map[string]int64 {
			if s.scheduler == nil {
				return nil
			}
			return s.scheduler.RecentOrders()
		},
	}
}

// rank returns how long the entry waits for others to take a free lease: weak instances wait longest, then those that
// were not started again, which a rolling restart is still to reach; equal ones don't all try at once.
func (s *Site) rank() int {
	rank := int(xxhash.Sum64String(s.Settings.Name) % rankSpread)
	if s.Settings.FirstStart {
		rank += firstRank
	}
	if s.Settings.Limits.CPUShare < weakShare {
		rank += weakRank
	}
	return rank
}

// start begins the control work; it is called on the loop.
func (s *Site) start() {
	s.lease.Start()
	s.followOperator()
}

// lead begins an epoch; it is called on the loop.
func (s *Site) lead(epoch int64, before leader.Record) {
	now := s.Now()
	s.scheduler = &schedule.Scheduler{
		Loop: s.loop, Log: s.Log, Store: s.Store, Workers: s.Workers, Estate: s.Estate, Adviser: s.Adviser,
		Bounds: s.Settings.Bounds, Limits: s.Settings.Estate, Metrics: s.metrics, Holder: s.Settings.Name, Epoch: epoch,
		Config: s.config.Load(), Now: s.Now, Wall: s.Wall, LeaseValid: s.lease.Valid,
		InstanceOrdersFrom: make(map[string]time.Duration),
		Rows:               s.Wire.RowCodec,
	}
	s.setOrderTimes(now, before)
	s.leading.Store(1)
	s.scheduler.Begin()
	s.passWaves()
}

// setOrderTimes keeps orders of two holders to one instance apart.
func (s *Site) setOrderTimes(now time.Duration, before leader.Record) {
	apart := s.Settings.Bounds.HolderLease
	if before.Holder == "" || before.Holder == s.Settings.Name {
		return
	}
	if !before.Released {
		s.scheduler.OrdersFrom = now + apart - time.Duration(before.LeaseMillis)*time.Millisecond
		return
	}
	for instance, age := range before.RecentOrders {
		s.scheduler.InstanceOrdersFrom[instance] = now + apart - time.Duration(age)*time.Millisecond
	}
}

// follow ends an epoch; it is called on the loop.
func (s *Site) follow(reason string) {
	if s.scheduler == nil {
		return
	}
	s.Log.Write(event.LeaderLost, event.Fields{"epoch": s.scheduler.Epoch, "reason": reason})
	s.leading.Store(0)
	s.scheduler.End()
	s.scheduler = nil
}

// passWaves hands the waves that are asked for to the scheduler.
func (s *Site) passWaves() {
	if s.scheduler == nil {
		return
	}
	all := make([]provider.Wave, 0, len(s.waves))
	for _, w := range s.waves {
		all = append(all, w)
	}
	s.scheduler.SetWaves(all)
}

// reload reads the settings file again; bounds and limits are put in force, addresses need a restart.
func (s *Site) reload() {
	settings, err := s.Reload()
	if err != nil {
		s.Log.Write(event.ReloadDone, event.Fields{"outcome": err.Error(), "changed": false})
		return
	}
	s.loop.Post(context.Background(), func() {
		changed := s.Settings.Bounds != settings.Bounds || s.Settings.Limits != settings.Limits
		s.Settings.Bounds, s.Settings.Limits, s.Settings.Estate = settings.Bounds, settings.Limits, settings.Estate
		if s.scheduler != nil {
			s.scheduler.Bounds, s.scheduler.Limits = settings.Bounds, settings.Estate
		}
		s.Log.Write(event.ReloadDone, event.Fields{"outcome": "read", "changed": changed})
	})
}

func (s *Site) callerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: s.serveCaller, Name: "samphirekeel", ConnState: s.conns.Track, MaxRequestBodySize: maxBodyBytes,
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout, NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ErrorHandler: refuseMalformed,
	}
}
