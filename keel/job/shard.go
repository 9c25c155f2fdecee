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

// gatherTime is the time for which answers are gathered before they are acted on.
const gatherTime = 2300 * time.Microsecond

// shard is what the holder of one pool's duty knows; it belongs to the control loop and to one epoch of the duty.
type shard struct {
	c      *Controller
	pool   string
	epoch  uint64
	loaded time.Time

	jobs     *Jobs
	workers  *Workers
	through  uint64
	scanning bool
	again    bool

	index   *Index
	largest platform.Size
	known   map[string]uint64
	newest  uint64
	shapes  *InstanceSizes

	committing bool
	committed  time.Time
	pacing     bool
	gathering  bool

	runs  map[string]*run
	usage map[string]*usageRead
	// reserved holds the worker that is kept for a job, by the worker's instance key.
	reserved map[string]string
	waiting  map[string]string
	// factors holds what the services' tasks use of what they declare; a new holder reads it from the reports again.
	factors map[string]Factors
	// avoid holds the workers that refused a start, and until when they get no jobs.
	avoid map[string]time.Time
}

// run is what the holder knows of a job on a worker beyond its row.
type run struct {
	attempt int
	// calling reports that a call about the task is under way.
	calling bool
	// sent reports that a start was sent under the present epoch, doubt that one's answer is missing.
	sent, doubt bool
	// started and gone report that the platform has the task running, or surely doesn't and never will.
	started, gone bool
	// stopped reports that the platform stopped the task, or that it can't start any more.
	stopped bool
	// renewed is the latest time at which a call that extends the lease may have been made.
	renewed time.Time
	// extended is the last time at which this holder itself gave the task a whole lease, zero for never.
	extended time.Time
	// asked reports that a checkpoint was asked for.
	asked      bool
	checkpoint string
	ended      *platform.TaskReport
}

type usageRead struct {
	through uint64
	reading bool
	at      time.Time
}

func newShard(c *Controller, pool string, epoch uint64) *shard {
	return &shard{
		c: c, pool: pool, epoch: epoch,
		jobs:     rowset.New[Record](PoolPrefix(pool) + jobPart[1:]),
		workers:  rowset.New[Worker](PoolPrefix(pool) + workerPart[1:]),
		known:    make(map[string]uint64),
		runs:     make(map[string]*run),
		usage:    make(map[string]*usageRead),
		reserved: make(map[string]string),
		waiting:  make(map[string]string),
		avoid:    make(map[string]time.Time),
		factors:  make(map[string]Factors),
	}
}

// current reports whether the shard is still the one of a duty that this entry holds.
func (s *shard) current() bool {
	hold, ok := s.c.Session.Holds(DutyName(s.pool))
	return ok && hold.Epoch == s.epoch
}

func (s *shard) step() {
	s.scan()
	s.act()
	// The reports are read after the effects asked for, whose results they may hold already.
	s.c.Loop.After(usageDelay, s.readUsage)
}

func (s *shard) scanAgain() {
	s.again = true
	s.scan()
}

func (s *shard) scan() {
	if s.scanning {
		return
	}
	s.scanning, s.again = true, false
	request := platform.ScanRequest{Prefix: PoolPrefix(s.pool), After: s.through}
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.ScanResult, error) { return s.c.Client.Scan(ctx, request) },
		func(result platform.ScanResult, err error) {
			s.scanning = false
			if err != nil || !s.current() {
				return
			}
			s.apply(result.Rows)
			s.through = max(s.through, result.Through)
			if result.More || s.again {
				s.scan()
				return
			}
			if s.loaded.IsZero() {
				s.loaded = time.Now()
			}
			s.soon()
		})
}

// apply takes in rows that are newer than the ones held.
func (s *shard) apply(rows []platform.Row) {
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, PoolPrefix(s.pool)+jobPart[1:]):
			s.applyJob(row)
		case strings.HasPrefix(row.Key, PoolPrefix(s.pool)+workerPart[1:]):
			s.applyWorker(row)
		}
	}
}

func (s *shard) applyJob(row platform.Row) {
	old, _ := s.jobs.Get(row.Key)
	if row.Version <= old.Version() {
		return
	}
	_, err := s.jobs.Update([]platform.Row{row})
	next, ok := s.jobs.Get(row.Key)
	if err != nil || !ok || !next.Value.OnWorker() {
		delete(s.runs, row.Key)
		return
	}
	r := s.runs[row.Key]
	if r == nil || r.attempt != next.Value.Attempt {
		s.runs[row.Key] = &run{attempt: next.Value.Attempt, renewed: time.Now()}
	}
}

