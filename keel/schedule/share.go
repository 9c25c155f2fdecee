package schedule

import (
	"time"

	"github.com/google/btree"

	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/tenant"
	"samphirekeel.example/keel/work"
)

const (
	// owedBurstTime is the time whose owed jobs a tenant may send at once: callers send in bursts.
	owedBurstTime = 2 * time.Second
	// minOwedBurst is the least number of these jobs, so that chance alone brings no small tenant beyond its rate.
	minOwedBurst = 10
	// maxReleasedJobs is the number of a tenant's capped jobs that one pass examines.
	maxReleasedJobs = 64
	// maxDeferredJobs is the number of jobs whose tenant is at its cap after which a pass examines no more jobs, as each of them is
	// moved once.
	maxDeferredJobs = 2048
)

// caps holds the tenants with jobs and what they may use. It is empty where no job has a tenant.
type caps struct {
	byName map[string]*tenantState
	// beyond is the number of open jobs beyond what their tenants are owed.
	beyond int
	// unheard is the capacity of the workers that may run tasks of earlier epochs unseen.
	unheard tenant.Cap
}

// tenantState is what the scheduler counts for a tenant.
type tenantState struct {
	name string
	// limit is the tenant's cap in the newest configuration that has the tenant; weight is its owed number of jobs a second, 0 if
	// the number isn't known.
	limit  tenant.Cap
	weight float64
	// unconfigured is set while it isn't known what the tenant may use: there is no configuration, or only an earlier one than that
	// under which a job was accepted. removed is set if the configuration lacks the tenant.
	unconfigured, removed bool
	// newest is the latest version of the configuration under which a job of the tenant was accepted.
	newest uint64
	// used is what the runs need that may be in progress, best-effort ones with their processor time; unseen is the same for tasks of
	// earlier epochs that workers may be running unseen.
	used, unseen tenant.Cap
	// lasting is the part of used for long-running tasks.
	lasting tenant.Cap
	// capped holds the jobs of all pools that wait until the tenant has room under its cap, in scheduling order.
	capped *btree.BTreeG[rank]
	// head is the first of them that waits for runs to end, as of the last pass, without a job if there is none.
	head rank
	rate owedRate
	// jobs is the number of open jobs; beyond counts the jobs beyond the owed rate since the last report, over those over the share of
	// their pool.
	jobs, beyond, over int
}

// owedRate is a token bucket over the times at which jobs were accepted.
type owedRate struct {
	tokens float64
	at     time.Duration
	began  bool
}

