package job

import (
	"context"
	"strings"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// batchDelay is how long the first of several responses or changes waits for others to be handled together.
const batchDelay = 2300 * time.Microsecond

// poolScheduler schedules the jobs of one pool while this entry holds the pool's duty, for one epoch of the duty; it is
// used on the control loop only.
type poolScheduler struct {
	c     *Controller
	pool  string
	epoch uint64
	// loadedAt is when the first complete scan ended, zero before.
	loadedAt time.Time

	jobs    *Jobs
	workers *Workers
	// scannedThrough is the table version up to which rows were read.
	scannedThrough  uint64
	scanning        bool
	rescanRequested bool

	index           *Index
	largestInstance platform.Size
	// instanceVersions has the row versions of the pool's instances by key.
	instanceVersions map[string]uint64
	// cacheVersion is the newest row version in the cache of control rows as of the last syncIndex.
	cacheVersion  uint64
	instanceSizes *InstanceSizes

	commitInFlight            bool
	lastCommit                time.Time
	delayedReconcileScheduled bool
	reconcileScheduled        bool

	// tasks has the state of each task by the key of the job's row.
	tasks map[string]*taskState
	// reportReads has the progress of reading task reports by data centre.
	reportReads map[string]*reportRead
	// reservations has, by instance key, the workers that are reserved while preemption frees capacity on them, each
	// with the key of the row of the queued job that it is reserved for.
	reservations map[string]string
	// waitReasons has the reason last logged for each queued job, by the key of the job's row.
	waitReasons map[string]string
	// factors has the usage factors by service. They aren't stored: a new holder computes them from the task reports.
	factors map[string]UsageFactors
	// avoidUntil has, by instance key, the time until which a worker that rejected a start gets no jobs.
	avoidUntil map[string]time.Time
}

// taskState is what this entry knows of the task of a job on a worker, beyond the job's row.
type taskState struct {
	attempt int
	// callInFlight is true during any call about the task, including a lease renewal of many tasks.
	callInFlight bool
	// startSent is true once a start was sent in this epoch, and startUncertain if the outcome of one is unknown.
	startSent, startUncertain bool
	// started is true if the platform runs the task, and startRejected if it certainly doesn't and never will.
	started, startRejected bool
	// stopped is true if the platform stopped the task, or if the task can no longer start.
	stopped bool
	// lastPossibleRenewal is the latest time at which a call that extends the lease may have been made.
	lastPossibleRenewal time.Time
	// leaseEnd is the latest end of a lease that this entry gave the task, zero if it gave none.
	leaseEnd time.Time
	// lastRenewal is when this entry last gave the task a full lease, zero if it never has.
	lastRenewal         time.Time
	checkpointRequested bool
	checkpoint          string
	// finalReport is the report that the task ended, nil before.
	finalReport *platform.TaskReport
}

// reportRead is the progress of reading the task reports of one data centre.
type reportRead struct {
	// readThrough is the sequence number up to which reports were read.
	readThrough uint64
	inFlight    bool
	startedAt   time.Time
}

func newPoolScheduler(c *Controller, pool string, epoch uint64) *poolScheduler {
	return &poolScheduler{
		c: c, pool: pool, epoch: epoch,
		jobs:             rowset.New[Record](PoolPrefix(pool) + jobSegment[1:]),
		workers:          rowset.New[Worker](PoolPrefix(pool) + workerSegment[1:]),
		instanceVersions: make(map[string]uint64),
		tasks:            make(map[string]*taskState),
		reportReads:      make(map[string]*reportRead),
		reservations:     make(map[string]string),
		waitReasons:      make(map[string]string),
		avoidUntil:       make(map[string]time.Time),
		factors:          make(map[string]UsageFactors),
	}
}

// holdsDuty reports whether this entry still holds the pool's duty in the scheduler's epoch.
func (s *poolScheduler) holdsDuty() bool {
	lease, ok := s.c.Session.Holds(DutyName(s.pool))
	return ok && lease.Epoch == s.epoch
}

func (s *poolScheduler) poll() {
	s.scan()
	s.reconcile()
	// Reading after the calls of reconcile were sent lets the reports include their effects.
	s.c.Loop.After(reportDelay, s.pollReports)
}

// requestScan scans the pool's rows now, or once more after a scan that is in flight.
func (s *poolScheduler) requestScan() {
	s.rescanRequested = true
	s.scan()
}

func (s *poolScheduler) scan() {
	if s.scanning {
		return
	}
	s.scanning, s.rescanRequested = true, false
	request := platform.ScanRequest{Prefix: PoolPrefix(s.pool), After: s.scannedThrough}
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.ScanResult, error) { return s.c.Client.Scan(ctx, request) },
		func(result platform.ScanResult, err error) {
			s.scanning = false
			if err != nil || !s.holdsDuty() {
				return
			}
			s.applyRows(result.Rows)
			s.scannedThrough = max(s.scannedThrough, result.Through)
			if result.More || s.rescanRequested {
				s.scan()
				return
			}
			if s.loadedAt.IsZero() {
				s.loadedAt = time.Now()
			}
			s.scheduleReconcile()
		})
}

