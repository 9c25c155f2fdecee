package settings

import "time"

// The settings of jobs.
const (
	JobLease              Key = "job.lease"
	JobCommitInterval     Key = "job.commit_interval"
	JobRetention          Key = "job.retention"
	JobAttempts           Key = "job.attempts"
	JobOnLeave            Key = "job.on_leave"
	JobQuotaCores         Key = "job.quota_milli_cores"
	JobQuotaMemory        Key = "job.quota_memory_mb"
	JobQuotaAccelerators  Key = "job.quota_accelerators"
	JobStarvationTimeout  Key = "job.starvation_timeout"
	JobUrgentShare        Key = "job.urgent_share"
	JobMinFactor          Key = "job.least_factor"
	JobMaxFactor          Key = "job.most_factor"
	JobQuarantineFailures Key = "job.quarantine_failures"
	JobQuarantineShare    Key = "job.quarantine_share"
	JobQuarantineTime     Key = "job.quarantine_time"
)

// The choices of JobOnLeave.
const (
	OnLeaveMove = "move"
	OnLeaveWait = "wait"
)

const (
	maxAttempts = 100
	maxFailures = 16
	day         = 24 * time.Hour
	maxQuota    = 1e12
)

var jobKeys = []Definition{
	{
		Key: JobLease, Type: TypeDuration, Default: `"30s"`, LowestLevel: LevelPool,
		Min: float64(time.Second), Max: float64(time.Hour),
		Text: "Lease under which a worker runs a task; the task is stopped when the lease lapses.",
	},
	{
		Key: JobCommitInterval, Type: TypeDuration, Default: `"200ms"`, LowestLevel: LevelPool,
		Min: float64(10 * time.Millisecond), Max: float64(10 * time.Second),
		Text: "Least time between two transactions about a pool's jobs; urgent placements don't wait for it.",
	},
	{
		Key: JobRetention, Type: TypeDuration, Default: `"1h"`, LowestLevel: LevelService,
		Min: float64(time.Second), Max: float64(30 * day),
		Text: "Time for which a job that has ended can still be looked up.",
	},
	{
		Key: JobAttempts, Type: TypeInt, Default: `3`, LowestLevel: LevelService, Min: 1, Max: maxAttempts,
		Text: "Workers on which a repeatable job may fail before it is given up.",
	},
	{
		Key: JobOnLeave, Type: TypeString, Default: `"move"`, LowestLevel: LevelService, Choices: []string{OnLeaveMove, OnLeaveWait},
		Max:  maxFailures,
		Text: "What happens to a job whose worker is leaving: move it if it can be checkpointed or repeated, or wait for its end.",
	},
	{
		Key: JobQuotaCores, Type: TypeInt, Unit: "thousandths of a core", Default: `0`, LowestLevel: LevelService, Max: maxQuota,
		Text: "Processors that a service's jobs may hold before other services borrow them; 0 stands for an even part of the pool.",
	},
	{
		Key: JobQuotaMemory, Type: TypeInt, Unit: "MB", Default: `0`, LowestLevel: LevelService, Max: maxQuota,
		Text: "Memory that a service's jobs may hold before other services borrow it; 0 stands for an even part of the pool.",
	},
	{
		Key: JobQuotaAccelerators, Type: TypeInt, Unit: "accelerators", Default: `0`, LowestLevel: LevelService, Max: maxQuota,
		Text: "Accelerators that a service's jobs may hold before other services borrow them; 0 stands for an even part of the pool.",
	},
	{
		Key: JobStarvationTimeout, Type: TypeDuration, Default: `"30s"`, LowestLevel: LevelService,
		Min: float64(time.Second), Max: float64(day),
		Text: "Time for which a job within its service's quota waits before repeatable jobs beyond their quotas are stopped for it.",
	},
	{
		Key: JobUrgentShare, Type: TypeFloat, Default: `0.2`, LowestLevel: LevelService, Min: 0, Max: 1,
		Text: "Share of the pool's processors that a service's urgent jobs may hold; urgent jobs beyond it wait as others do.",
	},
	{
		Key: JobMinFactor, Type: TypeFloat, Default: `0.5`, LowestLevel: LevelService, Min: 0.01, Max: 1,
		Text: "Least part of its declared size that is held for a job, however little the service's tasks use.",
	},
	{
		Key: JobMaxFactor, Type: TypeFloat, Default: `4`, LowestLevel: LevelService, Min: 1, Max: maxAttempts,
		Text: "Greatest multiple of its declared size that is held for a job, however much the service's tasks use.",
	},
	{
		Key: JobQuarantineFailures, Type: TypeInt, Default: `3`, LowestLevel: LevelPool, Min: 1, Max: maxFailures,
		Text: "Different jobs, of two services or more, whose failures without a success between quarantine a worker.",
	},
	{
		Key: JobQuarantineShare, Type: TypeFloat, Default: `0.1`, LowestLevel: LevelPool, Min: 0, Max: 1,
		Text: "Share of a pool's workers that may be quarantined at once.",
	},
	{
		Key: JobQuarantineTime, Type: TypeDuration, Default: `"10m"`, LowestLevel: LevelPool,
		Min: float64(time.Second), Max: float64(day),
		Text: "Time for which a quarantined worker gets no jobs.",
	},
}
