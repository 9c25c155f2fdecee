package job

import (
	"context"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/settings"
)

// maxTaskCalls limits the concurrent start, stop and checkpoint calls of one pool.
const maxTaskCalls = 16

// maxRenewBatch limits the tasks in one call that renews leases.
const maxRenewBatch = 200

// avoidDuration is how long a worker that rejected a start gets no jobs.
const avoidDuration = 10 * time.Second

// reconcileTasks makes the platform calls that bring the tasks to the state in the rows: start, stop, checkpoint and
// lease renewal.
func (s *poolScheduler) reconcileTasks() {
	calls := 0
	for _, task := range s.tasks {
		if task.callInFlight {
			calls++
		}
	}
	var due []platform.TaskRef
	for _, key := range sortedKeys(s.tasks) {
		found, ok := s.jobs.Get(key)
		task := s.tasks[key]
		if !ok || task.callInFlight || task.finalReport != nil || task.stopped || task.startRejected {
			continue
		}
		if s.renewalDue(found.Value, task) {
			due = append(due, platform.TaskRef{Worker: workerID(found.Value.Worker), Task: found.Value.Task()})
		}
		if calls < maxTaskCalls && s.reconcileTask(found, task) {
			calls++
		}
	}
	for len(due) > 0 {
		n := min(len(due), maxRenewBatch)
		s.renewLeases(due[:n])
		due = due[n:]
	}
}

// workerID returns the platform's ID of the instance whose row has the key.
func workerID(key string) string {
	return key[lastSlash(key)+1:]
}

// reconcileTask makes the next call about the task and reports whether one was due.
func (s *poolScheduler) reconcileTask(found rowset.Versioned[Record], task *taskState) bool {
	job := found.Value
	switch {
	case job.State == Placed && !task.started:
		if s.startNotSent(job, task) && (job.CancelRequested || !s.serving(job.Worker)) {
			// The next transaction takes the job off the worker.
			return false
		}
		if job.CancelRequested && !task.startSent {
			// An earlier epoch may have sent a start; the fence of the stop makes the platform reject it.
			s.stopTask(found, task)
			return true
		}
		s.startTask(found, task)
		return true
	case job.State == Running && (job.CancelRequested || s.shouldPreempt(found.Key())):
		s.stopTask(found, task)
		return true
	case job.State == Running && s.leaving(job.Worker):
		return s.drainTask(found, task)
	}
	return false
}

// startNotSent reports whether it is certain that no start of the job's current attempt was sent.
func (s *poolScheduler) startNotSent(job Record, task *taskState) bool {
	return job.Epoch == s.epoch && !task.startSent
}

// serving reports whether tasks of the pool may stay on the instance.
func (s *poolScheduler) serving(key string) bool {
	found, ok := s.c.View.Inventory().Get(key)
	if !ok || found.Value.Pool != s.pool {
		return false
	}
	// A failed instance can't drain its tasks; they are requeued once their leases have expired.
	return found.Value.Serving() || found.Value.State == instance.Failed
}

// leaving reports whether tasks of the pool are to leave the instance. One that isn't known, because the replica lags or
// because it was taken away, keeps them for as long as their leases can be renewed.
func (s *poolScheduler) leaving(key string) bool {
	_, known := s.c.View.Inventory().Get(key)
	return known && !s.serving(key)
}

// shouldPreempt reports whether the job is to be stopped for the job that its worker is reserved for.
func (s *poolScheduler) shouldPreempt(key string) bool {
	job, _ := s.jobs.Get(key)
	_, ok := s.reservations[job.Value.Worker]
	return ok && s.isVictim(key)
}

// drainTask checkpoints and then stops a task on an instance that leaves the pool, as far as the job and the service's
// settings allow it, and reports whether it made a call.
func (s *poolScheduler) drainTask(found rowset.Versioned[Record], task *taskState) bool {
	job := found.Value
	policy := s.c.View.Settings().Tree.String(settings.Path(job.Service), settings.JobOnLeave)
	switch {
	case policy == settings.OnLeaveWait:
		return false
	case job.Checkpointable && task.checkpoint == "":
		if task.checkpointRequested {
			return false
		}
		s.checkpointTask(found, task)
		return true
	case job.Checkpointable || job.Repeatable:
		s.stopTask(found, task)
		return true
	}
	return false
}

func (s *poolScheduler) fence(token string) platform.Fence {
	return platform.Fence{Duty: DutyName(s.pool), Epoch: s.epoch, Token: token}
}

func (s *poolScheduler) leaseDuration(job Record) time.Duration {
	return s.c.View.Settings().Tree.Duration(settings.Path(job.Service), settings.JobLease)
}

// startTask starts the task; the token identifies the attempt, so that a retried start has no further effect.
func (s *poolScheduler) startTask(found rowset.Versioned[Record], task *taskState) {
	job := found.Value
	request := platform.StartRequest{
		Fence: s.fence(job.Task()), Worker: workerID(job.Worker), Task: job.Task(), Size: job.Reserved,
		Lease: s.leaseDuration(job), Work: job.Work, Checkpoint: job.Checkpoint,
	}
	task.callInFlight, task.startSent = true, true
	s.callTask(task, func(ctx context.Context) error { return s.c.Client.Start(ctx, request) }, func(err error) {
		s.handleStartResult(job, task, request.Lease, err)
	})
}

