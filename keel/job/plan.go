package job

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// decision is a log line that is written once its transaction is committed.
type decision struct {
	event  event.ID
	fields event.Fields
	waited time.Duration
}

// planner fills one batch; it decides over the rows and the runs of its shard.
type planner struct {
	*poolScheduler
	batch *batch
	// urgentOnly leaves out what can wait for the pause between two transactions.
	urgentOnly   bool
	decisions    []decision
	unplaceable  []platform.Size
	serviceUsage map[string]*ServiceUsage
}

// plan adds ends of jobs, urgent placements, other placements and removals, in this order.
func (p *planner) plan() {
	queued, ended := p.queuedAndEnded()
	p.serviceUsage = p.usageByService(queued)
	p.recordPreempted()
	if p.urgentOnly {
		p.placeAll(queued, true)
		return
	}
	p.recordOutcomes()
	p.placeAll(queued, true)
	p.placeAll(queued, false)
	p.removeExpired(ended)
}

// recordOutcomes writes what became of jobs on workers, and leaves half of the batch to placements.
func (p *planner) recordOutcomes() {
	for _, key := range sortedKeys(p.tasks) {
		if len(p.batch.writeOrder) >= maxBatchRows/2 {
			return
		}
		found, ok := p.jobs.Get(key)
		if ok && !p.batch.writesJob(key) {
			p.recordOutcome(found, p.tasks[key])
		}
	}
}

// recordPreempted takes the jobs that were stopped for an urgent one off their workers.
func (p *planner) recordPreempted() {
	for _, worker := range sortedKeys(p.reservations) {
		row, _ := p.workers.Get(WorkerKey(p.pool, worker))
		for _, key := range sortedKeys(row.Value.Tasks) {
			found, ok := p.jobs.Get(key)
			r := p.tasks[key]
			if ok && r != nil && (r.stopped || r.finalReport != nil) {
				p.recordOutcome(found, r)
			}
		}
	}
}

// queuedAndEnded returns the queued jobs, the longest waiting first, and the ended ones.
func (p *planner) queuedAndEnded() (queued, ended []rowset.Versioned[Record]) {
	for found := range p.jobs.All {
		switch {
		case found.Value.State == Queued:
			queued = append(queued, found)
		case found.Value.Ended():
			ended = append(ended, found)
		}
	}
	slices.SortFunc(queued, func(a, b rowset.Versioned[Record]) int {
		return cmp.Or(a.Value.Submitted.Compare(b.Value.Submitted), cmp.Compare(a.Key(), b.Key()))
	})
	slices.SortFunc(ended, func(a, b rowset.Versioned[Record]) int {
		return cmp.Or(a.Value.Finished.Compare(b.Value.Finished), cmp.Compare(a.Key(), b.Key()))
	})
	return queued, ended
}

func (p *planner) addDecision(id event.ID, fields event.Fields) {
	p.decisions = append(p.decisions, decision{event: id, fields: fields})
}

// recordOutcome writes what became of a job on a worker.
func (p *planner) recordOutcome(found rowset.Versioned[Record], r *taskState) {
	job := found.Value
	switch {
	case r.finalReport != nil:
		p.recordFinalReport(found, *r.finalReport)
	case r.stopped && job.CancelRequested:
		p.finish(found, Cancelled, "cancelled by its caller")
	case r.stopped:
		p.requeue(found, "stopped to make room or to leave its worker", r.checkpoint)
	case job.State == Placed && p.recordPlaced(found, r):
	case p.leaseExpired(job, r) && p.reportsReadSinceExpiry(job, r):
		p.recordInterrupted(found, "lease lapsed")
	}
}

// recordPlaced writes that a placed job runs, or that it surely wasn't started; it reports whether either is known.
func (p *planner) recordPlaced(found rowset.Versioned[Record], r *taskState) bool {
	job := found.Value
	switch {
	case r.startRefused:
		p.requeue(found, "worker refused the start", job.Checkpoint)
	case p.startNotSent(job, r) && job.CancelRequested:
		p.finish(found, Cancelled, "cancelled by its caller")
	case p.startNotSent(job, r) && !p.serving(job.Worker):
		p.requeue(found, "worker began to leave", job.Checkpoint)
	case r.started:
		next := job
		next.State = Running
		p.batch.putJob(found, next)
		p.addDecision(event.JobStarted, event.Fields{"job": job.ID, "worker": job.Worker, "attempt": job.Attempt})
	default:
		return false
	}
	return true
}

// reportsReadSinceExpiry reports whether the reports of the job's data centre were read after the lease ran out.
func (p *planner) reportsReadSinceExpiry(job Record, r *taskState) bool {
	on, ok := p.c.View.Inventory().Get(job.Worker)
	read := p.reportReads[on.Value.DataCentre]
	return !ok || read != nil && !read.inFlight && read.startedAt.After(r.lastPossibleRenewal.Add(p.leaseDuration(job)))
}

