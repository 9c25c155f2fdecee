package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/google/btree"

	"samphirekeel.example/keel/tenant"
)

// The service classes, in the order in which they are served.
const (
	classLongRunning = iota
	classOnTime
	// classBeyond is the class of jobs that can meet their objective and are beyond what their tenant is owed, or over its share of
	// the pool.
	classBeyond
	// classLate is the class of jobs that can no longer meet their objective, classLateBeyond the same behind it.
	classLate
	classLateBeyond
	// classCount is the number of classes.
	classCount
)

const (
	// estimateError is the assumed relative error of task estimates: half of the error that is specified for
	// deployments with short tasks.
	estimateError = 0.1
	// outcomeDelay is the time from a task's end until the caller sees the job's outcome: a lease renewal, the ledger's
	// flush delay and a transaction.
	outcomeDelay = 100 * time.Millisecond
	// backlogDegree is the degree of the backlog's trees.
	backlogDegree = 32
)

// backlog holds the open jobs of a pool in scheduling order, with the sums of their unfinished work. An update costs as
// much as the number of jobs that have changed or become late, however many wait.
type backlog struct {
	// changed holds the jobs whose entry may be out of date.
	changed []*job
	// waiting holds the jobs that have tasks to start, in scheduling order, and byHome the same by home data centre, outside
	// of which a job starts only if it has no room there.
	waiting *btree.BTreeG[rank]
	byHome  map[string]*btree.BTreeG[rank]
	// held holds, by data centre, the jobs of which no task may start before a worker there is fenced, in scheduling order.
	held map[string]*btree.BTreeG[rank]
	// capped holds the jobs that wait for room under their tenant's cap, in scheduling order.
	capped *btree.BTreeG[rank]
	caps   *caps
	// holderOf returns the unheard worker that holds a job, or nil; isHolding reports whether one of the data centre holds
	// jobs.
	holderOf  func(*job) *workerState
	isHolding func(dataCentre string) bool
	// deadlines holds the jobs that can still meet their objective, ordered by when they become late.
	deadlines *btree.BTreeG[rank]
	// total is the unfinished work of all jobs, onTime that of long-running ones and of those that can still meet their
	// objective.
	total, onTime openWork
	// tasks is the number of tasks that need a run.
	tasks int
	// cursors holds, by service class, where the next pass continues to examine the jobs behind those that each pass examines
	// first.
	cursors [classCount]rank
	// reportCursor is where the next report of waiting tasks continues to examine the jobs behind the first ones.
	reportCursor rank
}

// rank is a job's place in an order.
type rank struct {
	class int
	key   time.Duration
	id    string
	job   *job
}

// startOf returns the place before all jobs of a class. Keys are negative for jobs that were accepted before the clock began.
func startOf(class int) rank { return rank{class: class, key: math.MinInt64} }

// isIn reports whether the place is one of the class.
func (r rank) isIn(class int) bool { return r.job != nil && r.class == class }

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.key, b.key), strings.Compare(a.id, b.id))
}

func (r rank) before(o rank) bool { return compareRanks(r, o) < 0 }

// backlogEntry is what a backlog counts for a job.
type backlogEntry struct {
	// waiting, held, capped and deadline are the job's places in the trees, without a job if it has none.
	waiting, held, capped, deadline rank
	// heldIn is the data centre whose workers hold the job.
	heldIn string
	work   openWork
	tasks  int
	onTime bool
	// unseen is what unheard workers may be running of the job.
	unseen tenant.Cap
}

func newBacklog(s *Scheduler) backlog {
	return backlog{
		held: make(map[string]*btree.BTreeG[rank]), holderOf: s.holderOf, isHolding: s.isHolding,
		waiting: btree.NewG(backlogDegree, rank.before), byHome: make(map[string]*btree.BTreeG[rank]),
		deadlines: btree.NewG(backlogDegree, rank.before), capped: btree.NewG(backlogDegree, rank.before), caps: &s.caps,
	}
}

// touch records that the job's place in its pool's backlog, or its unfinished work, may have changed.
func (j *job) touch() {
	if j.pool != nil && !j.touched {
		j.touched = true
		j.pool.backlog.changed = append(j.pool.backlog.changed, j)
	}
}

// update applies the changes of jobs since the last update and moves the jobs that have become late.
func (p *pool) update(now time.Duration, mayRun func(*stepState) bool) {
	b := &p.backlog
	b.releaseHeld()
	for _, j := range b.changed {
		if j.pool != p {
			continue
		}
		j.touched = false
		b.remove(j)
		b.add(j, now, mayRun)
	}
	clear(b.changed)
	b.changed = b.changed[:0]
	for {
		next, ok := b.deadlines.Min()
		if !ok || now <= next.key {
			return
		}
		b.remove(next.job)
		b.add(next.job, now, mayRun)
	}
}