// take reports whether a job that arrives at the time is within the rate. Jobs out of order take from what there is.
func (o *owedRate) take(arrived time.Duration, perSecond float64) bool {
	burst := max(minOwedBurst, perSecond*owedBurstTime.Seconds())
	if !o.began {
		o.tokens, o.at, o.began = burst, arrived, true
	}
	if arrived > o.at {
		o.tokens = min(burst, o.tokens+perSecond*(arrived-o.at).Seconds())
		o.at = arrived
	}
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// setTenant sets the tenant of a new job and whether the job is beyond what its tenant is owed.
func (s *Scheduler) setTenant(j *job) {
	if j.Tenant == "" {
		return
	}
	t := s.caps.byName[j.Tenant]
	if t == nil {
		t = &tenantState{name: j.Tenant, capped: btree.NewG(backlogDegree, rank.before)}
		s.caps.byName[j.Tenant] = t
	}
	j.tenant = t
	t.jobs++
	if j.Terms != nil {
		t.newest = max(t.newest, j.Terms.Version)
	}
	t.configure(s.Config)
	if t.removed || t.weight > 0 && !t.rate.take(j.arrived, t.weight) {
		j.beyond = true
		t.beyond++
		s.caps.beyond++
	}
}

// configure sets what the tenant may use. A tenant that the configuration lacks keeps its last cap, and isn't limited if none is
// known.
func (t *tenantState) configure(c *queue.Config) {
	var found *tenant.Tenant
	if c != nil {
		found = c.Tenants.ByName(t.name)
	}
	t.unconfigured = c == nil || found == nil && c.Version < t.newest
	t.removed = c != nil && found == nil && !t.unconfigured
	if found != nil {
		t.limit, t.weight = found.Cap, found.Weight
	}
}

// configureTenants applies the present configuration to the tenants.
func (s *Scheduler) configureTenants() {
	for _, t := range s.caps.byName {
		t.configure(s.Config)
	}
}

// leaveTenant records that a job of the tenant has ended.
func (s *Scheduler) leaveTenant(j *job) {
	t := j.tenant
	if t == nil {
		return
	}
	t.jobs--
	if j.beyond {
		s.caps.beyond--
	}
	if t.jobs == 0 && t.used == (tenant.Cap{}) && s.Config != nil && s.Config.Tenants.ByName(t.name) == nil {
		delete(s.caps.byName, t.name)
		for _, p := range s.pools {
			delete(p.shares, t)
		}
	}
}

// charge counts the run for its tenant.
func (r *run) charge() {
	r.tenant = r.task.job().tenant
	if r.tenant == nil {
		return
	}
	size := tenant.Cap(r.task.step.spec.Size)
	r.tenant.used = r.tenant.used.Plus(size)
	if r.task.step.spec.LongRunning {
		r.tenant.lasting = r.tenant.lasting.Plus(size)
	}
}

// discharge records that the run is over and no longer counts for its tenant.
func (r *run) discharge() {
	if r.tenant == nil {
		return
	}
	size := tenant.Cap(r.task.step.spec.Size)
	r.tenant.used = r.tenant.used.Minus(size)
	if r.task.step.spec.LongRunning {
		r.tenant.lasting = r.tenant.lasting.Minus(size)
	}
	r.tenant = nil
}

// updateUnheard sums the capacity of the unheard workers. That of one without a registration isn't known.
func (s *Scheduler) updateUnheard() {
	s.caps.unheard = tenant.Cap{}
	for _, w := range s.unheard {
		if w.Capacity == (work.Size{}) {
			s.caps.unheard = tenant.Cap{}.Room(tenant.Cap{})
			return
		}
		s.caps.unheard = s.caps.unheard.Plus(tenant.Cap(w.Capacity))
	}
}

// taken returns the most that the tenant may have running: its known runs, and what unheard workers may run of its tasks.
func (c *caps) taken(t *tenantState) tenant.Cap { return t.used.Plus(t.unseen.Least(c.unheard)) }

// allows reports whether a task of the step may start without bringing its tenant above its cap. A task larger than the cap may
// run by itself.
func (c *caps) allows(step *stepState) bool {
	t := step.occurrence.job.tenant
	if t == nil {
		return true
	}
	return !t.unconfigured && c.fits(t, step, t.limit.Room(c.taken(t)))
}

// fits reports whether a task of the step, or its whole gang, fits in the room under its tenant's cap.
func (c *caps) fits(t *tenantState, step *stepState, room tenant.Cap) bool {
	size := tenant.Cap(step.spec.Size)
	if step.spec.Gang {
		return room.Holds(size.Times(int64(len(step.tasks))))
	}
	return room.Holds(size) || c.taken(t) == tenant.Cap{}
}

// allowsSome reports whether some task of the job may start in the room under its tenant's cap.
func (c *caps) allowsSome(j *job, room tenant.Cap) bool {
	return !j.tenant.unconfigured && j.hasStartable(func(step *stepState) bool { return c.fits(j.tenant, step, room) })
}

// hasStartable reports whether a step whose turn has come has tasks that may start and meets the condition.
func (j *job) hasStartable(meets func(*stepState) bool) bool {
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.ready && step.done < len(step.tasks) && (step.waiting > 0 || step.spec.Speculative) && meets(step) {
				return true
			}
		}
	}
	return false
}

// isCapped reports whether no task of the job may start because of its tenant's cap.
func (c *caps) isCapped(j *job) bool {
	return j.tenant != nil && !c.allowsSome(j, j.tenant.limit.Room(c.taken(j.tenant)))
}

// holdsBack reports whether the job waits for room under its tenant's cap: it doesn't fit, or a job before it waits for that, which
// small tasks behind it would keep from starting.
func (c *caps) holdsBack(place rank) bool {
	j := place.job
	if j.tenant == nil {
		return false
	}
	if c.isCapped(j) {
		return true
	}
	head := j.tenant.head
	return !j.mayPassCap && head.job != nil && head.job.entry.capped == head && head.before(place)
}

