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

// maxTaskCalls bounds the calls about single tasks that one pool has under way.
const maxTaskCalls = 16

// maxRenewBatch bounds the tasks in one call that renews leases.
const maxRenewBatch = 200

// avoidDuration is the time for which a worker that refused a start gets no jobs.
const avoidDuration = 10 * time.Second

// reconcileTasks starts, stops, checkpoints and renews tasks as the rows call for.
func (s *poolScheduler) reconcileTasks() {
	calls := 0
	for _, r := range s.tasks {
		if r.callInFlight {
			calls++
		}
	}
	var due []platform.TaskRef
	for _, key := range sortedKeys(s.tasks) {
		found, ok := s.jobs.Get(key)
		r := s.tasks[key]
		if !ok || r.callInFlight || r.finalReport != nil || r.stopped || r.startRefused {
			continue
		}
		if s.renewalDue(found.Value, r) {
			due = append(due, platform.TaskRef{Worker: workerID(found.Value.Worker), Task: found.Value.Task()})
		}
		if calls < maxTaskCalls && s.reconcileTask(found, r) {
			calls++
		}
	}
	for len(due) > 0 {
		n := min(len(due), maxRenewBatch)
		s.renewLeases(due[:n])
		due = due[n:]
	}
}

// workerID returns the platform's name of the instance with the key.
func workerID(key string) string {
	return key[lastSlash(key)+1:]
}

// reconcileTask asks for the next effect on one task and reports whether there was one.
func (s *poolScheduler) reconcileTask(found rowset.Versioned[Record], r *taskState) bool {
	job := found.Value
	switch {
	case job.State == Placed && !r.started:
		if s.startNotSent(job, r) && (job.CancelRequested || !s.serving(job.Worker)) {
			// The next transaction takes it off the worker.
			return false
		}
		if job.CancelRequested && !r.startSent {
			// It was placed under an earlier epoch; the stop's fence keeps out the starts of that epoch.
			s.stopTask(found, r)
			return true
		}
		s.startTask(found, r)
		return true
	case job.State == Running && (job.CancelRequested || s.shouldPreempt(found.Key())):
		s.stopTask(found, r)
		return true
	case job.State == Running && !s.serving(job.Worker):
		return s.drainTask(found, r)
	}
	return false
}

// startNotSent reports that no start of the job's present attempt can have been sent.
func (s *poolScheduler) startNotSent(job Record, r *taskState) bool {
	return job.Epoch == s.epoch && !r.startSent
}

// serving reports whether the instance with the key may hold work of the pool.
func (s *poolScheduler) serving(key string) bool {
	found, ok := s.c.View.Inventory().Get(key)
	if !ok || found.Value.Pool != s.pool {
		return false
	}
	// A failed instance is left to the lease: a task there can't be asked to move.
	return found.Value.Serving() || found.Value.State == instance.Failed
}

func (s *poolScheduler) shouldPreempt(key string) bool {
	job, _ := s.jobs.Get(key)
	_, ok := s.reservations[job.Value.Worker]
	return ok && s.isVictim(key)
}

