package ledger

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// The names of the tables.
const (
	// Submissions stores submissions.
	Submissions = "jobs"
	// Ended stores the outcomes of jobs that have ended, in the partitions of their submissions, which they replace.
	Ended = "ended"
	// JobRecords stores the progress and outcomes of jobs.
	JobRecords = "ledger"
	// Cancels stores accepted cancel requests.
	Cancels = "cancels"
	// Roster stores the workers that may run tasks.
	Roster = "roster"
	// Waves stores the progress of each wave.
	Waves = "waves"
	// guardTable stores the guard rows.
	guardTable = "guard"
)

// SubmissionPartitionCount is the number of partitions of submissions: eight, at 150 transactions per second each,
// accept 1,200 per second.
const SubmissionPartitionCount = 8

// guardRowName is the name of the row that stores the leader's epoch.
const guardRowName = "leader"

// PartitionOf returns the partition of a job's submission.
func PartitionOf(id string) string { return strconv.Itoa(partitionNumber(id)) }

func partitionNumber(id string) int { return int(xxhash.Sum64String(id) % SubmissionPartitionCount) }

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) table.Key {
	return table.Key{Table: Submissions, Partition: PartitionOf(id), Name: id}
}

// EndedKey returns the key of the row that replaces a job's submission after the job has ended.
func EndedKey(id string) table.Key {
	return table.Key{Table: Ended, Partition: PartitionOf(id), Name: id}
}

// LeaderPartitions lists the partitions that the leader writes to.
func LeaderPartitions() []string { return []string{"ledger0", "ledger1", "ledger2"} }

// JobRecordKey returns the key of a job's progress and outcome, without a partition.
func JobRecordKey(id string) table.Key { return table.Key{Table: JobRecords, Name: id} }

// RosterKey returns the key of a worker that may run tasks, without a partition.
func RosterKey(id string) table.Key { return table.Key{Table: Roster, Name: id} }

// WaveKey returns the key of a wave's progress, without a partition.
func WaveKey(number int64) table.Key {
	return table.Key{Table: Waves, Name: strconv.FormatInt(number, 10)}
}

// InPartition returns the key with the partition set.
func InPartition(partition string, k table.Key) table.Key {
	k.Partition = partition
	return k
}

// Stub replaces a submission after its job has ended, until the job is forgotten.
type Stub struct {
	ID     string `json:"id"`
	Digest uint64 `json:"digest"`
	// Ended is always true; submissions don't have the field.
	Ended bool `json:"ended"`
	// Outcome is nil in rows of earlier versions, which replaced the submission in its own table and kept the outcome in
	// JobRecords.
	Outcome *work.Outcome `json:"outcome,omitempty"`
	// Unsubmitted reports that the job was cancelled before a submission of it was stored. Callers see no such job, and none that is
	// submitted under its ID runs.
	Unsubmitted bool `json:"unsubmitted,omitempty"`
}

// JobRecord is the leader's record of a job: its progress until the job ends, then its outcome.
type JobRecord struct {
	Progress *work.Progress `json:"progress,omitempty"`
	Outcome  *work.Outcome  `json:"outcome,omitempty"`
}

// Merge returns the union of both records; if both have an outcome, it keeps that of r.
func (r JobRecord) Merge(o JobRecord) JobRecord {
	if r.Outcome == nil {
		r.Outcome = o.Outcome
	}
	switch {
	case r.Progress == nil:
		r.Progress = o.Progress
	case o.Progress != nil:
		merged := r.Progress.Merge(*o.Progress)
		r.Progress = &merged
	}
	return r
}

// RosterRecord is the stored record of a worker that may run tasks.
type RosterRecord struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Epoch is the epoch under which the row was written, and Change its number there; both are 0 in rows of earlier
	// versions.
	Epoch  int64 `json:"epoch,omitempty"`
	Change int64 `json:"change,omitempty"`
	// LeaseEndMillis is the time by the store's clock at which all leases on the worker have expired, 0 if they may be
	// extended.
	LeaseEndMillis int64 `json:"lease_end,omitempty"`
}

// Merge returns the later of two rows of a worker from different partitions.
func (r RosterRecord) Merge(other RosterRecord) RosterRecord {
	if cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Change, other.Change)) >= 0 {
		return r
	}
	return other
}

