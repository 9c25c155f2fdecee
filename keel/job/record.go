package job

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/rowset"
)

// Prefix is the prefix of the keys of all rows of this package; the rows of a pool follow under the pool's name.
const Prefix = "j/"

// The parts of the keys between the pool's name and the name of what the row holds.
const (
	jobSegment    = "/job/"
	workerSegment = "/worker/"
)

// attemptSeparator stands between a job and the number of its attempt in the name of a task.
const attemptSeparator = "#"

// dutyPrefix is the first part of the names of the duties that place jobs.
const dutyPrefix = "place/"

// DutyName returns the name of the duty that places the jobs of the pool.
func DutyName(pool string) string { return dutyPrefix + pool }

// PoolPrefix returns the prefix of the keys of the pool's rows.
func PoolPrefix(pool string) string { return Prefix + pool + "/" }

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued State = "queued"
	// Placed jobs have a worker, on which they may have been started or not.
	Placed    State = "placed"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Refused jobs fit on no worker that could exist in their pool.
	Refused State = "refused"
	// Lost jobs must not be repeated and have no known outcome.
	Lost State = "lost"
)

// Record is the row of one job.
type Record struct {
	// ID is "partner/service/key".
	ID string `json:"id"`
	// Service is the path "partner/pool/service" that the job belongs to.
	Service string `json:"service"`
	// Pool is the pool, "partner/pool", whose workers may run the job.
	Pool string `json:"pool"`
	// Size is the declared size.
	Size platform.Size `json:"size"`
	// Reserved is the size that the job holds on its worker.
	Reserved platform.Size `json:"held,omitzero"`
	// Repeatable reports that the job may be started a second time.
	Repeatable bool `json:"repeatable"`
	// Checkpointable reports that the job can resume from a checkpoint.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Urgent reports that the job is to start before others, within its service's urgent quota.
	Urgent bool            `json:"urgent,omitempty"`
	Work   json.RawMessage `json:"work,omitempty"`
	// Digest identifies the submission, so that a key isn't used for another job.
	Digest uint64 `json:"digest,omitempty"`
	State  State  `json:"state"`
	// CancelRequested reports that the job is to be stopped.
	CancelRequested bool `json:"cancel_asked,omitempty"`
	// Worker is the key of the row of the instance that the job was placed on.
	Worker string `json:"worker,omitempty"`
	// Epoch is the epoch of the duty under which the job was placed.
	Epoch   uint64 `json:"epoch,omitempty"`
	Attempt int    `json:"attempt"`
	// FailedOn lists the workers on which the job failed.
	FailedOn   []string  `json:"failed_on,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	Submitted  time.Time `json:"submitted,omitzero"`
	Finished   time.Time `json:"finished,omitzero"`
}

// Ended reports whether the job will not run any more.
func (r Record) Ended() bool {
	switch r.State {
	case Queued, Placed, Running:
		return false
	}
	return true
}

// OnWorker reports whether the job holds capacity of a worker.
func (r Record) OnWorker() bool { return r.State == Placed || r.State == Running }

// Key returns the key of the job's row.
func (r Record) Key() string { return Key(r.Pool, r.ID) }

// Task returns the platform's name for the task of the job's present attempt; it starts with the pool's name.
func (r Record) Task() string {
	return r.Key()[len(Prefix):] + attemptSeparator + strconv.Itoa(r.Attempt)
}

// Key returns the key of the row of the pool's job.
func Key(pool, id string) string { return PoolPrefix(pool) + jobSegment[1:] + id }

// jobKeyOfTask returns the key of the row of the job whose attempt runs as the platform's task.
func jobKeyOfTask(task string) string {
	return Prefix + task[:max(0, strings.LastIndex(task, attemptSeparator))]
}

func lastSlash(text string) int { return strings.LastIndexByte(text, '/') }

// Failure is one failure of a job on a worker.
type Failure struct {
	Job     string `json:"job"`
	Service string `json:"service"`
}

// Worker is the row of what is placed on one worker.
type Worker struct {
	// Instance is the key of the instance's row.
	Instance string `json:"instance"`
	// Tasks holds the size that each job holds on the worker by the key of the job's row.
	Tasks map[string]platform.Size `json:"tasks,omitempty"`
	// Failures lists the failures on the worker since the last success there.
	Failures []Failure `json:"failures,omitempty"`
	// Quarantined is the time until which the worker gets no work, zero for a worker that gets work.
	Quarantined time.Time `json:"quarantined,omitzero"`
}

// WorkerKey returns the key of the worker row of the pool's instance with the key.
func WorkerKey(pool, instanceKey string) string {
	return PoolPrefix(pool) + workerSegment[1:] + strings.TrimPrefix(instanceKey, instance.Prefix)
}

// Used returns the sum of the sizes of the jobs placed on the worker.
func (w Worker) Used() platform.Size {
	var used platform.Size
	for _, size := range w.Tasks {
		used = used.Plus(size)
	}
	return used
}

// Jobs holds the job rows; it belongs to one goroutine.
type Jobs = rowset.Set[Record]

// Workers holds the worker rows; it belongs to one goroutine.
type Workers = rowset.Set[Worker]
