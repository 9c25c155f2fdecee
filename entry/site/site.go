package site

import (
	"cmp"
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
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
	"samphirekeel.example/keel/relay"
	"samphirekeel.example/keel/schedule"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/worker"
	"samphirekeel.example/platform"
)

const (
	// maxConcurrentCalls limits the calls in flight: one lease renewal for each of 500 workers, and orders.
	maxConcurrentCalls = 3000
	// peerTimeout is the timeout of a call between entries; the latency between data centres is a few milliseconds.
	peerTimeout = 350 * time.Millisecond
	// gcPercent trades memory, of which an entry has 184 MB or more, for processor time.
	gcPercent = 400
	// memoryLimitFraction is the fraction of the instance's memory that is the Go runtime's soft limit, near which the
	// collector runs more often.
	memoryLimitFraction = 0.6
	// weakCPUShare is the share of a core below which an entry leads only if no entry with more CPU does.
	weakCPUShare = 0.3
	// weakRankOffset, firstStartRankOffset and rankSpread order the candidates for the lease; see Entry.rank.
	weakRankOffset       = leader.LastRank
	firstStartRankOffset = 4
	rankSpread           = 4
)

// Codec decodes the rows that the platform and its operator write to the store, and encodes wave states.
type Codec struct {
	schedule.RowCodec
	// OperatorTable is the name of the table that the operator writes.
	OperatorTable string
	IsConfig      func(table.Row) bool
	DecodeConfig  func(table.Row) (*queue.Config, error)
	IsWave        func(table.Row) bool
	DecodeWave    func(table.Row) (provider.Wave, error)
}

// PlatformCodec returns the row codec of the users' platform.
func PlatformCodec() Codec {
	return Codec{
		RowCodec: schedule.RowCodec{
			Registration: platform.DecodeRegistration, WaveStatus: platform.WaveStatus, RegistrationTable: platform.RegistrationTable,
		},
		OperatorTable: platform.OperatorTable, IsConfig: platform.IsConfig, DecodeConfig: platform.DecodeConfig,
		IsWave: platform.IsWave, DecodeWave: platform.DecodeWave,
	}
}

// Entry is one entry process; its exported fields are set before Run is called.
type Entry struct {
	Settings deployment.Settings
	Log      *event.Log
	// Version is the program's version as it appears in the log.
	Version string
	// Reload reads the settings file again.
	Reload func() (deployment.Settings, error)
	// MetricsPort is the port of the entry's own address on which /metrics is served, 0 for none.
	MetricsPort int
	// ForecastPeaks reports that instances are moved before peaks of demand that come back.
	ForecastPeaks bool
	// NoSeparation reports that tasks aren't kept apart that slow each other down on one worker.
	NoSeparation bool
	// Store, Workers, Provider (the instance service) and Policy (the policy service) are the platform's clients;
	// Provider and Policy are nil if the deployment has no such service.
	Store    *table.Store
	Workers  *worker.Client
	Provider *provider.Client
	Policy   *worker.PolicyClient
	// Codec decodes the rows that others write to the store.
	Codec Codec
	// ClientMemoryShare is the fraction of the instance's memory that clients of all listeners may make the entry hold, 0 for the default.
	ClientMemoryShare float64
	// WriteTimeout is the time within which a client has to read each part of a response, 0 for the default.
	WriteTimeout time.Duration
	// Listen opens a listener and Dial a connection within the timeout; both default to TCP if nil.
	Listen func(address string, queues connection.Queues) (net.Listener, error)
	Dial   func(address string, timeout time.Duration) (net.Conn, error)
	// Now is a monotonic clock that includes time suspended, Wall the time since the Unix epoch; both default to the
	// system's clocks if nil.
	Now  func() time.Duration
	Wall func() time.Duration
	// RelayMinWorkers is the number of workers from which the leader sends its orders through relays, 0 for the default.
	RelayMinWorkers int

	loop        *control.Loop
	lease       *leader.Lease
	node        *peer.Node
	jobs        *ledger.JobStore
	submissions *ledger.SubmissionWriter
	registry    *prometheus.Registry
	metrics     *schedule.Metrics
	scheduler   *schedule.Scheduler
	relayClient *relay.Client
	relayServer *relay.Server
	// relaysNeeded is set while this entry leads and may have at least RelayMinWorkers workers.
	relaysNeeded atomic.Bool
	waves        map[int64]provider.Wave
	// operatorRows holds the newest known version of each row of the operator, by name.
	operatorRows map[string]table.Row

	config atomic.Pointer[queue.Config]
	// configCheckedAt is the latest time at which config is known to have been the newest one, in nanoseconds of Now, 0 if
	// it never was. configUnreadable is set while the newest one can't be decoded.
	configCheckedAt  atomic.Int64
	configUnreadable bool
	// toldLeader is the latest leader that other entries have told this one, nil if none has.
	toldLeader atomic.Pointer[leader.Record]
	advisers   advisers
	pending    pendingCounts
	// sourceTurn selects the entry that is asked for the operator's rows; it rises when one can't tell.
	sourceTurn int
	// keyTime is how long after the last check of the configuration keys are relied on, in nanoseconds, 0 for ever.
	keyTime  atomic.Int64
	stopping atomic.Bool
	// lastReady is the readiness that was last reported to the load balancer.
	lastReady atomic.Bool
	// leading is 1 while this entry places tasks.
	leading  atomic.Int64
	requests *requestMetrics
	tenants  *tenantMetrics
	// lastStoreResponse is when the store last responded to this entry, in nanoseconds of Now.
	lastStoreResponse atomic.Int64
	// lastLeaderResponse is when the leader last returned the operator's rows while the store was unavailable, in
	// nanoseconds of Now.
	lastLeaderResponse atomic.Int64
	conns              connection.Set
	accounts           clientAccounts
	// storeUnavailable reports that this entry's last poll of the operator's table failed.
	storeUnavailable atomic.Bool
}