func (s *poolScheduler) handleStartResult(job Record, task *taskState, lease time.Duration, err error) {
	switch {
	case err == nil:
		task.started, task.startUncertain = true, false
		task.extendLease(lease)
		if job.Epoch == s.epoch {
			task.lastRenewal = task.lastPossibleRenewal
		}
	case fault.As(err).Outcome() != fault.NotRun:
		task.startUncertain = true
		task.extendLease(lease)
	case fault.IsKind(err, fault.NotExist):
		s.avoidUntil[job.Worker] = time.Now().Add(avoidDuration)
		// An earlier start with no response, or one of an earlier epoch, may have run before the worker disappeared.
		task.startRejected = !task.startUncertain && job.Epoch == s.epoch
	default:
		task.startSent = task.startUncertain
	}
}

func (s *poolScheduler) stopTask(found rowset.Versioned[Record], task *taskState) {
	job := found.Value
	request := platform.TaskRequest{Fence: s.fence(platform.NewToken()), Worker: workerID(job.Worker), Task: job.Task()}
	task.callInFlight = true
	s.callTask(task, func(ctx context.Context) error { return s.c.Client.Stop(ctx, request) }, func(err error) {
		// The fence of this call makes the platform reject starts of earlier epochs: a task that doesn't exist now and
		// that this epoch hasn't started won't run.
		neverRuns := job.State == Placed && !task.startSent && fault.IsKind(err, fault.NotExist)
		task.stopped = err == nil || neverRuns
	})
}

func (s *poolScheduler) checkpointTask(found rowset.Versioned[Record], task *taskState) {
	job := found.Value
	request := platform.TaskRequest{Fence: s.fence(platform.NewToken()), Worker: workerID(job.Worker), Task: job.Task()}
	task.callInFlight = true
	s.callTask(task, func(ctx context.Context) error { return s.c.Client.Checkpoint(ctx, request) }, func(err error) {
		task.checkpointRequested = err == nil
	})
}

// callTask makes a call about the task and, if it succeeds, schedules a reconciliation.
func (s *poolScheduler) callTask(task *taskState, work func(context.Context) error, done func(error)) {
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, work(ctx) },
		func(_ struct{}, err error) {
			task.callInFlight = false
			done(err)
			if err == nil {
				s.scheduleReconcile()
			}
		})
}

// renewalDue reports whether a third of the lease has passed since this entry last renewed it, or it never has; tasks
// on workers that are known to be down aren't renewed.
func (s *poolScheduler) renewalDue(job Record, task *taskState) bool {
	if job.State != Running || time.Since(task.lastRenewal) < s.leaseDuration(job)/3 {
		return false
	}
	worker, listed := s.c.View.InstanceList().Get(job.Worker)
	return !listed || worker.Liveness != platform.Down
}

// renewLeases renews the leases of the tasks in one call.
func (s *poolScheduler) renewLeases(tasks []platform.TaskRef) {
	request := platform.RenewRequest{
		Fence: s.fence(platform.NewToken()), Tasks: tasks,
		Lease: s.c.View.Settings().Tree.Duration(settings.Path(s.pool), settings.JobLease),
	}
	for _, ref := range tasks {
		s.tasks[jobKeyOfTask(ref.Task)].callInFlight = true
	}
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.RenewResult, error) { return s.c.Client.RenewTasks(ctx, request) },
		func(result platform.RenewResult, err error) {
			for _, ref := range tasks {
				s.handleRenewResult(ref.Task, request.Lease, result, err)
			}
		})
}

func (s *poolScheduler) handleRenewResult(name string, lease time.Duration, result platform.RenewResult, err error) {
	task := s.tasks[jobKeyOfTask(name)]
	if task == nil {
		return
	}
	task.callInFlight = false
	renewed := err == nil && result.Renewed[name]
	if renewed {
		// The lease may have become shorter.
		task.leaseEnd = time.Time{}
	}
	if renewed || err != nil && fault.As(err).Outcome() != fault.NotRun {
		task.extendLease(lease)
		task.lastRenewal = task.lastPossibleRenewal
	}
}

// extendLease records a call that may have given the task a lease that begins now.
func (t *taskState) extendLease(lease time.Duration) {
	t.lastPossibleRenewal = time.Now()
	end := t.lastPossibleRenewal.Add(lease)
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// latestLeaseEnd returns the latest end of the task's lease. One that an earlier holder granted is taken to be as long as
// the settings say now.
func (s *poolScheduler) latestLeaseEnd(job Record, task *taskState) time.Time {
	end := task.lastPossibleRenewal.Add(s.leaseDuration(job))
	if task.leaseEnd.After(end) {
		return task.leaseEnd
	}
	return end
}

// leaseExpired reports whether the task's lease has certainly expired, even if the last renewal took effect callTimeout
// after its call.
func (s *poolScheduler) leaseExpired(job Record, task *taskState) bool {
	return time.Since(s.latestLeaseEnd(job, task)) > callTimeout
}