// applyRows stores the rows that are newer than the stored ones.
func (s *poolScheduler) applyRows(rows []platform.Row) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, PoolPrefix(s.pool)+jobSegment[1:]):
			s.applyJob(row)
		case strings.HasPrefix(row.Key, PoolPrefix(s.pool)+workerSegment[1:]):
			s.applyWorker(row)
		}
	}
}

func (s *poolScheduler) applyJob(row platform.Row) {
	old, _ := s.jobs.Get(row.Key)
	if row.Version <= old.Version() {
		return
	}
	_, err := s.jobs.Update([]platform.Row{row})
	next, ok := s.jobs.Get(row.Key)
	if err != nil || !ok || !next.Value.OnWorker() {
		delete(s.tasks, row.Key)
		return
	}
	task := s.tasks[row.Key]
	if task == nil || task.attempt != next.Value.Attempt {
		s.tasks[row.Key] = &taskState{attempt: next.Value.Attempt, lastPossibleRenewal: time.Now()}
	}
}

func (s *poolScheduler) applyWorker(row platform.Row) {
	old, _ := s.workers.Get(row.Key)
	if row.Version <= old.Version() {
		return
	}
	_, _ = s.workers.Update([]platform.Row{row})
	key, _ := s.instanceKey(row.Key)
	s.refreshIndex(key)
}

// instanceKey returns the key of the instance of a worker row, and false if the row isn't a worker row of the pool.
func (s *poolScheduler) instanceKey(rowKey string) (string, bool) {
	rest, ok := strings.CutPrefix(rowKey, PoolPrefix(s.pool)+workerSegment[1:])
	return instance.Prefix + rest, ok
}

// refreshIndex updates the index from the rows of one instance; it removes an instance that can't take jobs.
func (s *poolScheduler) refreshIndex(key string) {
	if s.index == nil {
		return
	}
	found, ok := s.c.View.Inventory().Get(key)
	worker, _ := s.workers.Get(WorkerKey(s.pool, key))
	if !ok || found.Value.Pool != s.pool || !found.Value.Serving() || time.Now().Before(worker.Value.Quarantined) || worker.Value.Isolated {
		s.index.Remove(key)
		return
	}
	s.index.Put(key, found.Value.Rack, found.Value.Size, subtract(found.Value.Size, worker.Value.Used()))
}

