package event

import "github.com/sirupsen/logrus"

// The events of the leader and of tasks on workers.
const (
	LeaderChanged ID = 1000 + iota
	LeaseRowUnreadable
	LeaderLost
	LeaderReady
	RecoveryStep
	JobTaken
	JobFinished
	JobRefused
	TaskStarted
	TaskRefused
	TaskEnded
	TaskInDoubt
	TaskStopped
	TaskLost
	WorkerSeen
	WorkerGone
	WorkerSilent
	WorkerHeard
	WorkerDraining
	WorkerAvoided
	RowUnreadable
	LedgerFailed
	InstanceMoved
	InstanceMaintained
	InstanceOrderRefused
	WaveSeen
	WaveCompleted
	ConfigApplied
	StoreLost
	StoreBack
	ReloadDone
	LogLinesDropped
	PoolDemand
	TaskCopied
	InstanceListed
	JobStored
	CancelStored
	JobUnknown
	CallUnanswered
	ReadinessChanged
	LeaseValidityChanged
	TasksWaiting
	OrdersInFlight
	LedgerProgress
	TaskFailed
	AttemptsExhausted
	WorkerCrashed
	TaskSuspected
	TaskCleared
	CrashesExhausted
	WorkerReserved
	TrialLost
	EndsTruncated
	RecordShortened
	EndedRowsRemoved
	TicketsIssued
	MaintenanceBlocked
	MaintenanceUnblocked
)