// isTooLarge reports whether all that the job could start are gangs above its tenant's cap, which can't start before the cap rises.
func (j *job) isTooLarge() bool {
	room := j.tenant.limit.Room(tenant.Cap{})
	return !j.hasStartable(func(step *stepState) bool {
		return !step.spec.Gang || room.Holds(tenant.Cap(step.spec.Size).Times(int64(len(step.tasks))))
	})
}

// addCapped adds the job to those that wait for room under their tenant's cap. Its waiting tasks need no further instances.
func (b *backlog) addCapped(place rank) {
	j := place.job
	e := &j.entry
	j.mayPassCap = false
	e.capped = place
	b.capped.ReplaceOrInsert(place)
	if !j.isTooLarge() {
		j.tenant.capped.ReplaceOrInsert(place)
	}
}

// removeCapped removes the job from those that wait for room under their tenant's cap.
func (b *backlog) removeCapped(j *job) {
	if j.entry.capped.job == nil {
		return
	}
	b.capped.Delete(j.entry.capped)
	j.tenant.capped.Delete(j.entry.capped)
}

// releaseCapped returns jobs to the order of waiting jobs as far as their tenants have room, with the next update of the
// backlogs.
func (s *Scheduler) releaseCapped() {
	for _, t := range s.caps.byName {
		if t.capped.Len() > 0 {
			s.caps.release(t)
		}
	}
}

// release releases the tenant's first capped jobs, until the next one that may get enough room doesn't fit in what they leave: that
// one is the head, and holds back the jobs behind it.
func (c *caps) release(t *tenantState) {
	t.head = rank{}
	room, later := t.limit.Room(c.taken(t)), t.limit.Room(t.lasting)
	released, passed := 0, 0
	t.capped.Ascend(func(r rank) bool {
		if t.unconfigured || released+passed == maxReleasedJobs {
			return false
		}
		if !c.allowsSome(r.job, room) {
			passed++
			if r.job.waiting > 0 && c.allowsSome(r.job, later) {
				t.head = r
			}
			return t.head.job == nil
		}
		released++
		r.job.mayPassCap = true
		r.job.touch()
		room = room.Minus(r.job.waitingSize())
		return room.Holds(tenant.Cap{})
	})
}

// waitingSize returns what the job's waiting tasks need.
func (j *job) waitingSize() tenant.Cap {
	var sum tenant.Cap
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			sum = sum.Plus(tenant.Cap(step.spec.Size).Times(int64(step.waiting)))
		}
	}
	return sum
}

// unseenSize returns what tasks of the inherited job need that an unheard worker may be running: those without a known run, and a
// copy of each other one that may have one.
func (j *job) unseenSize() tenant.Cap {
	sum := j.waitingSize()
	for _, o := range j.occurrences {
		if o == nil {
			continue
		}
		for _, step := range o.steps {
			if step.spec.Speculative && step.ready {
				sum = sum.Plus(tenant.Cap(step.spec.Size).Times(int64(len(step.tasks) - step.done - step.waiting)))
			}
		}
	}
	return sum
}

// countUnseen counts what an unheard worker may be running of the job.
func (b *backlog) countUnseen(j *job) {
	if j.tenant != nil {
		j.entry.unseen = j.unseenSize()
		j.tenant.unseen = j.tenant.unseen.Plus(j.entry.unseen)
	}
}

// removeUnseen no longer counts what an unheard worker may be running of the job.
func (b *backlog) removeUnseen(j *job) {
	if j.tenant != nil {
		j.tenant.unseen = j.tenant.unseen.Minus(j.entry.unseen)
	}
}

// addCappedJobs adds the tasks of the pool's first capped jobs and returns the number of tasks of these jobs. The others count as
// not examined.
func (c *waitCollector) addCappedJobs(p *pool) (tasks int) {
	jobs := 0
	walk(p.backlog.capped, startOf(classLongRunning), startOf(classCount), func(j *job) bool {
		jobs++
		tasks += j.waiting
		c.addJob(j)
		return jobs < maxReportedJobs
	})
	return tasks
}

// firstCappedTask returns a task of a job that waits for room under its tenant's cap, or nil if there is none.
func (b *backlog) firstCappedTask() *task {
	first, ok := b.capped.Min()
	if !ok {
		return nil
	}
	return first.job.waitingTask()
}
