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

// Prefix is the key prefix of all rows of this package; the pool's name follows it in each key.
const Prefix = "j/"

// The segments of keys between the pool's name and the job's ID or the instance.
const (
	jobSegment    = "/job/"
	workerSegment = "/worker/"
)

// attemptSeparator is between the job and the attempt number in a task's name.
const attemptSeparator = "#"

// dutyPrefix is the prefix of the names of the duties to schedule jobs.
const dutyPrefix = "place/"

// DutyName returns the name of the duty to schedule the jobs of the pool.
func DutyName(pool string) string { return dutyPrefix + pool }

// PoolPrefix returns the key prefix of the pool's rows.
func PoolPrefix(pool string) string { return Prefix + pool + "/" }

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued State = "queued"
	// Placed jobs are assigned to a worker; their tasks may have started or not.
	Placed    State = "placed"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Refused jobs are larger than any instance that their pool has or could get.
	Refused State = "refused"
	// Lost jobs aren't repeatable and were interrupted, or have an unknown outcome.
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
	// Size is the size that the caller declared.
	Size platform.Size `json:"size"`
	// Reserved is the size reserved on the worker, which usage factors may make differ from Size.
	Reserved platform.Size `json:"held,omitzero"`
	// Repeatable is true if the job may run more than once.
	Repeatable bool `json:"repeatable"`
	// Checkpointable is true if the job can resume from a checkpoint.
	Checkpointable bool `json:"checkpointable,omitempty"`
	// Urgent is true if the job takes precedence over others, within the service's urgent share of the pool.
	Urgent bool `json:"urgent,omitempty"`
	// Work is the caller's task specification, which is passed to the platform unchanged.
	Work json.RawMessage `json:"work,omitempty"`
	// Digest is a hash of the submission, which distinguishes a retry from another job with the same ID.
	Digest          uint64 `json:"digest,omitempty"`
	State           State  `json:"state"`
	CancelRequested bool   `json:"cancel_asked,omitempty"`
	// Worker is the key of the instance row of the worker that the job is placed on.
	Worker string `json:"worker,omitempty"`
	// Epoch is the epoch of the duty under which the job was placed.
	Epoch uint64 `json:"epoch,omitempty"`
	// Attempt is the number of placements so far.
	Attempt int `json:"attempt"`
	// FailedOn lists the workers on which the job failed; it isn't placed there again.
	FailedOn []string `json:"failed_on,omitempty"`
	// Boot is the boot of the worker's instance when the job was placed, 0 if it wasn't known.
	Boot uint64 `json:"boot,omitempty"`
	// CrashedOn lists the workers that crashed under the job.
	CrashedOn  []string  `json:"crashed_on,omitempty"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	Submitted  time.Time `json:"submitted,omitzero"`
	Finished   time.Time `json:"finished,omitzero"`
}

// Ended reports whether the job is in a final state.
func (r Record) Ended() bool {
	switch r.State {
	case Queued, Placed, Running:
		return false
	}
	return true
}

// OnWorker reports whether the job holds capacity on a worker.
func (r Record) OnWorker() bool { return r.State == Placed || r.State == Running }

// Key returns the key of the job's row.
func (r Record) Key() string { return Key(r.Pool, r.ID) }

// Task returns the platform's name for the task of the current attempt; it starts with the pool's name.
func (r Record) Task() string {
	return r.Key()[len(Prefix):] + attemptSeparator + strconv.Itoa(r.Attempt)
}

// Key returns the key of the row of the pool's job with the ID.
func Key(pool, id string) string { return PoolPrefix(pool) + jobSegment[1:] + id }

// jobKeyOfTask returns the key of the job's row from the name of a task.
func jobKeyOfTask(task string) string {
	return Prefix + task[:max(0, strings.LastIndex(task, attemptSeparator))]
}

func lastSlash(text string) int { return strings.LastIndexByte(text, '/') }

// Failure is one failure of a job on a worker.
type Failure struct {
	Job     string `json:"job"`
	Service string `json:"service"`
}

// Worker is the row with the jobs placed on one worker.
type Worker struct {
	// Instance is the key of the worker's instance row.
	Instance string `json:"instance"`
	// Tasks has the size reserved for each job on the worker, by the key of the job's row.
	Tasks map[string]platform.Size `json:"tasks,omitempty"`
	// Failures lists the failures on the worker since a job last succeeded there, at most maxFailures.
	Failures []Failure `json:"failures,omitempty"`
	// Isolated is true while a job that crashed a worker runs here, apart from others.
	Isolated bool `json:"isolated,omitempty"`
	// Quarantined is the time until which the worker gets no jobs, zero if it was never quarantined.
	Quarantined time.Time `json:"quarantined,omitzero"`
}

// WorkerKey returns the key of the worker row for the instance of the pool.
func WorkerKey(pool, instanceKey string) string {
	return PoolPrefix(pool) + workerSegment[1:] + strings.TrimPrefix(instanceKey, instance.Prefix)
}

// Used returns the sum of the sizes reserved on the worker.
func (w Worker) Used() platform.Size {
	var used platform.Size
	for _, size := range w.Tasks {
		used = used.Plus(size)
	}
	return used
}

// Jobs is a set of job rows; it is not safe for concurrent use.
type Jobs = rowset.Set[Record]

// Workers is a set of worker rows; it is not safe for concurrent use.
type Workers = rowset.Set[Worker]
