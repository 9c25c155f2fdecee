package schedule

import (
	"context"
	"slices"
	"time"

	"github.com/google/btree"

	"samphirekeel.example/keel/work"
)

// backlogCheckInterval is the interval at which a testbed compares the backlogs with the tasks.
const backlogCheckInterval = 50 * time.Millisecond

// watchBacklogs checks the backlogs on the control loop until the context ends.
func (b *testbed) watchBacklogs(ctx context.Context) {
	ticker := time.NewTicker(backlogCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.loop.Post(ctx, func() {
				if b.s != nil && b.s.ready && !b.s.epochEnded() {
					b.checkBacklogs()
				}
			})
		}
	}
}

// checkBacklogs compares what the backlogs count for each job with what its tasks say, since a job that they miss is never
// placed.
func (b *testbed) checkBacklogs() {
	s := b.s
	now := s.Now()
	tasks, jobs := make(map[*pool]int), make(map[*pool]int)
	for _, p := range s.pools {
		p.update(now, s.fleet.mayRun)
	}
	for _, j := range s.jobs {
		b.checkJob(j, now)
		if j.pool != nil {
			tasks[j.pool] += j.waiting
			if j.entry.waiting.job != nil {
				jobs[j.pool]++
			}
		}
	}
	b.checkTenants()
	for _, p := range s.pools {
		if p.backlog.tasks != tasks[p] || p.backlog.waiting.Len() != jobs[p] {
			b.t.Errorf("pool %s: the backlog has %d tasks and %d jobs, those that wait are %d and %d", p.name, p.backlog.tasks, p.backlog.waiting.Len(), tasks[p], jobs[p])
		}
		for class, cursor := range p.backlog.cursors {
			if cursor.job != nil && cursor.class != class {
				b.t.Errorf("pool %s: the cursor of class %d is in class %d", p.name, class, cursor.class)
			}
		}
		b.checkPlanner(p, now)
	}
}

// checkJob compares the waiting tasks, the ready steps and the place in the backlog of a job with its tasks.
func (b *testbed) checkJob(j *job, now time.Duration) {
	if !j.open() {
		if j.pool != nil || j.entry != (backlogEntry{}) {
			b.t.Errorf("job %s has ended and is in a backlog", j.ID)
		}
		return
	}
	waiting := b.checkSteps(j)
	if j.waiting != waiting {
		b.t.Errorf("job %s: %d waiting tasks, %d by its tasks", j.ID, j.waiting, waiting)
	}
	if j.queue == nil || j.pool == nil {
		if !b.s.unrouted[j] {
			b.t.Errorf("job %s is in no pool and waits for no configuration", j.ID)
		}
		return
	}
	b.checkPlace(j, now)
}

// checkSteps checks the job's steps and returns the number of its tasks that need a run.
func (b *testbed) checkSteps(j *job) int {
	waiting := 0
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			n := countNeedingRun(step)
			ready := o.index < j.released && step.dependenciesDone()
			if step.ready != ready || step.waiting != n {
				b.t.Errorf("job %s, step %d: ready %t with %d waiting tasks, %t and %d by its tasks", j.ID, step.index, step.ready, step.waiting, ready, n)
			}
			waiting += n
		}
	}
	return waiting
}

// checkPlace checks the job's place in its pool's backlog.
func (b *testbed) checkPlace(j *job, now time.Duration) {
	e, trees := b.placeOf(j)
	switch {
	case (e.job != nil) != (j.waiting > 0 || j.maySpeculate):
		b.t.Errorf("job %s has %d waiting tasks; in the backlog: %t", j.ID, j.waiting, e.job != nil)
	case e.job == nil:
	case slices.ContainsFunc(trees, func(tree *btree.BTreeG[rank]) bool { return tree == nil || !tree.Has(e) }):
		b.t.Errorf("job %s is not where its backlog has it", j.ID)
	case j.entry.capped.job != nil && j.tenant.capped.Has(e) == j.isTooLarge():
		b.t.Errorf("job %s is not where its tenant has it among the capped jobs", j.ID)
	case e.class != j.serviceClass(now, j.lateAt(j.remaining())):
		b.t.Errorf("job %s is in class %d of the backlog, %d by its objective", j.ID, e.class, j.serviceClass(now, j.lateAt(j.remaining())))
	}
}

// placeOf returns the job's place in its backlog, without a job if it has none, and the trees that must have it.
func (b *testbed) placeOf(j *job) (place rank, trees []*btree.BTreeG[rank]) {
	backlog, e := &j.pool.backlog, &j.entry
	places := 0
	if e.waiting.job != nil {
		place, trees = e.waiting, []*btree.BTreeG[rank]{backlog.waiting, backlog.byHome[j.Home]}
		places++
	}
	if e.held.job != nil {
		place, trees = e.held, []*btree.BTreeG[rank]{backlog.held[e.heldIn]}
		places++
	}
	if e.capped.job != nil {
		place, trees = e.capped, []*btree.BTreeG[rank]{backlog.capped}
		places++
	}
	if places > 1 {
		b.t.Errorf("job %s is among several of the waiting, the held and the capped jobs of its backlog", j.ID)
	}
	return place, trees
}

// countNeedingRun returns the number of the step's tasks that need a run, 0 for a step that isn't ready.
func countNeedingRun(step *stepState) int {
	n := 0
	for _, t := range step.tasks {
		if step.ready && t.needsRun() {
			n++
		}
	}
	return n
}

// checkPlanner compares what a pass takes as given of whole steps and jobs with the workers.
func (b *testbed) checkPlanner(p *pool, now time.Duration) {
	pl := b.s.newPlanner(p, now)
	b.s.updateHolders()
	for j := range p.jobs {
		if held := b.mayStillRun(j); held != (b.s.holderOf(j) != nil) {
			b.t.Errorf("job %s: a worker of an earlier epoch may run it: %t, not so for the pass", j.ID, held)
		}
		for _, o := range j.occurrences {
			if o == nil {
				continue
			}
			for _, step := range o.steps {
				if step.waiting > 0 && pl.isHopeless(step) && pl.hasRoomFor(step.size()) {
					b.t.Errorf("job %s, step %d: a worker has room, and the pass takes it that none has", j.ID, step.index)
				}
			}
		}
	}
}

// mayStillRun reports whether a worker that hasn't accepted the epoch may be running a task of the job.
func (b *testbed) mayStillRun(j *job) bool {
	for _, w := range b.s.unheard {
		if j.inherited && j.mayHaveRunIn(w.DataCentre) {
			return true
		}
	}
	return false
}

// hasRoomFor reports whether a candidate has room for the size.
func (pl *planner) hasRoomFor(size work.Size) bool {
	for _, w := range pl.candidates.workers {
		if w.free().Holds(size) {
			return true
		}
	}
	return false
}