func (p *planner) recordFinalReport(found rowset.Versioned[Record], report platform.TaskReport) {
	job := found.Value
	switch {
	case report.State == platform.TaskDone:
		p.finish(found, Done, "")
	case report.State == platform.TaskFailed:
		p.recordFailure(found, report)
	case job.CancelRequested:
		p.finish(found, Cancelled, "cancelled by its caller")
	case report.State == platform.TaskStopped:
		p.recordInterrupted(found, "stopped to make room or to leave its worker")
	default:
		p.recordInterrupted(found, "lease lapsed")
	}
}

// recordInterrupted deals with a job whose task ended without an outcome.
func (p *planner) recordInterrupted(found rowset.Versioned[Record], reason string) {
	job := found.Value
	checkpoint := job.Checkpoint
	r := p.tasks[found.Key()]
	if r != nil && r.checkpoint != "" {
		checkpoint = r.checkpoint
	}
	if job.Repeatable || job.Checkpointable && checkpoint != "" {
		p.requeue(found, reason, checkpoint)
		return
	}
	p.finish(found, Lost, reason+" and the job must not be repeated")
}

func (p *planner) recordFailure(found rowset.Versioned[Record], report platform.TaskReport) {
	job := found.Value
	attempts := p.c.View.Settings().Tree.Int(settings.Path(job.Service), settings.JobAttempts)
	failedOn := append(slices.Clone(job.FailedOn), job.Worker)
	found.Value.FailedOn = failedOn
	if !job.Repeatable || len(failedOn) >= attempts {
		p.finish(found, Failed, report.Reason)
	} else {
		p.requeue(found, "failed: "+report.Reason, "")
	}
	p.recordWorkerFailure(job)
}

// recordWorkerFailure notes the failure on the worker and quarantines the worker if different jobs and services fail there.
func (p *planner) recordWorkerFailure(job Record) {
	key := WorkerKey(p.pool, job.Worker)
	next := p.batch.worker(key)
	next.Instance = job.Worker
	next.Failures = addFailure(next.Failures, Failure{Job: job.ID, Service: job.Service})
	tree := p.c.View.Settings().Tree
	path := settings.Path(p.pool)
	if next.Quarantined.IsZero() && workerAtFault(next.Failures, tree.Int(path, settings.JobQuarantineFailures)) &&
		mayQuarantine(p.countQuarantined(), len(p.instanceVersions), tree.Float(path, settings.JobQuarantineShare)) {
		next.Quarantined = time.Now().Add(tree.Duration(path, settings.JobQuarantineTime)).UTC()
		p.addDecision(event.WorkerQuarantined, event.Fields{"worker": job.Worker, "failures": len(next.Failures), "until": next.Quarantined})
	}
	p.batch.putWorker(key, next)
}

// countQuarantined returns the number of the pool's workers in quarantine.
func (p *planner) countQuarantined() int {
	n := 0
	for found := range p.workers.All {
		if time.Now().Before(p.batch.worker(found.Key()).Quarantined) {
			n++
		}
	}
	return n
}

// finish writes the last state of a job and frees its worker.
func (p *planner) finish(found rowset.Versioned[Record], state State, reason string) {
	next := found.Value
	next.State = state
	next.Reason = reason
	next.Finished = time.Now().UTC()
	p.batch.putJob(found, next)
	p.addDecision(event.JobEnded, event.Fields{"job": next.ID, "worker": next.Worker, "state": state, "reason": reason})
	if next.Worker == "" {
		return
	}
	var success func(*Worker)
	if state == Done {
		success = clearFailures(p.batch.worker(WorkerKey(p.pool, next.Worker)))
	}
	p.batch.release(WorkerKey(p.pool, next.Worker), found.Key(), success)
	p.freeCapacity(next)
}

// requeue makes a job wait for a worker again.
func (p *planner) requeue(found rowset.Versioned[Record], reason, checkpoint string) {
	next := found.Value
	next.State = Queued
	next.Reason = reason
	next.Checkpoint = checkpoint
	next.Worker = ""
	p.batch.putJob(found, next)
	p.batch.release(WorkerKey(p.pool, found.Value.Worker), found.Key(), nil)
	p.freeCapacity(found.Value)
	p.addDecision(event.JobRequeued, event.Fields{"job": next.ID, "worker": found.Value.Worker, "reason": reason})
}

// freeCapacity lets later placements of the batch have what the job held.
func (p *planner) freeCapacity(job Record) {
	if p.index != nil {
		p.index.Allocate(job.Worker, subtract(platform.Size{}, job.Reserved))
	}
	p.unplaceable = nil
	team := p.serviceUsage[job.Service]
	team.Used = subtract(team.Used, job.Reserved)
}

// removeExpired deletes the rows of jobs that ended longer ago than their retention.
func (p *planner) removeExpired(ended []rowset.Versioned[Record]) {
	tree := p.c.View.Settings().Tree
	for _, found := range ended {
		retention := tree.Duration(settings.Path(found.Value.Service), settings.JobRetention)
		if p.batch.full() {
			return
		}
		if time.Since(found.Value.Finished) > retention {
			p.batch.removeJob(found)
		}
	}
}
