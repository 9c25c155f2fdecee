package platform

import (
	"encoding/json"
	"time"
)

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version is the sequence number of the transaction that last wrote the row; it starts at 1.
	Version uint64 `json:"version"`
	// Token is the token of the transaction that last wrote the row.
	Token string `json:"token"`
	// Value is absent when the row was deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Deleted reports whether the row is a deletion.
func (r Row) Deleted() bool { return len(r.Value) == 0 }

// Condition requires that a row has the version; version 0 means that the row must not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes the row when Value is empty.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Txn is a transaction: all its writes take effect if all its conditions hold, else none does.
type Txn struct {
	// Token identifies the transaction and is never reused.
	Token      string      `json:"token"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult is the response to a transaction.
type CommitResult struct {
	Committed bool `json:"committed"`
	// Version is the version of the written rows if the transaction was committed.
	Version uint64 `json:"version,omitempty"`
	// Conflicts lists the current rows of the conditions that failed; a row that doesn't exist has version 0.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ScanRequest requests the rows under a prefix that were written after a version.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	// Limit is the number of rows after which the response ends at the next transaction; 0 means the platform's own
	// limit.
	Limit int `json:"limit,omitempty"`
}

// ScanResult holds rows in the order of their versions, deletions included.
type ScanResult struct {
	Rows []Row `json:"rows"`
	// Through is the version up to which the response is complete for the prefix.
	Through uint64 `json:"through"`
	// More reports that further rows follow in a scan after Through.
	More bool `json:"more,omitempty"`
}

// GetRequest requests rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// GetResult holds one row for each requested key; a row that doesn't exist has version 0.
type GetResult struct {
	Rows []Row `json:"rows"`
}

// Object is one object of the object store.
type Object struct {
	Key  string `json:"key"`
	Body []byte `json:"body,omitempty"`
}

// Liveness is the state of an instance in the instance list.
type Liveness string

// The states in the instance list.
const (
	Live    Liveness = "live"
	Leaving Liveness = "leaving"
	Down    Liveness = "down"
)

// Listing is the listing of an instance in the instance list, which lags behind the actual state.
type Listing struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	Size       Size   `json:"size"`
	// Slots is the maximum number of requests that the instance serves concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections to the instance.
	Connections int      `json:"connections"`
	Liveness    Liveness `json:"liveness"`
	// Boot is the number of the instance's current boot; it rises with each reboot.
	Boot uint64 `json:"boot"`
	// Changed is the list's sequence number of the last change of this listing.
	Changed uint64 `json:"changed"`
}

// ListRequest requests the listings of a data centre that changed after a sequence number.
type ListRequest struct {
	DataCentre string `json:"data_centre"`
	After      uint64 `json:"after"`
}

// ListResult holds the changed listings and the sequence number for the next request.
type ListResult struct {
	Instances []Listing `json:"instances"`
	Through   uint64    `json:"through"`
}

// Fence identifies the duty, and its epoch, under which an effect outside the table is requested.
// The platform rejects an effect whose epoch is lower than the highest one that it has seen for the duty.
type Fence struct {
	Duty  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
	// Token makes the effect idempotent: a request with a known token succeeds without a second effect.
	Token string `json:"token"`
}

// InstanceRequest requests that an instance is drained, rebooted or restored.
type InstanceRequest struct {
	Fence    Fence  `json:"fence"`
	Instance string `json:"instance"`
}

// Size is an amount of resources.
type Size struct {
	// MilliCores is processor capacity in thousandths of a core.
	MilliCores int64 `json:"milli_cores"`
	// MemoryMB is memory in mebibytes.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `json:"accelerators"`
}

// StartRequest requests that a worker starts a task under a lease.
type StartRequest struct {
	Fence  Fence         `json:"fence"`
	Worker string        `json:"worker"`
	Task   string        `json:"task"`
	Size   Size          `json:"size"`
	Lease  time.Duration `json:"lease_ns"`
	// Work is passed to the task unchanged.
	Work json.RawMessage `json:"work,omitempty"`
	// Checkpoint is the key of the object that the task resumes from, empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// TaskRequest requests that a task is renewed, stopped, throttled or checkpointed.
type TaskRequest struct {
	Fence  Fence         `json:"fence"`
	Worker string        `json:"worker"`
	Task   string        `json:"task"`
	Lease  time.Duration `json:"lease_ns,omitempty"`
	// Percent is the share of its declared processor capacity that a throttled task keeps.
	Percent int `json:"percent,omitempty"`
}

// TaskRef identifies a task on a worker.
type TaskRef struct {
	Worker string `json:"worker"`
	Task   string `json:"task"`
}

// RenewRequest requests that the leases of many tasks are renewed.
type RenewRequest struct {
	Fence Fence         `json:"fence"`
	Tasks []TaskRef     `json:"tasks"`
	Lease time.Duration `json:"lease_ns"`
}

// RenewResult holds the tasks that still run and whose leases were renewed.
type RenewResult struct {
	Renewed map[string]bool `json:"renewed"`
}

// TaskState is the state of a task in a usage report.
type TaskState string

// The states of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskLapsed  TaskState = "lapsed"
)

// TaskReport is a worker's report of one task, which lags behind the actual state.
type TaskReport struct {
	Worker     string    `json:"worker"`
	Task       string    `json:"task"`
	State      TaskState `json:"state"`
	Used       Size      `json:"used"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	// Changed is the report's sequence number.
	Changed uint64 `json:"changed"`
}

// UsageRequest requests the task reports of a data centre that changed after a sequence number.
type UsageRequest struct {
	DataCentre string `json:"data_centre"`
	After      uint64 `json:"after"`
	// Prefix limits the response to the tasks whose names start with it.
	Prefix string `json:"prefix,omitempty"`
}

// UsageResult holds the changed reports and the sequence number for the next request.
type UsageResult struct {
	Tasks   []TaskReport `json:"tasks"`
	Through uint64       `json:"through"`
}

// Empty is the response of a call that returns no value.
type Empty struct{}
