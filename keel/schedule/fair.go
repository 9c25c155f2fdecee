package schedule

import (
	"time"

	"samphirekeel.example/keel/tenant"
)

// fairBurstTime is the time for which a tenant may take its share of a pool at once: about as long as a job of the usual size may
// wait.
const fairBurstTime = time.Second

// poolShare is what a tenant takes of a pool: a token bucket that is filled at the tenant's weighted share, in seconds of the whole
// pool.
type poolShare struct {
	// jobs is the number of open jobs that end by themselves.
	jobs    int
	seconds float64
	at      time.Duration
}

// joinShare and leaveShare count an open job for its tenant's share of the pool.
func (p *pool) joinShare(j *job) {
	if j.tenant == nil || j.LongRunning() {
		return
	}
	if p.shares[j.tenant] == nil {
		p.shares[j.tenant] = &poolShare{at: noTime}
	}
	p.shares[j.tenant].jobs++
}

// noTime marks a bucket that is full because it is new.
const noTime = time.Duration(-1)

func (p *pool) leaveShare(j *job) {
	if j.tenant != nil && !j.LongRunning() {
		p.shares[j.tenant].jobs--
	}
}

// fairShare returns the tenant's part of the pool: its weight against that of all tenants with open jobs there.
func (p *pool) fairShare(t *tenantState) float64 {
	sum := 0.0
	for other, share := range p.shares {
		if share.jobs > 0 || other == t {
			sum += other.weightOrOne()
		}
	}
	return t.weightOrOne() / sum
}

// weightOrOne returns the tenant's weight, 1 if it isn't known.
func (t *tenantState) weightOrOne() float64 {
	if t.weight > 0 {
		return t.weight
	}
	return 1
}

// setShare sets whether the job is over its tenant's share of the pool: whether the tenant has sent more work than that, by the
// resource that the work needs most of.
func (s *Scheduler) setShare(j *job) {
	if j.tenant == nil || j.pool == nil || j.LongRunning() || j.HasDueTimes() || !j.open() {
		return
	}
	share, part := j.pool.shares[j.tenant], j.pool.fairShare(j.tenant)
	full := part * fairBurstTime.Seconds()
	if share.at == noTime {
		share.seconds, share.at = full, j.arrived
	}
	share.seconds = min(full, share.seconds+part*max(0, j.arrived-share.at).Seconds())
	share.at = max(share.at, j.arrived)
	if share.seconds <= 0 {
		j.overShare = true
		j.tenant.over++
		j.touch()
		return
	}
	// The last job may take more than is left, so that large ones have their turn.
	share.seconds -= j.poolSeconds(j.pool.room)
}

// poolSeconds returns for how long the job's work takes all of the room, in the resource that it needs most of.
func (j *job) poolSeconds(room tenant.Cap) float64 {
	sum := 0.0
	for i := range j.Steps {
		size := tenant.Cap(j.Steps[i].Size)
		if j.Steps[i].BestEffort {
			size.MilliCores = 0
		}
		sum += float64(j.Steps[i].Count) * room.DominantShare(size) * j.estimates[i].Seconds()
	}
	return sum
}

// setRoom records the capacity of the pool, with that of the instances that were ordered into it.
func (d *demand) setRoom(capacity tenant.Cap) {
	if d.capacity == 0 {
		d.pool.room = tenant.Cap{}
		return
	}
	scale := func(n int64) int64 { return int64(float64(n) * float64(d.capacity+d.incoming) / float64(d.capacity)) }
	d.pool.room = tenant.Cap{MilliCores: scale(capacity.MilliCores), MemoryMB: scale(capacity.MemoryMB), Accelerators: scale(capacity.Accelerators)}
}
