package job

import (
	"fmt"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// placeAll places the queued jobs that count as urgent, or else the others, starting with the service that has the
// lowest dominant share.
func (p *planner) placeAll(queued []rowset.Versioned[Record], urgent bool) {
	if p.index == nil {
		return
	}
	queue := newFairQueue(p.serviceUsage, queued)
	for !p.batch.full() {
		found, ok := queue.next()
		if !ok {
			return
		}
		if p.withinUrgentShare(found.Value) != urgent || p.batch.writesJob(found.Key()) {
			continue
		}
		p.place(found)
	}
}

// withinUrgentShare reports whether the job counts as urgent: it is marked so, and with it the cores that the service's
// urgent jobs hold are within the service's urgent share of the pool.
func (p *planner) withinUrgentShare(job Record) bool {
	if !job.Urgent {
		return false
	}
	share := p.c.View.Settings().Tree.Float(settings.Path(job.Service), settings.JobUrgentShare)
	var used, capacity int64
	for key := range p.tasks {
		other := p.batch.job(key)
		if other.Urgent && other.OnWorker() && other.Service == job.Service {
			used += other.Reserved.MilliCores
		}
	}
	for key := range p.instanceVersions {
		inst, _ := p.c.View.Inventory().Get(key)
		capacity += inst.Value.Size.MilliCores
	}
	return float64(used+job.Size.MilliCores) <= share*float64(capacity)
}

// place assigns the job to the worker that is its best fit. A job that no worker can take is refused if it could never
// fit, and otherwise stays queued; capacity is preempted for it if it is urgent or starved.
func (p *planner) place(found rowset.Versioned[Record]) {
	job := found.Value
	size := p.factors[job.Service].Apply(job.Size)
	err := p.instanceSizes.Check(p.pool, size)
	if err != nil {
		p.finish(found, Refused, err.Error())
		return
	}
	usable := func(candidate *Candidate) bool {
		reservedBy, reserved := p.reservations[candidate.Name]
		if !p.maySuspect(job, candidate) || !p.reportsRoom(candidate, size) {
			return false
		}
		return !slices.Contains(job.FailedOn, candidate.Name) && (!reserved || reservedBy == found.Key()) && p.available(candidate.Name)
	}
	if p.knownUnplaceable(job, size) {
		p.logWaiting(found, "no worker has enough free capacity")
		return
	}
	candidate, ok := p.index.Find(size, usable)
	if !ok {
		p.handleUnplaceable(found, size)
		return
	}
	inst, known := p.c.View.Inventory().Get(candidate.Name)
	if !known {
		p.index.Remove(candidate.Name)
		return
	}
	next := job
	next.State, next.Worker, next.Reserved, next.Epoch, next.Reason = Placed, candidate.Name, size, p.epoch, ""
	next.Attempt++
	listing, _ := p.c.View.InstanceList().Get(candidate.Name)
	next.Boot = listing.Boot
	p.batch.putJob(found, next)
	p.batch.assign(WorkerKey(p.pool, candidate.Name), candidate.Name, found.Key(), size)
	if job.isSuspected() {
		p.batch.isolate(WorkerKey(p.pool, candidate.Name))
	}
	// The commit fails if the instance's row has changed, so that no job is placed on a worker that began to leave.
	p.batch.addCondition(inst.Condition())
	free := subtract(candidate.Free, size)
	p.index.Allocate(candidate.Name, size)
	if job.isSuspected() {
		p.index.Remove(candidate.Name)
	}
	p.serviceUsage[job.Service].Used = p.serviceUsage[job.Service].Used.Plus(size)
	p.decisions = append(p.decisions, decision{
		event: event.JobPlaced, waited: time.Since(job.Submitted),
		fields: event.Fields{
			"job": job.ID, "worker": candidate.Name, "attempt": next.Attempt, "reason": placementReason(job),
			"left": sizeText(free),
		},
	})
	delete(p.reservations, candidate.Name)
	delete(p.waitReasons, found.Key())
}

// available reports whether the worker may take jobs: it is live, if the instance list has it, and it rejected no start
// within avoidDuration.
func (p *planner) available(key string) bool {
	worker, listed := p.c.View.InstanceList().Get(key)
	return (!listed || worker.Liveness == platform.Live) && !time.Now().Before(p.avoidUntil[key])
}

func placementReason(job Record) string {
	switch {
	case job.Urgent:
		return "urgent, best fit"
	case job.Attempt > 0:
		return "again, best fit"
	}
	return "best fit"
}

func sizeText(size platform.Size) string {
	return fmt.Sprintf("%d/%d/%d", size.MilliCores, size.MemoryMB, size.Accelerators)
}

// knownUnplaceable reports whether this plan already found no worker for a size that is at most as large. It is false
// for an urgent job, which may preempt others.
func (p *planner) knownUnplaceable(job Record, size platform.Size) bool {
	if job.Urgent {
		return false
	}
	for _, unplaceable := range p.unplaceable {
		if unplaceable.Fits(size) {
			return true
		}
	}
	return false
}

// handleUnplaceable reserves a worker and starts preemption for an urgent or starved job; other jobs stay queued.
func (p *planner) handleUnplaceable(found rowset.Versioned[Record], size platform.Size) {
	// A job that must avoid some workers shows nothing about other jobs of its size.
	if len(found.Value.FailedOn) == 0 && !found.Value.isSuspected() {
		p.unplaceable = append(p.unplaceable, size)
	}
	if !p.withinUrgentShare(found.Value) && !p.starved(found.Value) || p.hasReservation(found.Key()) {
		p.logWaiting(found, "no worker has enough free capacity")
		return
	}
	worker, ok := p.choosePreemptionWorker(found.Value, size)
	if !ok {
		p.logWaiting(found, "no worker has enough free or preemptible capacity")
		return
	}
	p.reservations[worker] = found.Key()
	p.c.Log.Write(event.JobMakesRoom, event.Fields{"job": found.Value.ID, "worker": worker, "size": sizeText(size)})
	p.c.Loop.After(0, p.reconcile)
}

// starved reports whether the job has been queued for longer than the service's starvation timeout and would keep the
// service within its quota.
//
// The timeout is the preemption timeout of YARN's FairScheduler. FairScheduler's threshold, a fraction of the fair
// share, is left out: here the threshold is the whole quota.
func (p *planner) starved(job Record) bool {
	timeout := p.c.View.Settings().Tree.Duration(settings.Path(job.Service), settings.JobStarvationTimeout)
	usage := *p.serviceUsage[job.Service]
	usage.Used = usage.Used.Plus(job.Size)
	return time.Since(job.Submitted) > timeout && usage.DominantShare() <= 1
}

func (p *planner) hasReservation(key string) bool {
	for _, reservedBy := range p.reservations {
		if reservedBy == key {
			return true
		}
	}
	return false
}

// logWaiting logs why the job stays queued, unless the reason is the one logged before.
func (p *planner) logWaiting(found rowset.Versioned[Record], reason string) {
	if p.waitReasons[found.Key()] == reason {
		return
	}
	p.waitReasons[found.Key()] = reason
	p.c.Log.Write(event.JobWaits, event.Fields{"job": found.Value.ID, "reason": reason, "size": sizeText(found.Value.Size)})
}