// Run serves until ctx ends, then releases the lease and finishes the requests in flight; a value on reload makes it
// read the settings file again.
func (s *Entry) Run(ctx context.Context, reload <-chan struct{}) error {
	s.setDefaults()
	err := s.build()
	if err != nil {
		return err
	}
	defer s.relayServer.Close()
	opened, err := s.listen()
	if err != nil {
		return err
	}
	s.Log.Write(event.EntryStarted, event.Fields{"incarnation": s.Settings.Name, "data_centre": s.Settings.DataCentre, "version": s.Version})
	// The servers and the loop run on after ctx ends until the requests in flight have their responses.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(serveCtx)
	s.relayClient.Post = func(f func()) { s.loop.Post(groupCtx, f) }
	group.Go(func() error { return s.loop.Run(groupCtx, s.start) })
	group.Go(func() error { return ignoreAfterStop(groupCtx, s.callerServer().Serve(opened.callers)) })
	group.Go(func() error { return ignoreAfterStop(groupCtx, s.readinessServer().Serve(opened.readiness)) })
	group.Go(func() error { return s.node.Serve(groupCtx, opened.peers) })
	if opened.metrics != nil {
		group.Go(func() error { return ignoreAfterStop(groupCtx, s.metricsServer().Serve(opened.metrics)) })
	}
	for {
		select {
		case <-reload:
			s.reload()
			continue
		case <-ctx.Done():
			s.drain(opened.callers)
		case <-groupCtx.Done():
		}
		break
	}
	stop()
	opened.close()
	s.node.Close()
	err = group.Wait()
	s.Log.Write(event.EntryStopped, nil)
	return err
}

// ignoreAfterStop returns nil once ctx has ended, since a server then fails only because its listener was closed.
func ignoreAfterStop(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// setDefaults sets the functions that are nil to the network and clocks of the system.
func (s *Entry) setDefaults() {
	if s.Listen == nil {
		s.Listen = connection.Listen
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
	s.RelayMinWorkers = cmp.Or(s.RelayMinWorkers, defaultRelayMinWorkers)
	s.ClientMemoryShare = cmp.Or(s.ClientMemoryShare, DefaultClientMemoryShare)
	s.WriteTimeout = cmp.Or(s.WriteTimeout, DefaultWriteTimeout)
}

func (s *Entry) build() error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.Settings.Limits.MemoryMB) * memoryLimitFraction * (1 << 20)))
	s.registry = prometheus.NewRegistry()
	s.metrics = schedule.NewMetrics(s.registry)
	s.requests = s.newRequestMetrics()
	s.tenants = newTenantMetrics(s.registry)
	s.buildAccounts()
	s.updateKeyTime()
	s.waves = make(map[int64]provider.Wave)
	s.operatorRows = make(map[string]table.Row)
	s.loop = control.New(maxConcurrentCalls)
	s.jobs = &ledger.JobStore{Store: s.Store}
	s.submissions = &ledger.SubmissionWriter{Store: s.Store, RowBytes: s.Settings.Store.RowBytes}
	s.node = &peer.Node{Log: s.Log, Dial: s.Dial, Timeout: peerTimeout, Methods: s.methods(), Account: s.accounts.peers}
	s.lease = &leader.Lease{
		Store: s.Store, Loop: s.loop, Log: s.Log, Name: s.Settings.Name, Address: s.peerAddress(), Rank: s.rank(),
		Now: s.Now, OnAcquired: s.startLeading, OnLost: s.stopLeading,
		RecentOrders: func() map[string]int64 {
			if s.scheduler == nil {
				return nil
			}
			return s.scheduler.RecentOrders()
		},
	}
	return s.buildRelays()
}