// WaveProgress is the stored progress of a wave.
type WaveProgress struct {
	// Started lists the instances whose maintenance has started.
	Started []string `json:"begun,omitempty"`
	// FirstSeenMillis is the wall-clock time in milliseconds since 1970 at which the wave was first seen.
	FirstSeenMillis int64 `json:"seen"`
	// Completed reports that the completion was reported to the operator.
	Completed bool `json:"completed,omitempty"`
}

// Merge returns the union of both, with the earlier FirstSeenMillis.
func (p WaveProgress) Merge(o WaveProgress) WaveProgress {
	for _, instance := range o.Started {
		if !slices.Contains(p.Started, instance) {
			p.Started = append(p.Started, instance)
		}
	}
	if p.FirstSeenMillis == 0 || o.FirstSeenMillis != 0 && o.FirstSeenMillis < p.FirstSeenMillis {
		p.FirstSeenMillis = o.FirstSeenMillis
	}
	p.Completed = p.Completed || o.Completed
	return p
}

// Encode returns the JSON encoding of the value of a row; the types stored in rows can always be encoded.
func Encode(value any) []byte {
	encoded, _ := json.Marshal(value)
	return encoded
}

// Submission is a decoded row of the table Submissions; Job is nil if the row is a stub.
type Submission struct {
	Job     *work.Job
	Version uint64
	// Digest is the digest of the submission; Ended reports whether the row is a stub, of which Outcome is the outcome.
	Digest  uint64
	Ended   bool
	Outcome *work.Outcome
	// Unsubmitted is that of the stub.
	Unsubmitted bool
	// Tenant is the name of the tenant that submitted the job, empty for none and for rows of earlier versions.
	Tenant string
}

// DecodeSubmission decodes a submission or its stub.
func DecodeSubmission(row table.Row) (Submission, error) {
	var decoded struct {
		work.Job
		Ended       bool          `json:"ended"`
		Outcome     *work.Outcome `json:"outcome"`
		Unsubmitted bool          `json:"unsubmitted"`
	}
	err := json.Unmarshal(row.Value, &decoded)
	if err != nil {
		return Submission{}, fault.Wrap(fault.Internal, err, "decode submission %s", row.Name)
	}
	s := Submission{Version: row.Version, Digest: decoded.Digest, Ended: decoded.Ended, Outcome: decoded.Outcome, Tenant: decoded.Tenant,
		Unsubmitted: decoded.Unsubmitted}
	if decoded.Outcome != nil {
		s.Tenant = decoded.Outcome.Tenant
	}
	if !decoded.Ended {
		job := decoded.Job
		s.Job = &job
	}
	return s, nil
}

// JobStore reads the states of single jobs and cancels them, on an entry that isn't the leader.
type JobStore struct {
	Store *table.Store
}

// Find returns the stored state of a job; it fails with kind NotExist if there is no such job.
func (s *JobStore) Find(ctx context.Context, id string) (work.State, error) {
	state, found, err := s.recordedState(ctx, id)
	if err != nil || found {
		return state, err
	}
	row, ok, err := s.readRow(ctx, SubmissionKey(id))
	if err != nil {
		return "", err
	}
	if !ok {
		return s.findReplaced(ctx, id)
	}
	submission, err := DecodeSubmission(row)
	if err != nil {
		return "", err
	}
	if submission.Ended {
		return s.findEnded(ctx, id)
	}
	cancelled, err := s.cancelled(ctx, id)
	if err == nil && cancelled {
		return work.Cancelled, nil
	}
	return work.Queued, err
}

// Tenant returns the name of the tenant that submitted a job, empty for none; it fails with kind NotExist if there is no such job.
// The row of an ended job is read last, because it replaces the submission.
func (s *JobStore) Tenant(ctx context.Context, id string) (string, error) {
	for _, k := range []table.Key{SubmissionKey(id), EndedKey(id)} {
		row, ok, err := s.readRow(ctx, k)
		if err != nil {
			return "", err
		}
		if ok {
			submission, err := DecodeSubmission(row)
			return submission.Tenant, err
		}
	}
	return "", fault.New(fault.NotExist, "job %s", id)
}

