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

// batchDelay is the time for which answers are gathered before they are acted on.
const batchDelay = 2300 * time.Microsecond

// poolScheduler is what the holder of one pool's duty knows; it belongs to the control loop and to one epoch of the duty.
type poolScheduler struct {
	c        *Controller
	pool     string
	epoch    uint64
	loadedAt time.Time

	jobs            *Jobs
	workers         *Workers
	scannedThrough  uint64
	scanning        bool
	rescanRequested bool

	index            *Index
	largestInstance  platform.Size
	instanceVersions map[string]uint64
	cacheVersion     uint64
	shapes           *Shapes

	commitInFlight     bool
	lastCommit         time.Time
	resumeScheduled    bool
	reconcileScheduled bool

	tasks       map[string]*taskState
	reportReads map[string]*reportRead
	// reservations holds the worker that is kept for a job, by the worker's instance key.
	reservations map[string]string
	waitReasons  map[string]string
	// factors holds what the services' tasks use of what they declare; a new holder reads it from the reports again.
	factors map[string]UsageFactors
	// avoidUntil holds the workers that refused a start, and until when they get no jobs.
	avoidUntil map[string]time.Time
}

// taskState is what the holder knows of a job on a worker beyond its row.
type taskState struct {
	attempt int
	// callInFlight reports that a call about the task is under way.
	callInFlight bool
	// startSent reports that a start was sent under the present epoch, doubt that one's answer is missing.
	startSent, startUncertain bool
	// started and gone report that the platform has the task running, or surely doesn't and never will.
	started, startRefused bool
	// stopped reports that the platform stopped the task, or that it can't start any more.
	stopped bool
	// lastPossibleRenewal is the latest time at which a call that extends the lease may have been made.
	lastPossibleRenewal time.Time
	// lastRenewal is the last time at which this holder itself gave the task a whole lease, zero for never.
	lastRenewal time.Time
	// checkpointRequested reports that a checkpoint was asked for.
	checkpointRequested bool
	checkpoint          string
	finalReport         *platform.TaskReport
}

type reportRead struct {
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

// holdsDuty reports whether the shard is still the one of a duty that this entry holds.
func (s *poolScheduler) holdsDuty() bool {
	hold, ok := s.c.Session.Holds(DutyName(s.pool))
	return ok && hold.Epoch == s.epoch
}

func (s *poolScheduler) poll() {
	s.scan()
	s.reconcile()
	// The reports are read after the effects asked for, whose results they may hold already.
	s.c.Loop.After(reportDelay, s.pollReports)
}

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

// applyRows takes in rows that are newer than the ones held.
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
	r := s.tasks[row.Key]
	if r == nil || r.attempt != next.Value.Attempt {
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

// instanceKey returns the key of the instance that a worker row is about, and false for another row.
func (s *poolScheduler) instanceKey(rowKey string) (string, bool) {
	rest, ok := strings.CutPrefix(rowKey, PoolPrefix(s.pool)+workerSegment[1:])
	return instance.Prefix + rest, ok
}

// refreshIndex brings the index up to the rows of one instance.
func (s *poolScheduler) refreshIndex(key string) {
	if s.index == nil {
		return
	}
	found, ok := s.c.View.Inventory().Get(key)
	worker, _ := s.workers.Get(WorkerKey(s.pool, key))
	if !ok || found.Value.Pool != s.pool || !found.Value.Serving() || time.Now().Before(worker.Value.Quarantined) {
		s.index.Remove(key)
		return
	}
	s.index.Put(key, found.Value.Rack, found.Value.Size, subtract(found.Value.Size, worker.Value.Used()))
}

// syncIndex follows the control rows of the pool's instances.
func (s *poolScheduler) syncIndex() {
	newest := s.c.View.Cache().Newest()
	if newest == s.cacheVersion {
		return
	}
	s.cacheVersion = newest
	s.shapes = NewShapes(s.c.View.Inventory())
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

func maxSize(a, b platform.Size) platform.Size {
	return platform.Size{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// scheduleReconcile acts once answers that come together have been gathered.
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

// reconcile asks for the effects that the rows call for and writes what is to be written.
func (s *poolScheduler) reconcile() {
	if s.loadedAt.IsZero() || !s.holdsDuty() {
		return
	}
	s.syncIndex()
	s.reconcileTasks()
	s.planAndCommit()
}

// planAndCommit commits one batch unless one is in flight or it is too soon for work that isn't urgent.
func (s *poolScheduler) planAndCommit() {
	hold, ok := s.c.Session.Holds(DutyName(s.pool))
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
	s.commit(p.decisions, b.txn(hold.Condition))
}

// reconcileAfter acts again once the pause between two transactions is over.
func (s *poolScheduler) reconcileAfter(pause time.Duration) {
	if s.resumeScheduled {
		return
	}
	s.resumeScheduled = true
	s.c.Loop.After(pause, func() {
		s.resumeScheduled = false
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
			for _, done := range decisions {
				s.c.Log.Write(done.event, done.fields)
				s.c.Metrics.addDecision(done)
			}
			s.reconcile()
		})
}

// committedRows returns the rows as the transaction left them.
func committedRows(txn platform.Txn, version uint64) []platform.Row {
	rows := make([]platform.Row, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		rows = append(rows, platform.Row{Key: write.Key, Version: version, Token: txn.Token, Value: write.Value})
	}
	return rows
}

// handleCommitError takes in the rows that a transaction lost to, and reads again where its outcome isn't known.
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