// rank returns the rank of this entry among the candidates for a free lease; a higher rank waits longer. Entries with
// little CPU rank highest, then those on their first start, because a rolling restart has yet to restart them. A hash
// of the name spreads equal entries, so that they don't all try at once.
func (s *Entry) rank() int {
	rank := int(xxhash.Sum64String(s.Settings.Name) % rankSpread)
	if s.Settings.FirstStart {
		rank += firstStartRankOffset
	}
	if s.Settings.Limits.CPUShare < weakCPUShare {
		rank += weakRankOffset
	}
	return rank
}

// start starts the lease, the operator's feed and the offers to the leader; it is called on the loop.
func (s *Entry) start() {
	s.lease.Start()
	s.followOperatorTable()
	s.loop.Every(relay.OfferInterval, s.updateRelays)
	s.loop.Every(idleCheckInterval, func() { s.conns.CloseIdle(s.idleTimeout()) })
}

// startLeading starts the scheduler for a new epoch; it is called on the loop when the lease is acquired.
func (s *Entry) startLeading(epoch int64, previous leader.Record) {
	now := s.Now()
	s.scheduler = &schedule.Scheduler{
		Loop: s.loop, Log: s.Log, Store: s.Store, Workers: s.relayClient.Workers(), Provider: s.Provider, Policy: s.Policy,
		Bounds: s.Settings.Bounds, Limits: s.Settings.InstanceService, RowBytes: s.Settings.Store.RowBytes, Metrics: s.metrics, Holder: s.Settings.Name, Epoch: epoch,
		SeparateImages: !s.NoSeparation, ForecastPeaks: s.ForecastPeaks, Config: s.config.Load(), Now: s.Now, Wall: s.Wall, LeaseValid: s.lease.Valid,
		InstanceOrdersFrom: make(map[string]time.Duration),
		Rows:               s.Codec.RowCodec,
	}
	s.setEarliestOrderTimes(now, previous)
	s.leading.Store(1)
	s.scheduler.Begin()
	s.updateSchedulerWaves()
}

// setEarliestOrderTimes sets from when the scheduler may send orders, so that orders of two holders to one instance are
// at least Bounds.MinHolderGap apart. If the previous holder released the lease, only the instances that it has ordered
// recently have to wait; otherwise its lease has run out, and the lease duration counts towards the gap.
func (s *Entry) setEarliestOrderTimes(now time.Duration, previous leader.Record) {
	minGap := s.Settings.Bounds.MinHolderGap
	if previous.Holder == "" || previous.Holder == s.Settings.Name {
		return
	}
	if !previous.Released {
		s.scheduler.OrdersFrom = now + minGap - previous.Duration()
		return
	}
	for instance, age := range previous.RecentOrders {
		s.scheduler.InstanceOrdersFrom[instance] = now + minGap - time.Duration(age)*time.Millisecond
	}
}

// stopLeading stops the scheduler; it is called on the loop when the lease is lost or released.
func (s *Entry) stopLeading(reason string) {
	if s.scheduler == nil {
		return
	}
	s.Log.Write(event.LeaderLost, event.Fields{"epoch": s.scheduler.Epoch, "reason": reason})
	s.leading.Store(0)
	s.scheduler.End()
	s.scheduler = nil
}

// updateSchedulerWaves sets the requested waves in the scheduler, if this entry leads.
func (s *Entry) updateSchedulerWaves() {
	if s.scheduler == nil {
		return
	}
	all := make([]provider.Wave, 0, len(s.waves))
	for _, w := range s.waves {
		all = append(all, w)
	}
	s.scheduler.SetWaves(all)
}

// reload reads the settings file again and applies its bounds and limits; changed addresses take effect on a restart.
func (s *Entry) reload() {
	settings, err := s.Reload()
	if err != nil {
		s.Log.Write(event.ReloadDone, event.Fields{"outcome": err.Error(), "changed": false})
		return
	}
	s.loop.Post(context.Background(), func() {
		changed := s.Settings.Bounds != settings.Bounds || s.Settings.Limits != settings.Limits
		s.Settings.Bounds, s.Settings.Limits, s.Settings.InstanceService = settings.Bounds, settings.Limits, settings.InstanceService
		s.updateKeyTime()
		if s.scheduler != nil {
			s.scheduler.Bounds, s.scheduler.Limits = settings.Bounds, settings.InstanceService
		}
		s.Log.Write(event.ReloadDone, event.Fields{"outcome": "read", "changed": changed})
	})
}
