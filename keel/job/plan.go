package job

import (
	"cmp"
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// decision is a log event that is written once the transaction with the decision has been committed.
type decision struct {
	event  event.ID
	fields event.Fields
	// waited is the time from a placed job's submission, for the metric.
	waited time.Duration
}

// planner decides from the rows and the task states of a pool what the next transaction writes.
type planner struct {
	*poolScheduler
	batch *batch
	// urgentOnly limits the plan to the outcomes of preempted tasks and urgent placements, which don't wait for the
	// commit interval.
	urgentOnly bool
	decisions  []decision
	// unplaceable lists the sizes for which this plan found no worker.
	unplaceable  []platform.Size
	serviceUsage map[string]*ServiceUsage
}

// plan fills the batch with task outcomes, urgent placements, other placements and deletions of old rows, in this
// order.
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

// recordOutcomes records the outcomes of tasks, and leaves half of the batch for placements.
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

// recordPreempted records the outcomes of tasks on reserved workers, whose capacity a reservation waits for.
func (p *planner) recordPreempted() {
	for _, worker := range sortedKeys(p.reservations) {
		row, _ := p.workers.Get(WorkerKey(p.pool, worker))
		for _, key := range sortedKeys(row.Value.Tasks) {
			found, ok := p.jobs.Get(key)
			task := p.tasks[key]
			if ok && task != nil && (task.stopped || task.finalReport != nil) {
				p.recordOutcome(found, task)
			}
		}
	}
}

// queuedAndEnded returns the queued jobs, earliest submission first, and the ended jobs, earliest end first.
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

// recordOutcome updates the job's row if its task has started, was stopped, has ended or can't be running any more.
func (p *planner) recordOutcome(found rowset.Versioned[Record], task *taskState) {
	job := found.Value
	switch {
	case task.finalReport != nil:
		p.recordFinalReport(found, *task.finalReport)
	case task.stopped && job.CancelRequested:
		p.finish(found, Cancelled, "cancelled by its caller")
	case task.stopped:
		p.requeue(found, "stopped to make room or to leave its worker", task.checkpoint)
	case job.State == Placed && p.recordPlaced(found, task):
	case p.leaseExpired(job, task) && p.reportsReadSinceExpiry(job, task):
		p.recordLapsed(found)
	}
}

// recordPlaced updates a placed job that runs or that certainly wasn't started; it reports false if neither is known.
func (p *planner) recordPlaced(found rowset.Versioned[Record], task *taskState) bool {
	job := found.Value
	switch {
	case task.startRejected:
		p.requeue(found, "worker refused the start", job.Checkpoint)
	case p.startNotSent(job, task) && job.CancelRequested:
		p.finish(found, Cancelled, "cancelled by its caller")
	case p.startNotSent(job, task) && !p.serving(job.Worker):
		p.requeue(found, "worker began to leave", job.Checkpoint)
	case task.started:
		next := job
		next.State = Running
		p.batch.putJob(found, next)
		p.addDecision(event.JobStarted, event.Fields{"job": job.ID, "worker": job.Worker, "attempt": job.Attempt})
	default:
		return false
	}
	return true
}

// maxReportWait is how long after the end of its lease the report of a task is waited for if the inventory lacks its
// worker, whose data centre may be gone too.
const maxReportWait = time.Minute

// reportsReadSinceExpiry reports whether the task reports of the worker's data centre were read after the lease
// expired, so that a task that finished before isn't recorded as interrupted.
func (p *planner) reportsReadSinceExpiry(job Record, task *taskState) bool {
	expired := p.latestLeaseEnd(job, task)
	read := p.reportReads[instance.DataCentreOf(job.Worker)]
	if read != nil && !read.inFlight && read.startedAt.After(expired) {
		return true
	}
	_, known := p.c.View.Inventory().Get(job.Worker)
	return !known && time.Since(expired) > maxReportWait
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
		p.recordLapsed(found)
	}
}

// recordInterrupted requeues a job whose task ended without success or failure, or ends it as lost if it can't run
// again.
func (p *planner) recordInterrupted(found rowset.Versioned[Record], reason string) {
	job := found.Value
	checkpoint := job.Checkpoint
	task := p.tasks[found.Key()]
	if task != nil && task.checkpoint != "" {
		checkpoint = task.checkpoint
	}
	if job.Repeatable || job.Checkpointable && checkpoint != "" {
		p.requeue(found, reason, checkpoint)
		return
	}
	p.finish(found, Lost, reason+" and the job must not be repeated")
}

func (p *planner) recordFailure(found rowset.Versioned[Record], report platform.TaskReport) {
	job := found.Value
	attempts := p.c.View.Settings().Tree.IntOrMax(settings.Path(job.Service), settings.JobAttempts)
	failedOn := append(slices.Clone(job.FailedOn), job.Worker)
	found.Value.FailedOn = failedOn
	if !job.Repeatable || len(failedOn) >= attempts {
		p.finish(found, Failed, report.Reason)
	} else {
		p.requeue(found, "failed: "+report.Reason, "")
	}
	p.recordWorkerFailure(job)
}

// recordWorkerFailure adds the failure to the worker's row and quarantines the worker if its failures suggest a fault
// of the worker and the limit on quarantined workers allows it.
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

// countQuarantined returns the number of the pool's workers in quarantine after this batch.
func (p *planner) countQuarantined() int {
	n := 0
	for found := range p.workers.All {
		if time.Now().Before(p.batch.worker(found.Key()).Quarantined) {
			n++
		}
	}
	return n
}

// finish writes the final state of the job and releases its capacity.
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
	var onSuccess func(*Worker)
	if state == Done {
		onSuccess = clearFailures(p.batch.worker(WorkerKey(p.pool, next.Worker)))
	}
	p.batch.release(WorkerKey(p.pool, next.Worker), found.Key(), onSuccess)
	p.freeCapacity(next)
}

// requeue takes the job off its worker and queues it again.
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

// freeCapacity makes the capacity that the job held available to later placements in this plan.
func (p *planner) freeCapacity(job Record) {
	if p.index != nil {
		p.index.Allocate(job.Worker, subtract(platform.Size{}, job.Reserved))
	}
	p.unplaceable = nil
	usage := p.serviceUsage[job.Service]
	usage.Used = subtract(usage.Used, job.Reserved)
}

// removeExpired deletes the rows of jobs that ended longer ago than the retention period.
func (p *planner) removeExpired(ended []rowset.Versioned[Record]) {
	tree := p.c.View.Settings().Tree
	for _, found := range ended {
		retention := tree.DurationOrMax(settings.Path(found.Value.Service), settings.JobRetention)
		if p.batch.full() {
			return
		}
		if time.Since(found.Value.Finished) > retention {
			p.batch.removeJob(found)
		}
	}
}