// add adds an open job.
func (b *backlog) add(j *job, now time.Duration, mayRun func(*stepState) bool) {
	if !j.open() || j.queue == nil {
		return
	}
	if j.waiting == 0 && j.maySpeculate {
		j.maySpeculate = j.needsSpeculativeRun(now)
	}
	place, lateAt := j.place(now)
	waits := j.waiting > 0 || j.maySpeculate
	holder := b.holderOf(j)
	held := holder != nil && !j.maySpeculateNow()
	capped := waits && !held && b.caps.holdsBack(place)
	b.count(place, lateAt, j.openWork(mayRun, !capped))
	if waits && holder != nil {
		b.countUnseen(j)
	}
	switch {
	case !waits:
	case capped:
		b.addCapped(place)
	case held:
		b.addHeld(place, holder.DataCentre)
	default:
		b.addWaiting(place)
	}
}

// place returns the job's place in the scheduling order, and when it becomes late: late jobs are ordered by arrival, the others by
// the slack to their objective.
func (j *job) place(now time.Duration) (place rank, lateAt time.Duration) {
	remaining := j.remaining()
	lateAt = j.lateAt(remaining)
	place = rank{class: j.serviceClass(now, lateAt), key: j.objective() - remaining, id: j.ID, job: j}
	if place.class >= classLate {
		place.key = j.arrived
	}
	return place, lateAt
}

// count counts the job's work and its tasks, and when it becomes late.
func (b *backlog) count(place rank, lateAt time.Duration, unfinished openWork) {
	j := place.job
	e := &j.entry
	e.work, e.tasks, e.onTime = unfinished, j.waiting, place.class <= classBeyond && !j.beyond
	b.total.add(e.work)
	b.tasks += e.tasks
	if e.onTime {
		b.onTime.add(e.work)
	}
	if place.class == classOnTime || place.class == classBeyond {
		e.deadline = rank{key: lateAt, id: j.ID, job: j}
		b.deadlines.ReplaceOrInsert(e.deadline)
	}
}

// addWaiting adds the job to those whose tasks may start.
func (b *backlog) addWaiting(place rank) {
	j := place.job
	j.entry.waiting = place
	b.waiting.ReplaceOrInsert(place)
	if b.byHome[j.Home] == nil {
		b.byHome[j.Home] = btree.NewG(backlogDegree, rank.before)
	}
	b.byHome[j.Home].ReplaceOrInsert(place)
}

// remove removes a job.
func (b *backlog) remove(j *job) {
	e := &j.entry
	b.total.subtract(e.work)
	b.tasks -= e.tasks
	if e.onTime {
		b.onTime.subtract(e.work)
	}
	if e.deadline.job != nil {
		b.deadlines.Delete(e.deadline)
	}
	if e.waiting.job != nil {
		b.waiting.Delete(e.waiting)
		home := b.byHome[j.Home]
		home.Delete(e.waiting)
		if home.Len() == 0 {
			delete(b.byHome, j.Home)
		}
	}
	b.removeHeld(j)
	b.removeCapped(j)
	b.removeUnseen(j)
	*e = backlogEntry{}
}

// homes returns the data centres with waiting jobs, ordered by name.
func (b *backlog) homes() []string { return slices.Sorted(maps.Keys(b.byHome)) }

// walk calls visit for the jobs of an order from one place on and before another, until it returns false, and returns the
// last one's place and whether no job is left. The backlog isn't updated meanwhile.
func walk(order *btree.BTreeG[rank], from, to rank, visit func(*job) bool) (last rank, complete bool) {
	last, complete = from, true
	order.AscendRange(from, to, func(r rank) bool {
		last = r
		complete = visit(r.job)
		return complete
	})
	return last, complete
}

// lateAt returns the latest time at which the job can still meet its objective if its remaining work starts then.
func (j *job) lateAt(remaining time.Duration) time.Duration {
	return j.objective() - time.Duration((1+estimateError)*float64(remaining)) - outcomeDelay
}

// serviceClass ranks long-running jobs first, then jobs that can still meet their objective, then late jobs, and in both cases
// those behind that are beyond what their tenant is owed, or over its share of the pool.
func (j *job) serviceClass(now, lateAt time.Duration) int {
	switch {
	case j.LongRunning():
		return classLongRunning
	case now <= lateAt && (j.beyond || j.overShare):
		return classBeyond
	case now <= lateAt:
		return classOnTime
	case j.beyond || j.overShare:
		return classLateBeyond
	}
	return classLate
}

// remaining returns the estimated time until the job is done if its remaining tasks start now.
func (j *job) remaining() time.Duration {
	longest := time.Duration(0)
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.done < len(step.tasks) {
				longest = max(longest, step.criticalPath)
			}
		}
	}
	return longest
}
