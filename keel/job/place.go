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

// placeAll places the queued jobs that are urgent, or those that aren't, of the team with the least share first.
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

// withinUrgentShare reports whether the job is urgent and its service's urgent jobs are within their share of the pool.
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
		on, _ := p.c.View.Inventory().Get(key)
		capacity += on.Value.Size.MilliCores
	}
	return float64(used+job.Size.MilliCores) <= share*float64(capacity)
}

// place puts a job on the worker that it fits best, makes room for an urgent one, or says why it waits.
func (p *planner) place(found rowset.Versioned[Record]) {
	job := found.Value
	size := p.factors[job.Service].Apply(job.Size)
	err := p.shapes.Check(p.pool, size)
	if err != nil {
		p.finish(found, Refused, err.Error())
		return
	}
	usable := func(slot *Candidate) bool {
		holder, kept := p.reservations[slot.Name]
		return !slices.Contains(job.FailedOn, slot.Name) && (!kept || holder == found.Key()) && p.available(slot.Name)
	}
	if p.knownUnplaceable(job, size) {
		p.logWaiting(found, "no worker has room")
		return
	}
	slot, ok := p.index.Find(size, usable)
	if !ok {
		p.handleUnplaceable(found, size)
		return
	}
	on, known := p.c.View.Inventory().Get(slot.Name)
	if !known {
		p.index.Remove(slot.Name)
		return
	}
	next := job
	next.State, next.Worker, next.Reserved, next.Epoch, next.Reason = Placed, slot.Name, size, p.epoch, ""
	next.Attempt++
	p.batch.putJob(found, next)
	p.batch.assign(WorkerKey(p.pool, slot.Name), slot.Name, found.Key(), size)
	// A worker that began to leave takes no job: the instance's row must be as it was read.
	p.batch.addCondition(on.Condition())
	left := subtract(slot.Free, size)
	p.index.Allocate(slot.Name, size)
	p.serviceUsage[job.Service].Used = p.serviceUsage[job.Service].Used.Plus(size)
	p.decisions = append(p.decisions, decision{
		event: event.JobPlaced, waited: time.Since(job.Submitted),
		fields: event.Fields{
			"job": job.ID, "worker": slot.Name, "attempt": next.Attempt, "reason": placementReason(job),
			"left": sizeText(left),
		},
	})
	delete(p.reservations, slot.Name)
	delete(p.waitReasons, found.Key())
}

// available reports whether the list shows the instance in service and it refused no start of late.
func (p *planner) available(key string) bool {
	line, listed := p.c.View.List().Get(key)
	return (!listed || line.Liveness == platform.Live) && !time.Now().Before(p.avoidUntil[key])
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

// knownUnplaceable reports whether a job that needs no more was refused in this plan.
func (p *planner) knownUnplaceable(job Record, size platform.Size) bool {
	if job.Urgent {
		return false
	}
	for _, refused := range p.unplaceable {
		if refused.Fits(size) {
			return true
		}
	}
	return false
}

// handleUnplaceable makes room for an urgent job, and otherwise makes it wait.
func (p *planner) handleUnplaceable(found rowset.Versioned[Record], size platform.Size) {
	if len(found.Value.FailedOn) == 0 {
		p.unplaceable = append(p.unplaceable, size)
	}
	if !p.withinUrgentShare(found.Value) && !p.starved(found.Value) || p.hasReservation(found.Key()) {
		p.logWaiting(found, "no worker has room")
		return
	}
	worker, ok := p.choosePreemptionWorker(found.Value, size)
	if !ok {
		p.logWaiting(found, "no worker has room or work that may be stopped")
		return
	}
	p.reservations[worker] = found.Key()
	p.c.Log.Write(event.JobMakesRoom, event.Fields{"job": found.Value.ID, "worker": worker, "size": sizeText(size)})
	p.c.Loop.After(0, p.reconcile)
}

// starved reports whether the job has waited for longer than its team must, and its team is within its quota with it.
// The timeout is that of YARN's FairScheduler; its threshold, a part of the share, is left out: the quota itself is it.
func (p *planner) starved(job Record) bool {
	timeout := p.c.View.Settings().Tree.Duration(settings.Path(job.Service), settings.JobStarvationTimeout)
	team := *p.serviceUsage[job.Service]
	team.Used = team.Used.Plus(job.Size)
	return time.Since(job.Submitted) > timeout && team.DominantShare() <= 1
}

func (p *planner) hasReservation(key string) bool {
	for _, holder := range p.reservations {
		if holder == key {
			return true
		}
	}
	return false
}

// logWaiting logs why a job isn't placed, once for each reason.
func (p *planner) logWaiting(found rowset.Versioned[Record], reason string) {
	if p.waitReasons[found.Key()] == reason {
		return
	}
	p.waitReasons[found.Key()] = reason
	p.c.Log.Write(event.JobWaits, event.Fields{"job": found.Value.ID, "reason": reason, "size": sizeText(found.Value.Size)})
}