// syncIndex updates the index and the available instance sizes if control rows have changed.
func (s *poolScheduler) syncIndex() {
	newest := s.c.View.Cache().NewestVersion()
	if newest == s.cacheVersion {
		return
	}
	s.cacheVersion = newest
	s.instanceSizes = NewInstanceSizes(s.c.View.Inventory())
	var largest platform.Size
	versions := make(map[string]uint64)
	for found := range s.c.View.Inventory().All {
		if found.Value.Pool == s.pool {
			largest = maxSize(largest, found.Value.Size)
			versions[found.Key()] = found.Version()
		}
	}
	if s.index == nil || largest != s.largestInstance {
		s.index, s.largestInstance, s.instanceVersions = NewIndex(largest), largest, nil
	}
	old := s.instanceVersions
	s.instanceVersions = versions
	for _, key := range sortedKeys(versions) {
		if old[key] != versions[key] {
			s.refreshIndex(key)
		}
	}
	for _, key := range sortedKeys(old) {
		if _, ok := versions[key]; !ok {
			s.index.Remove(key)
		}
	}
}

// maxSize returns the maximum of a and b in each dimension.
func maxSize(a, b platform.Size) platform.Size {
	return platform.Size{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// scheduleReconcile reconciles after batchDelay, once for all requests within it.
func (s *poolScheduler) scheduleReconcile() {
	if s.reconcileScheduled {
		return
	}
	s.reconcileScheduled = true
	s.c.Loop.After(batchDelay, func() {
		s.reconcileScheduled = false
		s.reconcile()
	})
}

// reconcile makes the platform calls that the rows require and commits the next transaction.
func (s *poolScheduler) reconcile() {
	if s.loadedAt.IsZero() || !s.holdsDuty() {
		return
	}
	s.syncIndex()
	s.reconcileTasks()
	s.planAndCommit()
}

// planAndCommit commits one batch unless a commit is in flight. Within the commit interval after the last one it plans
// only preempted tasks and urgent placements.
func (s *poolScheduler) planAndCommit() {
	lease, ok := s.c.Session.Holds(DutyName(s.pool))
	if s.commitInFlight || !ok {
		return
	}
	tree := s.c.View.Settings().Tree
	pause := tree.Duration(settings.Path(s.pool), settings.JobCommitInterval) - time.Since(s.lastCommit)
	b := newBatch(s.jobs, s.workers)
	p := &planner{poolScheduler: s, batch: b, urgentOnly: pause > 0}
	p.plan()
	if pause > 0 {
		s.reconcileAfter(pause)
	}
	if b.empty() {
		return
	}
	s.commit(p.decisions, b.txn(lease.Condition))
}

// reconcileAfter reconciles once the rest of the commit interval has passed.
func (s *poolScheduler) reconcileAfter(pause time.Duration) {
	if s.delayedReconcileScheduled {
		return
	}
	s.delayedReconcileScheduled = true
	s.c.Loop.After(pause, func() {
		s.delayedReconcileScheduled = false
		s.reconcile()
	})
}

func (s *poolScheduler) commit(decisions []decision, txn platform.Txn) {
	s.commitInFlight = true
	s.lastCommit = time.Now()
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.CommitResult, error) { return s.c.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			s.commitInFlight = false
			s.c.Metrics.addCommit(len(txn.Writes), err)
			if !s.holdsDuty() {
				return
			}
			if err != nil {
				s.handleCommitError(txn, result, err)
				return
			}
			s.applyRows(committedRows(txn, result.Version))
			for _, d := range decisions {
				s.c.Log.Write(d.event, d.fields)
				s.c.Metrics.addDecision(d)
			}
			s.reconcile()
		})
}

// committedRows returns the rows that the transaction wrote, with their new version.
func committedRows(txn platform.Txn, version uint64) []platform.Row {
	rows := make([]platform.Row, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		rows = append(rows, platform.Row{Key: write.Key, Version: version, Token: txn.Token, Value: write.Value})
	}
	return rows
}

// handleCommitError reverts the plan's changes to the index, applies conflicting rows and scans again, since the
// outcome of the transaction may be unknown.
func (s *poolScheduler) handleCommitError(txn platform.Txn, result platform.CommitResult, err error) {
	for _, write := range txn.Writes {
		key, ok := s.instanceKey(write.Key)
		if ok {
			s.refreshIndex(key)
		}
	}
	if fault.IsKind(err, fault.Conflict) {
		s.applyRows(result.Conflicts)
	}
	s.requestScan()
}