var scheduleEvents = []Definition{
	{LeaderChanged, "leader_changed", logrus.InfoLevel, "the rows of the lease name another holder or epoch", []string{"holder", "epoch", "before"}},
	{LeaseRowUnreadable, "lease_row_unreadable", logrus.ErrorLevel, "a row of the lease can't be decoded or encoded", []string{"reason", "version"}},
	{LeaderLost, "leader_lost", logrus.WarnLevel, "this entry stands down as leader and places no more tasks", []string{"epoch", "reason"}},
	{LeaderReady, "leader_ready", logrus.InfoLevel, "this entry has loaded the ledger as leader and starts to place tasks, with the version of its configuration (0 if it has none yet) and the number of open jobs whose queue it doesn't know", []string{"epoch", "jobs", "workers", "unheard", "config", "unrouted", "took_ms"}},
	{RecoveryStep, "recovery_step", logrus.InfoLevel, "a step of a leader's takeover has failed and is retried", []string{"epoch", "step", "outcome"}},
	{JobTaken, "job_taken", logrus.InfoLevel, "the leader accepts a job for scheduling", []string{"job", "queue", "tasks", "source", "version", "shape"}},
	{JobFinished, "job_finished", logrus.InfoLevel, "a job's outcome is stored", []string{"job", "state", "reason", "age_ms", "late_ms"}},
	{JobRefused, "job_refused", logrus.InfoLevel, "a submission is refused or its outcome is unknown", []string{"job", "tenant", "kind", "outcome", "reason"}},
	{TaskStarted, "task_started", logrus.InfoLevel, "a worker accepted an order to start a run", []string{"task", "run", "worker", "free", "waited_ms", "took_ms"}},
	{TaskRefused, "task_refused", logrus.InfoLevel, "an order to start a run was not sent, did not reach the worker or was rejected by it, or a request to the queue's placement policy failed", []string{"task", "run", "worker", "reason"}},
	{TaskEnded, "task_ended", logrus.InfoLevel, "a worker reported the end of a run", []string{"task", "run", "worker", "kind", "number"}},
	{TaskInDoubt, "task_in_doubt", logrus.WarnLevel, "the outcome of an order to start a run is unknown; the run is ordered to stop and keeps its capacity until the worker lists its end or, once it has accepted that order, lists its runs without it", []string{"task", "run", "worker", "reason"}},
	{TaskStopped, "task_stopped", logrus.InfoLevel, "a run is ordered to stop", []string{"task", "run", "worker", "reason"}},
	{TaskLost, "task_lost", logrus.WarnLevel, "a worker reports neither a run nor its end", []string{"task", "run", "worker", "reason"}},
	{WorkerSeen, "worker_seen", logrus.InfoLevel, "a worker registers", []string{"worker", "address", "pool", "data_centre", "rack", "instance"}},
	{WorkerGone, "worker_gone", logrus.InfoLevel, "a worker is known to have ended", []string{"worker", "reason", "runs"}},
	{WorkerSilent, "worker_silent", logrus.WarnLevel, "a worker does not respond and gets no new tasks", []string{"worker", "reason", "runs"}},
	{WorkerHeard, "worker_heard", logrus.InfoLevel, "an unresponsive worker responds again", []string{"worker", "silent_ms"}},
	{WorkerDraining, "worker_draining", logrus.InfoLevel, "a worker reports that it is leaving and gets no new tasks", []string{"worker", "remaining_ms"}},
	{WorkerAvoided, "worker_avoided", logrus.WarnLevel, "a worker gets no new tasks for a while because its runs fail or stall, it rejected a task as unhealthy or short of capacity, its maintenance is due or its instance is reclaimed", []string{"worker", "reason", "until_ms"}},
	{RowUnreadable, "row_unreadable", logrus.WarnLevel, "a row of the store can't be decoded and is skipped", []string{"table", "key", "version", "reason"}},
	{LedgerFailed, "ledger_failed", logrus.WarnLevel, "a write to the ledger failed or its outcome is unknown, and it is retried", []string{"part", "rows", "kind", "outcome", "reason"}},
	{InstanceMoved, "instance_moved", logrus.InfoLevel, "an instance is ordered to join another pool", []string{"instance", "from", "to", "reason", "outcome"}},
	{InstanceMaintained, "instance_maintained", logrus.InfoLevel, "an instance is ordered to start its maintenance", []string{"instance", "wave", "outcome"}},
	{InstanceOrderRefused, "instance_order_refused", logrus.WarnLevel, "an order to an instance was rejected or got no response", []string{"instance", "order", "reason"}},
	{WaveSeen, "wave_seen", logrus.InfoLevel, "the leader finds a request for a new maintenance wave", []string{"wave", "instances", "seconds", "at_once"}},
	{WaveCompleted, "wave_completed", logrus.InfoLevel, "every instance of a wave has started its maintenance in this or another wave, is unsuitable for it or is no longer listed", []string{"wave", "took_ms"}},
	{ConfigApplied, "config_applied", logrus.InfoLevel, "a version of the configuration is applied on this entry", []string{"version", "queues", "before"}},
	{StoreLost, "store_lost", logrus.WarnLevel, "the store does not respond to this entry", []string{"table", "reason"}},
	{StoreBack, "store_back", logrus.InfoLevel, "the store responds to this entry again", []string{"table", "after_ms"}},
	{ReloadDone, "reload_done", logrus.InfoLevel, "the settings file was read again", []string{"outcome", "changed"}},
	{LogLinesDropped, "log_lines_dropped", logrus.WarnLevel, "lines were dropped from the log because their rate was too high or its reader too slow", []string{"lines"}},
	{PoolDemand, "pool_demand", logrus.InfoLevel, "the demand and capacity of a pool, in milli-cores, are logged periodically", []string{"pool", "need", "in_time", "have", "coming", "used", "rate", "waiting", "jobs", "idle", "hosts"}},
	{InstanceListed, "instance_listed", logrus.InfoLevel, "the pool, state or worker of an instance has changed in the instance list", []string{"instance", "pool", "state", "worker"}},
	{TaskCopied, "task_copied", logrus.InfoLevel, "a speculative run of a task is started beside the first, whose worker is unresponsive or which takes long", []string{"task", "run", "worker", "first", "silent", "ordered_ms", "estimate_ms"}},
	{JobStored, "job_stored", logrus.InfoLevel, "a submission is stored and acknowledged to its caller", []string{"job", "queue", "tenant", "data_centre", "version", "via", "took_ms"}},
	{CancelStored, "cancel_stored", logrus.InfoLevel, "a cancellation is stored and acknowledged to its caller", []string{"job", "via", "took_ms"}},
	{JobUnknown, "job_unknown", logrus.InfoLevel, "a caller asks for a job that does not exist", []string{"job", "call", "via"}},
	{CallUnanswered, "call_unanswered", logrus.WarnLevel, "a query for a job or a queue fails or exceeds the caller's timeout", []string{"job", "call", "kind", "reason", "leader"}},
	{LeaseValidityChanged, "lease_validity_changed", logrus.WarnLevel, "the leader's lease has expired, so that it sends no orders, or is valid again", []string{"epoch", "valid"}},
	{TasksWaiting, "tasks_waiting", logrus.InfoLevel, "tasks of a pool should run and have had no run for 2 s, by cause, with the task that has waited longest, the worker that holds it and the time until the wait ends by itself (0 if it doesn't); the cause none means that a worker has room for the task; with the number of the pool's usable workers, and of its other ones by reason", []string{"pool", "cause", "tasks", "long_running", "task", "waited_ms", "worker", "ends_in_ms", "usable", "unusable"}},
	{OrdersInFlight, "orders_in_flight", logrus.InfoLevel, "the orders to start and to stop runs in flight, their limits and average latencies are logged periodically; a start over the limit waits for the next placement pass, a stop is held; with the placement passes since the last line: their duration, that of the longest one, and the longest time by which the busy control loop delayed one", []string{"starts", "start_limit", "stops", "stop_limit", "stops_held", "start_ms", "stop_ms", "passes", "passes_ms", "longest_pass_ms", "loop_delay_ms"}},
	{LedgerProgress, "ledger_progress", logrus.InfoLevel, "the jobs whose changes the ledger has stored since the last line, with the longest time that one waited for it, and the jobs whose changes wait, with the longest wait so far", []string{"stored", "longest_ms", "waiting", "oldest_ms", "commit_ms"}},
	{TaskFailed, "task_failed", logrus.InfoLevel, "a worker reported a failed run, with the task's failed runs so far, the limit of its queue (0 if it isn't known), the version of the configuration (0 if there is none) and whether an earlier leader started the run", []string{"task", "run", "worker", "failures", "limit", "queue", "config", "earlier_epoch"}},
	{AttemptsExhausted, "attempts_exhausted", logrus.InfoLevel, "a job fails because a task has failed as often as its queue allows, with the inputs of the decision as in task_failed and the number of failed runs that earlier leaders started", []string{"job", "task", "failures", "limit", "queue", "config", "earlier_epochs"}},
	{WorkerCrashed, "worker_crashed", logrus.WarnLevel, "a worker is known to have crashed, or (unconfirmed) was silent until its lease expired while nothing tells whether it crashed; with the number of its runs, of those that may have caused it, and the time since it was last known to be alive", []string{"worker", "instance", "pool", "reason", "runs", "suspects", "alive_ms", "unconfirmed"}},
	{TaskSuspected, "task_suspected", logrus.WarnLevel, "a worker has crashed under a run that may have caused it, so that the task runs apart from others; with the time for which the run is known to have lasted, whether nothing else there may have caused it, whether other workers crashed at the time, whether the run is known to have begun and is one of the likeliest causes, and the task's crashes so far (sole: as the only possible cause; unconfirmed: the worker may only have been silent)", []string{"task", "run", "worker", "survived_ms", "sole", "common", "crashes", "crashes_sole", "unconfirmed", "begun", "likely"}},
	{TaskCleared, "task_cleared", logrus.InfoLevel, "a run of a task has lasted longer than those that ended in crashes, which are forgotten", []string{"task", "run", "worker", "survived_ms", "crashes"}},
	{CrashesExhausted, "crashes_exhausted", logrus.WarnLevel, "a job fails because a task has crashed its workers, with the crashes as in task_suspected; or (held) only that task isn't started again, since an order to stop the others would exceed their disruption budget", []string{"job", "task", "crashes", "crashes_sole", "unconfirmed", "queue", "held"}},
	{TrialLost, "trial_lost", logrus.WarnLevel, "a run of a suspected task that an earlier leader may have started is listed by no worker and counts as a crash that keeps the task apart", []string{"task", "run", "crashes"}},
	{EndsTruncated, "ends_truncated", logrus.WarnLevel, "a worker has more ends than it lists at a time: a run that it lists neither as active nor as ended keeps its task from being started again, until the worker has listed all ends; with the number of ends that aren't stored and of the runs that may be over", []string{"worker", "listed", "not_stored", "runs"}},
	{RecordShortened, "record_shortened", logrus.WarnLevel, "the row of a job would be larger than the store accepts, so that it leaves out failed and crashed runs, which a next leader won't count; with the number of runs, and of transactions with this row alone that the store has rejected", []string{"job", "bytes", "limit", "omitted", "rejections"}},
	{EndedRowsRemoved, "ended_rows_removed", logrus.InfoLevel, "the leader removes the rows of jobs in a partition of the submissions that ended longer ago than callers may ask for them; with the number of rows that it has read there", []string{"part", "removed", "rows"}},
	{TicketsIssued, "tickets_issued", logrus.InfoLevel, "the queue's placement policy has answered which of the workers asked for may run a step; with the tasks that wait, the requests in flight and how many times longer than declared the policy takes of late", []string{"step", "workers", "allowed", "took_ms", "slowdown", "in_flight", "waiting"}},
	{MaintenanceBlocked, "maintenance_blocked", logrus.WarnLevel, "an instance of a wave can't become idle in time, as a long-running task on it may not be stopped (reason disruption_budget) or another one is expected to end after the wave's deadline (ends_late); meanwhile it gets tasks as usual. With the budget, the step's other tasks that are unavailable, the one that has been so for longest, and for how long", []string{"wave", "instance", "worker", "reason", "task", "budget", "unavailable", "longest", "unavailable_ms"}},
	{MaintenanceUnblocked, "maintenance_unblocked", logrus.InfoLevel, "an instance of a wave whose maintenance was blocked can become idle again, or is gone", []string{"wave", "instance", "blocked_ms"}},
	{WorkerReserved, "worker_reserved", logrus.InfoLevel, "a worker gets no other tasks until it is empty, so that a suspected task can run there", []string{"worker", "task", "runs"}},
	{ReadinessChanged, "readiness_changed", logrus.InfoLevel, "the entry starts or stops accepting callers", []string{"ready", "store_age_ms", "config"}},
}
