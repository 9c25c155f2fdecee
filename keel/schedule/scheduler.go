package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/worker"
)

// Scheduler places tasks during one epoch; it belongs to the control loop.
type Scheduler struct {
	Loop    *control.Loop
	Log     *event.Log
	Store   *table.Store
	Workers *worker.Client
	Estate  *provider.Client
	// Adviser is nil where no queue has a policy.
	Adviser *worker.PolicyClient
	Bounds  deployment.Bounds
	Limits  deployment.Estate
	Rows    RowCodec
	Metrics *Metrics
	// Holder names the entry, Epoch is the fencing token.
	Holder string
	Epoch  int64
	// Config is the configuration in force.
	Config *queue.Config
	// Now is a clock that counts the time of a suspension, Wall the time of day since 1970.
	Now  func() time.Duration
	Wall func() time.Duration
	// LeaseValid reports whether the lease allows orders right now.
	LeaseValid func() bool
	// OrdersFrom is when the first order to an instance may be given, by Now; Recent holds when the last holder gave
	// orders, as times from which this one may.
	OrdersFrom         time.Duration
	InstanceOrdersFrom map[string]time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	began  time.Duration

	// guards holds the versions of the ledger's guards by part, guard the lowest of them.
	guards map[string]uint64
	guard  uint64
	ready  bool
	jobs   map[string]*job
	// leaseOut reports that the lease wasn't valid when it was last looked at.
	leaseOut bool
	// cancelled holds the jobs whose stored cancel came before their submission.
	cancelled map[string]bool
	pools     map[string]*pool
	workers   map[string]*host
	// byInstance finds the newest worker of an instance.
	byInstance map[string]*host
	ledger     ledgerWriter
	fleet      fleetState
	waves      waveState
	stats      statistics
	// unheard holds the workers that may run tasks of earlier epochs and have not answered yet.
	unheard map[string]*host

	planning bool
	planned  time.Duration
	// runSeed is what the numbers of this epoch's runs lie above.
	runSeed int64
}

// RowCodec reads what the platform's writers leave in the store.
type RowCodec struct {
	Registration func(table.Row) (worker.Registration, error)
	WaveStatus   func(number int64, completed bool) table.Write
	// RegistrationTable names the table of workers' registrations.
	RegistrationTable string
}

const (
	// callTimeout bounds a call of the store.
	callTimeout = 2500 * time.Millisecond
	// planGather is the time for which changes are gathered before tasks are placed.
	planGather = 2 * time.Millisecond
	// runsPerEpoch is how far apart the run numbers of two epochs lie.
	runsPerEpoch = 1000
	// tickInterval is the time between looks at what only time changes.
	tickInterval = 100 * time.Millisecond
)

// Begin takes over; it is called on the loop.
func (s *Scheduler) Begin() {
	s.ctx, s.cancel = context.WithCancel(s.Loop.Context())
	s.began = s.Now()
	s.jobs = make(map[string]*job)
	s.cancelled = make(map[string]bool)
	s.pools = make(map[string]*pool)
	s.workers = make(map[string]*host)
	s.byInstance = make(map[string]*host)
	s.unheard = make(map[string]*host)
	s.runSeed = (s.Epoch - 1) * runsPerEpoch
	s.fleet.init()
	s.waves.init()
	s.stats.init()
	s.raiseGuard()
}

// End drops everything; answers that come later are ignored.
func (s *Scheduler) End() { s.cancel() }

// Ready reports whether the ledger has been read.
func (s *Scheduler) Ready() bool { return s.ready }

// ended reports whether the epoch is over.
func (s *Scheduler) ended() bool { return s.ctx.Err() != nil }

// call runs work beside the loop, and done on it unless the epoch is over by then.
func call[T any](s *Scheduler, timeout time.Duration, work func(context.Context) (T, error), done func(T, error)) {
	control.Call(s.Loop, timeout, work, func(result T, err error) {
		if !s.ended() {
			done(result, err)
		}
	})
}

// after runs f on the loop after the delay unless the epoch is over by then.
func (s *Scheduler) after(delay time.Duration, f func()) {
	s.Loop.After(delay, func() {
		if !s.ended() {
			f()
		}
	})
}

// post runs f on the loop unless the epoch is over by then.
func (s *Scheduler) post(f func()) {
	s.Loop.Post(s.ctx, func() {
		if !s.ended() {
			f()
		}
	})
}

// tick looks at what only time changes.
func (s *Scheduler) tick() {
	s.after(tickInterval, s.tick)
	now := s.Now()
	s.releaseDue(now)
	s.checkWorkers(now)
	s.checkRuns(now)
	if s.checkLease() {
		s.keepFleet(now)
		s.keepWaves(now)
	}
	s.tidy(now)
	s.soon()
}

// checkLease reports whether the lease is valid, and logs when that changes.
func (s *Scheduler) checkLease() bool {
	valid := s.LeaseValid()
	if valid == s.leaseOut {
		s.leaseOut = !valid
		s.Log.Write(event.LeaseValidityChanged, event.Fields{"epoch": s.Epoch, "valid": valid})
	}
	return valid
}

// soon places tasks once changes that come together have been gathered.
func (s *Scheduler) soon() {
	if s.planning || !s.ready {
		return
	}
	s.planning = true
	s.after(planGather, func() {
		s.planning = false
		s.plan()
	})
}

// SetConfig puts a configuration in force.
func (s *Scheduler) SetConfig(c *queue.Config) {
	s.Config = c
	if s.ready {
		s.routeJobs()
		s.soon()
	}
}