// findReplaced returns the state of a job that has no submission. It is read after the submission, which is removed when
// the outcome replaces it.
func (s *JobStore) findReplaced(ctx context.Context, id string) (work.State, error) {
	row, ok, err := s.readRow(ctx, EndedKey(id))
	if err != nil {
		return "", err
	}
	if !ok {
		return "", fault.New(fault.NotExist, "job %s", id)
	}
	ended, err := DecodeSubmission(row)
	if err == nil && ended.Outcome == nil {
		err = fault.New(fault.Internal, "row of ended job %s has no outcome", id)
	}
	if err != nil {
		return "", err
	}
	if ended.Unsubmitted {
		return "", fault.New(fault.NotExist, "job %s", id)
	}
	return ended.Outcome.State, nil
}

// findEnded returns the state of a job whose submission is a stub of an earlier version. The stub is written after the outcome, so
// that this second read of the leader's partitions finds an outcome that was stored after the first one.
func (s *JobStore) findEnded(ctx context.Context, id string) (work.State, error) {
	state, found, err := s.recordedState(ctx, id)
	if err != nil || found {
		return state, err
	}
	return "", fault.New(fault.NotExist, "job %s has ended and its outcome has expired", id)
}

// recordedState returns a job's state by its records in the leader's partitions, and false if they have none.
func (s *JobStore) recordedState(ctx context.Context, id string) (work.State, bool, error) {
	partitions := LeaderPartitions()
	rows := make([]table.Row, len(partitions))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, partition := range partitions {
		group.Go(func() error {
			row, _, err := s.readRow(groupCtx, InPartition(partition, JobRecordKey(id)))
			rows[i] = row
			return err
		})
	}
	err := group.Wait()
	if err != nil {
		return "", false, err
	}
	merged, found, err := mergeRows(rows)
	switch {
	case err != nil || !found:
		return "", false, err
	case merged.Outcome != nil:
		return merged.Outcome.State, true, nil
	}
	cancelled, err := s.cancelled(ctx, id)
	switch {
	case err != nil:
		return "", false, err
	case cancelled:
		return work.Cancelled, true, nil
	case merged.Progress != nil && merged.Progress.Started:
		return work.Running, true, nil
	}
	return work.Queued, true, nil
}

// mergeRows returns the merged rows of one job, and false if there are none.
func mergeRows(rows []table.Row) (JobRecord, bool, error) {
	var merged JobRecord
	found := false
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var record JobRecord
		err := json.Unmarshal(row.Value, &record)
		if err != nil {
			return merged, false, fault.Wrap(fault.Internal, err, "decode ledger row %s", row.Name)
		}
		merged, found = merged.Merge(record), true
	}
	return merged, found, nil
}

// cancelled reports whether an entry has stored a cancel request for the job.
func (s *JobStore) cancelled(ctx context.Context, id string) (bool, error) {
	for _, partition := range LeaderPartitions() {
		_, found, err := s.readRow(ctx, InPartition(partition, cancelKey(id)))
		if err != nil || found {
			return found, err
		}
	}
	return false, nil
}

func (s *JobStore) readRow(ctx context.Context, k table.Key) (table.Row, bool, error) {
	page, err := s.Store.Read(ctx, table.Range{Table: k.Table, Partition: k.Partition, From: k.Name, Limit: 1})
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Name != k.Name {
		return table.Row{}, false, err
	}
	return page.Rows[0], true, nil
}

// Cancel stores a cancel request for a job unless the job has ended; it fails with kind NotExist if there is no such
// job.
func (s *JobStore) Cancel(ctx context.Context, id string) error {
	state, err := s.Find(ctx, id)
	if err != nil || state.Final() {
		return err
	}
	for _, partition := range LeaderPartitions() {
		attemptCtx, cancel := context.WithTimeout(ctx, cancelAttemptTimeout)
		_, err = s.Store.Commit(attemptCtx, table.Txn{Writes: []table.Write{cancelWrite(partition, id)}})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// cancelAttemptTimeout is the timeout for writing cancel requests to one partition.
const cancelAttemptTimeout = 600 * time.Millisecond

func cancelKey(id string) table.Key { return table.Key{Table: Cancels, Name: id} }

func cancelWrite(partition, id string) table.Write {
	value := Encode(map[string]int64{"at": time.Now().UnixMilli()})
	return table.Write{Key: InPartition(partition, cancelKey(id)), Value: value}
}

// GuardCondition returns the condition that the guard of the partition still has the version.
func GuardCondition(partition string, version uint64) table.Condition {
	return table.Condition{Key: guardKey(partition), Version: version}
}

func guardKey(partition string) table.Key {
	return table.Key{Table: guardTable, Partition: partition, Name: guardRowName}
}
