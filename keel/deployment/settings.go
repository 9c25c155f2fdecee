package deployment

import "time"

// Limits holds the resources that the instance gives the process.
type Limits struct {
	// CPUShare is a fraction of one core.
	CPUShare float64
	// MemoryMB is the memory beyond which the process is killed.
	MemoryMB int
	// LinkMbps is the bandwidth of the instance's network link.
	LinkMbps float64
	// Descriptors is the maximum number of open files and sockets.
	Descriptors int
}

// Bounds holds the times that the deployment guarantees to a process or requires of it.
type Bounds struct {
	// ConfigApply is the time within which an accepted configuration must be applied.
	ConfigApply time.Duration
	// DrainTime is the time after which a draining worker must not receive task starts.
	DrainTime time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// LeaseMax is the longest allowed lease of a worker.
	LeaseMax time.Duration
	// StopTime is the longest time that a run takes to stop.
	StopTime time.Duration
	// GangTimeout is the longest time that a member of a gang waits for the other members to start.
	GangTimeout time.Duration
	// CancelTime is the time after the response to a cancellation from which no task of the job may start.
	CancelTime time.Duration
	// VisibilityTime is the time within which an accepted job must be visible on every entry.
	VisibilityTime time.Duration
	// JobRetention is the retention period of the state of an ended job.
	JobRetention time.Duration
	// RemoteFactor is the factor by which a task takes longer outside the rack of its data.
	RemoteFactor float64
	// CheckpointEvery is the work between two checkpoints, as run time at full speed.
	CheckpointEvery time.Duration
	// Restore is the time that a resumed run takes to load its checkpoint.
	Restore time.Duration
	// DisruptionTime is the time for which the absence of a long-running task counts against its disruption budget.
	DisruptionTime time.Duration
	// MoveTime is the time for which a move between pools makes an instance unavailable.
	MoveTime time.Duration
	// MaintenanceTime is the time for which maintenance makes an instance unavailable.
	MaintenanceTime time.Duration
	// Fenced reports that orders to instances must carry a fencing token.
	Fenced bool
	// MinHolderGap is the minimum time between orders of two different holders to the same instance.
	MinHolderGap time.Duration
	// ThrottleTime is the time that a run takes to reach its new speed after it is throttled.
	ThrottleTime time.Duration
	// MaxSlowdownTime is the longest time for which best-effort tasks may slow a serving task down.
	MaxSlowdownTime time.Duration
	// EarlyStart is the time by which an occurrence of a recurring job may start before it is due.
	EarlyStart time.Duration
	// ContactTime is the time without communication failures after which a process counts as connected.
	ContactTime time.Duration
	// MaxSkew is the largest difference between the clocks of two processes.
	MaxSkew time.Duration
	// RefuseUnchecked reports that an entry which can't check the configuration refuses the keys of tenants from
	// RevokeTime after its last check on.
	RefuseUnchecked bool
	RevokeTime      time.Duration
	// CapOverage is the fraction by which the running tasks of a tenant may exceed its cap.
	CapOverage float64
}

// Store holds the address of the store and its rate and size limits.
type Store struct {
	Address string
	// WritesPerSecond and ReadsPerSecond limit the calls of all entries together.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// PartitionWritesPerSecond limits the transactions of one partition.
	PartitionWritesPerSecond float64
	// RowBytes is the maximum size of a row's value.
	RowBytes int
	// History is the time for which the store's change feed keeps a change.
	History time.Duration
}

// InstanceService holds the address of the instance service and its rate limits.
type InstanceService struct {
	Address string
	// OrdersPerSecond and ReadsPerSecond limit the calls of all entries together.
	OrdersPerSecond float64
	ReadsPerSecond  float64
}

// Settings holds the settings of one entry process.
type Settings struct {
	// Name is the name of the entry.
	Name       string
	IP         string
	DataCentre string
	// DataCentres is the sorted list of all data centres.
	DataCentres []string
	// Callers and Readiness are the addresses on which the entry serves callers and readiness probes.
	Callers   string
	Readiness string
	// PeerPorts is the first and the last port of the range for links between entries.
	PeerPorts [2]int
	// FirstStart reports that the whole system starts for the first time; it is false for an entry that is restarted.
	FirstStart bool
	// Heartbeat is the interval between two registrations of a worker.
	Heartbeat       time.Duration
	Limits          Limits
	Bounds          Bounds
	Store           Store
	InstanceService InstanceService
	// PolicyAddress is the address of the service that is queried for the policy of a queue, empty if there is none.
	PolicyAddress string
}
