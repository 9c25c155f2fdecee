package schedule

import (
	"context"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/deployment"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/forecast"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// Scheduler places tasks on workers during one epoch. Its methods may only be called on the control loop.
type Scheduler struct {
	Loop     *control.Loop
	Log      *event.Log
	Store    *table.Store
	Workers  *worker.Client
	Provider *provider.Client
	// Policy is nil if no queue has a placement policy.
	Policy *worker.PolicyClient
	Bounds deployment.Bounds
	Limits deployment.InstanceService
	// RowBytes is the maximum size of a row's value in the store, 0 for ledger.DefaultRowBytes.
	RowBytes int
	Rows     RowCodec
	Metrics  *Metrics
	// Holder is the name of the entry that holds the leader's lease; Epoch is the fencing token.
	Holder string
	Epoch  int64
	// Config is the applied configuration.
	Config *queue.Config
	// SeparateImages reports that tasks whose images slow each other down are kept apart where there is room. It has no
	// effect where Bounds.MaxSlowdownTime is 0.
	SeparateImages bool
	// ForecastPeaks reports that peaks of demand which come back are learned, that instances are moved before them and given back
	// sooner after them, and that jobs which become known late count as arriving then.
	ForecastPeaks bool
	// Now is a clock that keeps running while the machine is suspended; Wall is the time since the Unix epoch.
	Now  func() time.Duration
	Wall func() time.Duration
	// LeaseValid reports whether the leader's lease currently permits orders to workers and instances. It is called on
	// the control loop and, just before an order is sent, on other goroutines.
	LeaseValid func() bool
	// OrdersFrom is the earliest time, by Now, for the first order to any instance. InstanceOrdersFrom holds, by
	// instance, the earliest time for the instances that the previous holder gave orders to.
	OrdersFrom         time.Duration
	InstanceOrdersFrom map[string]time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	// began is when the takeover started.
	began time.Duration

	// guards holds the versions of the ledger's guard rows by partition; minGuard is the lowest of them. An earlier
	// leader may have started tasks of jobs whose submission has a lower version.
	guards   map[string]uint64
	minGuard uint64
	// lastReadyEpoch is the last earlier epoch whose leader may have been ready: it had raised all guards.
	lastReadyEpoch int64
	ready          bool
	jobs           map[string]*job
	// timed holds the open jobs with scheduled times that are still to come.
	timed map[*job]bool
	// pending counts the open jobs of which no worker is known to have begun a task, by queue.
	pending map[string]int
	// unrouted holds the open jobs that wait for a configuration: their queue isn't known, or a task has failed as often as
	// the terms of their acceptance allow.
	unrouted map[*job]bool
	// leaseInvalid is set if the last lease check failed.
	leaseInvalid bool
	// pendingCancels holds the jobs whose cancel was read before their submission.
	pendingCancels map[string]bool
	// cancelRows holds the rows of stored cancels by job.
	cancelRows map[string]*cancelRows
	// retired holds the ended jobs that are forgotten at a time.
	retired []retiredJob
	// unreadable holds the jobs with a row that can't be decoded, for example of a later build. What has been done of them
	// isn't known, so they are neither run nor changed nor shown by this leader.
	unreadable map[string]bool
	pools      map[string]*pool
	workers    map[string]*workerState
	// registrations holds the registrations in the store by worker, those of removed workers included.
	registrations map[string]storedRegistration
	// lateStarts holds, by worker and task, runs that were removed although their start order may still be carried out.
	// The worker gets neither a lease nor tasks until it has accepted an order to stop each of them. It may have been
	// removed and registered again meanwhile.
	lateStarts map[string]map[work.TaskID]int64
	// unanswered holds, by worker and task, the start orders without a response that a later boot of the worker may carry out.
	unanswered map[string]map[work.TaskID]unansweredStart
	// doubts holds, by ID, the workers of which it isn't known whether they crashed.
	doubts map[string]*doubt
	// silentExpiries holds, by data centre, when the lease of a silent worker last expired.
	silentExpiries map[string]time.Duration
	// givenUp holds the jobs with a task that isn't started again because it has crashed its workers.
	givenUp map[*job]bool
	// recentCrashes holds the crashes of workers within commonCauseTime.
	recentCrashes []recentCrash
	// recentBoots holds the restarts of workers within bootCauseTime.
	recentBoots []recentBoot
	// workerOf holds the latest worker of each instance.
	workerOf map[string]*workerState
	ledger   ledgerWriter
	// rosterChanges counts the roster rows that were written.
	rosterChanges int64
	storeClock    storeClock
	fleet         fleetState
	// peaks is learned anew in each epoch.
	peaks      forecast.Peaks
	durations  durationModels
	waves      waveState
	separation separation
	policy     policyState
	outages    outageTracker
	// unheard holds the workers that may run tasks of earlier epochs and have not yet accepted this epoch, or have not yet
	// listed all ends.
	unheard map[string]*workerState
	// holders is derived from unheard at the start of each pass and of each report of waits.
	holders holders
	// caps holds the tenants with jobs.
	caps caps

	planPending bool
	// planTook is the duration of the latest pass.
	planTook time.Duration
	// waitsReportedAt is when waiting tasks were last reported.
	waitsReportedAt time.Duration
	// passes counts the placement passes; passTimes sums them since the last report of orders in flight.
	passes    int
	passTimes passTimes
	// starts and stops limit the orders in flight to start and to stop runs.
	starts, stops orderWindow
	// runBase is the number below the first run number of this epoch.
	runBase int64
}

// RowCodec decodes and encodes the rows that are exchanged with the platform through the store.
type RowCodec struct {
	Registration func(table.Row) (worker.Registration, error)
	WaveStatus   func(number int64, completed bool) table.Write
	// RegistrationTable is the name of the table of worker registrations.
	RegistrationTable string
}

const (
	// callTimeout is the timeout of a store call.
	callTimeout = 2500 * time.Millisecond
	// planDelay batches changes before a placement pass.
	planDelay = 2 * time.Millisecond
	// The pause before a pass is at least planPauseFactor times the duration of the previous one, so that a pass that
	// takes long leaves time for responses and orders.
	planPauseFactor = 2
	// maxPlanPause limits that pause, since an interrupted process makes a pass long too.
	maxPlanPause = 100 * time.Millisecond
	// runNumbersPerEpoch is the distance between the first run numbers of two successive epochs.
	runNumbersPerEpoch = 1000
	// tickInterval is the interval of the periodic, time-driven checks.
	tickInterval = 100 * time.Millisecond
)

// Begin starts the takeover; it must be called on the control loop.
func (s *Scheduler) Begin() {
	s.ctx, s.cancel = context.WithCancel(s.Loop.Context())
	s.began = s.Now()
	s.jobs = make(map[string]*job)
	s.timed = make(map[*job]bool)
	s.unrouted = make(map[*job]bool)
	s.pending = make(map[string]int)
	s.pendingCancels = make(map[string]bool)
	s.cancelRows = make(map[string]*cancelRows)
	s.unreadable = make(map[string]bool)
	s.pools = make(map[string]*pool)
	s.workers = make(map[string]*workerState)
	s.registrations = make(map[string]storedRegistration)
	s.lateStarts = make(map[string]map[work.TaskID]int64)
	s.unanswered = make(map[string]map[work.TaskID]unansweredStart)
	s.silentExpiries = make(map[string]time.Duration)
	s.givenUp = make(map[*job]bool)
	s.doubts = make(map[string]*doubt)
	s.workerOf = make(map[string]*workerState)
	s.unheard = make(map[string]*workerState)
	s.caps.byName = make(map[string]*tenantState)
	s.runBase = (s.Epoch - 1) * runNumbersPerEpoch
	s.starts, s.stops = newOrderWindow(initialStartLimit, minStartLimit), newOrderWindow(initialStopLimit, minStopLimit)
	s.fleet.init()
	s.durations.init()
	s.waves.init()
	s.separation.init(s)
	s.policy.init()
	s.outages.init()
	s.raiseGuards()
}

// End stops the scheduler; responses that arrive later are discarded.
func (s *Scheduler) End() {
	s.cancel()
	s.Metrics.setWaits(nil, s.Now())
	s.Metrics.setBlocked(0)
}

// Ready reports whether the ledger has been loaded.
func (s *Scheduler) Ready() bool { return s.ready }

func (s *Scheduler) epochEnded() bool { return s.ctx.Err() != nil }

// call runs work outside the control loop and then done on the loop, unless the epoch has ended by then.
func call[T any](s *Scheduler, timeout time.Duration, work func(context.Context) (T, error), done func(T, error)) {
	control.Call(s.Loop, timeout, work, func(result T, err error) {
		if !s.epochEnded() {
			done(result, err)
		}
	})
}

// after runs f on the control loop after the delay, unless the epoch has ended by then.
func (s *Scheduler) after(delay time.Duration, f func()) {
	s.Loop.After(delay, func() {
		if !s.epochEnded() {
			f()
		}
	})
}

// post runs f on the control loop, unless the epoch has ended by then.
func (s *Scheduler) post(f func()) {
	s.Loop.Post(s.ctx, func() {
		if !s.epochEnded() {
			f()
		}
	})
}

// tick runs the checks that depend on the passage of time, and reschedules itself.
func (s *Scheduler) tick() {
	s.after(tickInterval, s.tick)
	now := s.Now()
	s.releaseDue()
	s.checkWorkers(now)
	s.checkRuns(now)
	s.checkGivenUp()
	s.starts.adjust()
	s.stops.minimum = max(minStopLimit, int(minStopShare*float64(s.starts.inFlight)))
	s.stops.adjust()
	if s.checkLease() {
		s.rebalance(now)
		s.advanceWaves(now)
	}
	s.cleanUp(now)
	s.ledger.logProgress(now)
	s.schedulePlan()
}

// checkLease reports whether the lease is valid and logs each change of validity.
func (s *Scheduler) checkLease() bool {
	valid := s.LeaseValid()
	if valid == s.leaseInvalid {
		s.leaseInvalid = !valid
		s.Log.Write(event.LeaseValidityChanged, event.Fields{"epoch": s.Epoch, "valid": valid})
	}
	return valid
}

// schedulePlan requests a placement pass after planDelay; requests in between are merged into it.
func (s *Scheduler) schedulePlan() {
	if s.planPending || !s.ready {
		return
	}
	s.planPending = true
	delay := max(planDelay, min(maxPlanPause, planPauseFactor*s.planTook))
	due := s.Now() + delay
	s.after(delay, func() {
		s.planPending = false
		began := s.Now()
		s.plan()
		s.planTook = s.Now() - began
		s.recordPass(s.planTook, began-due)
		s.reportWaits(s.Now())
	})
}

// passTimes sums placement passes.
type passTimes struct {
	// took is the duration of all passes, longest that of the longest one; delay is the longest time by which a pass began
	// after it was due.
	took, longest, delay time.Duration
}

func (s *Scheduler) recordPass(took, delay time.Duration) {
	s.Metrics.addPass(took, delay)
	s.passTimes.took += took
	s.passTimes.longest = max(s.passTimes.longest, took)
	s.passTimes.delay = max(s.passTimes.delay, delay)
}

// SetConfig applies a new configuration to all open jobs.
func (s *Scheduler) SetConfig(c *queue.Config) {
	s.Config = c
	if s.ready {
		s.configureTenants()
		s.policy.setQueues(c)
		s.routeJobs()
		s.schedulePlan()
	}
}