// drainTask checkpoints and stops a job on an instance that is leaving, where job and settings allow it.
func (s *poolScheduler) drainTask(found rowset.Versioned[Record], r *taskState) bool {
	job := found.Value
	policy := s.c.View.Settings().Tree.String(settings.Path(job.Service), settings.JobOnLeave)
	switch {
	case policy == settings.OnLeaveWait:
		return false
	case job.Checkpointable && r.checkpoint == "":
		if r.checkpointRequested {
			return false
		}
		s.checkpointTask(found, r)
		return true
	case job.Checkpointable || job.Repeatable:
		s.stopTask(found, r)
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

// startTask starts the task; the token is the attempt's, so that a start sent again is no second start.
func (s *poolScheduler) startTask(found rowset.Versioned[Record], r *taskState) {
	job := found.Value
	request := platform.StartRequest{
		Fence: s.fence(job.Task()), Worker: workerID(job.Worker), Task: job.Task(), Size: job.Reserved,
		Lease: s.leaseDuration(job), Work: job.Work, Checkpoint: job.Checkpoint,
	}
	r.callInFlight, r.startSent = true, true
	s.callTask(r, func(ctx context.Context) error { return s.c.Client.Start(ctx, request) }, func(err error) {
		s.handleStartResult(job, r, err)
	})
}

// handleStartResult takes in the answer to a start.
func (s *poolScheduler) handleStartResult(job Record, r *taskState, err error) {
	switch {
	case err == nil:
		r.started, r.startUncertain = true, false
		r.lastPossibleRenewal = time.Now()
		if job.Epoch == s.epoch {
			r.lastRenewal = r.lastPossibleRenewal
		}
	case fault.As(err).Outcome() != fault.NotRun:
		r.startUncertain = true
		r.lastPossibleRenewal = time.Now()
	case fault.IsKind(err, fault.NotExist):
		s.avoidUntil[job.Worker] = time.Now().Add(avoidDuration)
		// A start of an earlier epoch, or one without an answer, may have taken effect before the worker went.
		r.startRefused = !r.startUncertain && job.Epoch == s.epoch
	default:
		r.startSent = r.startUncertain
	}
}

func (s *poolScheduler) stopTask(found rowset.Versioned[Record], r *taskState) {
	job := found.Value
	request := platform.TaskRequest{Fence: s.fence(platform.NewToken()), Worker: workerID(job.Worker), Task: job.Task()}
	r.callInFlight = true
	s.callTask(r, func(ctx context.Context) error { return s.c.Client.Stop(ctx, request) }, func(err error) {
		// A task that isn't there and was placed under an earlier epoch can't be started any more.
		never := job.State == Placed && !r.startSent && fault.IsKind(err, fault.NotExist)
		r.stopped = err == nil || never
	})
}

func (s *poolScheduler) checkpointTask(found rowset.Versioned[Record], r *taskState) {
	job := found.Value
	request := platform.TaskRequest{Fence: s.fence(platform.NewToken()), Worker: workerID(job.Worker), Task: job.Task()}
	r.callInFlight = true
	s.callTask(r, func(ctx context.Context) error { return s.c.Client.Checkpoint(ctx, request) }, func(err error) {
		r.checkpointRequested = err == nil
	})
}

// callTask makes one call about a task and then looks again.
func (s *poolScheduler) callTask(r *taskState, work func(context.Context) error, done func(error)) {
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, work(ctx) },
		func(_ struct{}, err error) {
			r.callInFlight = false
			done(err)
			if err == nil {
				s.scheduleReconcile()
			}
		})
}

// renewalDue reports whether a third of the lease that this holder gave the task is over, or it gave none yet, and its worker is not known to be down.
func (s *poolScheduler) renewalDue(job Record, r *taskState) bool {
	if job.State != Running || time.Since(r.lastRenewal) < s.leaseDuration(job)/3 {
		return false
	}
	line, listed := s.c.View.List().Get(job.Worker)
	return !listed || line.Liveness != platform.Down
}

// renewLeases renews the leases of the tasks in one call.
func (s *poolScheduler) renewLeases(tasks []platform.TaskRef) {
	request := platform.RenewRequest{
		Fence: s.fence(platform.NewToken()), Tasks: tasks,
		Lease: s.c.View.Settings().Tree.Duration(settings.Path(s.pool), settings.JobLease),
	}
	for _, task := range tasks {
		s.tasks[jobKeyOfTask(task.Task)].callInFlight = true
	}
	control.Call(s.c.Loop, callTimeout,
		func(ctx context.Context) (platform.RenewResult, error) { return s.c.Client.RenewTasks(ctx, request) },
		func(result platform.RenewResult, err error) {
			for _, task := range tasks {
				s.handleRenewResult(task.Task, result, err)
			}
		})
}

func (s *poolScheduler) handleRenewResult(task string, result platform.RenewResult, err error) {
	r := s.tasks[jobKeyOfTask(task)]
	if r == nil {
		return
	}
	r.callInFlight = false
	unsure := err != nil && fault.As(err).Outcome() != fault.NotRun
	if unsure || err == nil && result.Renewed[task] {
		r.lastPossibleRenewal = time.Now()
		r.lastRenewal = r.lastPossibleRenewal
	}
}

// leaseExpired reports that the task's lease has surely run out.
func (s *poolScheduler) leaseExpired(job Record, r *taskState) bool {
	return time.Since(r.lastPossibleRenewal) > s.leaseDuration(job)+callTimeout
}