func (s *shard) applyWorker(row platform.Row) {
	old, _ := s.workers.Get(row.Key)
	if row.Version <= old.Version() {
		return
	}
	_, _ = s.workers.Update([]platform.Row{row})
	key, _ := s.instanceOf(row.Key)
	s.refresh(key)
}

// instanceOf returns the key of the instance that a worker row is about, and false for another row.
func (s *shard) instanceOf(rowKey string) (string, bool) {
	rest, ok := strings.CutPrefix(rowKey, PoolPrefix(s.pool)+workerPart[1:])
	return instance.Prefix + rest, ok
}

// refresh brings the index up to the rows of one instance.
func (s *shard) refresh(key string) {
	if s.index == nil {
		return
	}
	found, ok := s.c.View.Inventory().Get(key)
	worker, _ := s.workers.Get(WorkerKey(s.pool, key))
	if !ok || found.Value.Pool != s.pool || !found.Value.Serving() || time.Now().Before(worker.Value.Quarantined) {
		s.index.Remove(key)
		return
	}
	s.index.Put(key, found.Value.Rack, found.Value.Size, minus(found.Value.Size, worker.Value.Used()))
}

// syncIndex follows the control rows of the pool's instances.
func (s *shard) syncIndex() {
	newest := s.c.View.Cache().Newest()
	if newest == s.newest {
		return
	}
	s.newest = newest
	s.shapes = NewInstanceSizes(s.c.View.Inventory())
	var largest platform.Size
	versions := make(map[string]uint64)
	for found := range s.c.View.Inventory().All {
		if found.Value.Pool == s.pool {
			largest = largestOf(largest, found.Value.Size)
			versions[found.Key()] = found.Version()
		}
	}
	if s.index == nil || largest != s.largest {
		s.index, s.largest, s.known = NewIndex(largest), largest, nil
	}
	old := s.known
	s.known = versions
	for _, key := range sortedKeys(versions) {
		if old[key] != versions[key] {
			s.refresh(key)
		}
	}
	for _, key := range sortedKeys(old) {
		if _, ok := versions[key]; !ok {
			s.index.Remove(key)
		}
	}
}

func largestOf(a, b platform.Size) platform.Size {
	return platform.Size{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// soon acts once answers that come together have been gathered.
func (s *shard) soon() {
	if s.gathering {
		return
	}
	s.gathering = true
	s.c.Loop.After(gatherTime, func() {
		s.gathering = false
		s.act()
	})
}

// act asks for the effects that the rows call for and writes what is to be written.
func (s *shard) act() {
	if s.loaded.IsZero() || !s.current() {
		return
	}
	s.syncIndex()
	s.runEffects()
	s.write()
}

// write commits one batch unless one is in flight or it is too soon for work that isn't urgent.
func (s *shard) write() {
	hold, ok := s.c.Session.Holds(DutyName(s.pool))
	if s.committing || !ok {
		return
	}
	tree := s.c.View.Settings().Tree
	pause := tree.Duration(settings.Path(s.pool), settings.JobCommitInterval) - time.Since(s.committed)
	b := newBatch(s.jobs, s.workers)
	p := &planner{shard: s, batch: b, urgentOnly: pause > 0}
	p.plan()
	if pause > 0 {
		s.resumeAfter(pause)
	}
	if b.empty() {
		return
	}
	s.commit(p.decisions, b.txn(hold.Condition))
}

// resumeAfter acts again once the pause between two transactions is over.
func (s *shard) resumeAfter(pause time.Duration) {
	if s.pacing {
		return
	}
	s.pacing = true
	s.c.Loop.After(pause, func() {
		s.pacing = false
		s.act()
	})
}

func (s *shard) commit(decisions []decision, txn platform.Txn) {
	s.committing = true
	s.committed = time.Now()
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.CommitResult, error) { return s.c.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			s.committing = false
			s.c.Metrics.addCommit(len(txn.Writes), err)
			if !s.current() {
				return
			}
			if err != nil {
				s.resolve(txn, result, err)
				return
			}
			s.apply(committedRows(txn, result.Version))
			for _, done := range decisions {
				s.c.Log.Write(done.event, done.fields)
				s.c.Metrics.addDecision(done)
			}
			s.act()
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

// resolve takes in the rows that a transaction lost to, and reads again where its outcome isn't known.
func (s *shard) resolve(txn platform.Txn, result platform.CommitResult, err error) {
	for _, write := range txn.Writes {
		key, ok := s.instanceOf(write.Key)
		if ok {
			s.refresh(key)
		}
	}
	if fault.IsKind(err, fault.Conflict) {
		s.apply(result.Conflicts)
	}
	s.scanAgain()
}
