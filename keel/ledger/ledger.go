package ledger

import (
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

// The tables.
const (
	// Submissions holds submissions.
	Submissions = "jobs"
	// JobRecords holds progress and outcomes.
	JobRecords = "ledger"
	// Cancels holds the cancels that were taken in.
	Cancels = "cancels"
	// Roster holds the workers that may run tasks.
	Roster = "roster"
	// Waves holds what has been done of each wave.
	Waves = "waves"
	guard = "guard"
)

// SubmissionPartitions is the number of parts of submissions: eight of them take 1,200 transactions a second at 150 each.
const SubmissionPartitions = 8

// guardRow names the row that holds the leader's epoch.
const guardRow = "leader"

// PartitionOf returns the part of a job's submission.
func PartitionOf(id string) string { return strconv.Itoa(partNumber(id)) }

func partNumber(id string) int { return int(xxhash.Sum64String(id) % SubmissionPartitions) }

// SubmissionKey returns the key of a job's submission.
func SubmissionKey(id string) table.Key {
	return table.Key{Table: Submissions, Partition: PartitionOf(id), Name: id}
}

// LeaderPartitions lists the parts that the leader writes.
func LeaderPartitions() []string { return []string{"ledger0", "ledger1", "ledger2"} }

// JobRecordKey returns the key of what became of a job, without a part.
func JobRecordKey(id string) table.Key { return table.Key{Table: JobRecords, Name: id} }

// RosterKey returns the key of a worker that may run tasks, without a part.
func RosterKey(id string) table.Key { return table.Key{Table: Roster, Name: id} }

// WaveKey returns the key of the leader's notes on a wave, without a part.
func WaveKey(number int64) table.Key {
	return table.Key{Table: Waves, Name: strconv.FormatInt(number, 10)}
}

// InPartition returns the key in the part.
func InPartition(part string, k table.Key) table.Key {
	k.Partition = part
	return k
}

// Stub stands for a submission whose job has ended.
type Stub struct {
	ID     string `json:"id"`
	Digest uint64 `json:"digest"`
	// Ended is set, which tells a stub from a submission.
	Ended bool `json:"ended"`
}

// JobRecord is what the leader keeps of a job: its progress while it is open, then its outcome.
type JobRecord struct {
	Progress *work.Progress `json:"progress,omitempty"`
	Outcome  *work.Outcome  `json:"outcome,omitempty"`
}

// Merge returns what both entries say together.
func (e JobRecord) Merge(o JobRecord) JobRecord {
	if e.Outcome == nil {
		e.Outcome = o.Outcome
	}
	switch {
	case e.Progress == nil:
		e.Progress = o.Progress
	case o.Progress != nil:
		merged := e.Progress.Merge(*o.Progress)
		e.Progress = &merged
	}
	return e
}

// RosterRecord is what is kept of a worker that may run tasks.
type RosterRecord struct {
	Instance   string `json:"instance"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// WaveProgress is what is kept of a wave.
type WaveProgress struct {
	// Started lists the instances whose maintenance has begun.
	Started []string `json:"begun,omitempty"`
	// FirstSeenMillis is the wall-clock time in milliseconds since 1970 at which the wave was first seen.
	FirstSeenMillis int64 `json:"seen"`
	// Completed reports that the operator was told so.
	Completed bool `json:"completed,omitempty"`
}

// Merge returns what both notes say together.
func (n WaveProgress) Merge(o WaveProgress) WaveProgress {
	for _, instance := range o.Started {
		if !slices.Contains(n.Started, instance) {
			n.Started = append(n.Started, instance)
		}
	}
	if n.FirstSeenMillis == 0 || o.FirstSeenMillis != 0 && o.FirstSeenMillis < n.FirstSeenMillis {
		n.FirstSeenMillis = o.FirstSeenMillis
	}
	n.Completed = n.Completed || o.Completed
	return n
}

// Encode returns the value of a row; the rows' types can't fail to encode.
func Encode(value any) []byte {
	encoded, _ := json.Marshal(value)
	return encoded
}

// Submission is a row of a submission.
type Submission struct {
	Job     *work.Job
	Version uint64
	// Digest is that of the submission, Ended whether only its stub is left.
	Digest uint64
	Ended  bool
}

// DecodeSubmission reads a submission or its stub.
func DecodeSubmission(row table.Row) (Submission, error) {
	var both struct {
		work.Job
		Ended bool `json:"ended"`
	}
	err := json.Unmarshal(row.Value, &both)
	if err != nil {
		return Submission{}, fault.Wrap(fault.Internal, err, "submission %s", row.Name)
	}
	s := Submission{Version: row.Version, Digest: both.Digest, Ended: both.Ended}
	if !both.Ended {
		job := both.Job
		s.Job = &job
	}
	return s, nil
}

// Store reads and cancels single jobs for an entry that isn't the leader.
type Store struct {
	Table *table.Store
}

// Find reads a job's state as the rows tell it; it fails with kind NotExist if there is no such job.
func (s *Store) Find(ctx context.Context, id string) (work.State, error) {
	state, found, err := s.findEntry(ctx, id)
	if err != nil || found {
		return state, err
	}
	row, ok, err := s.row(ctx, SubmissionKey(id))
	if err != nil {
		return "", err
	}
	if !ok {
		return "", fault.New(fault.NotExist, "job %s", id)
	}
	submission, err := DecodeSubmission(row)
	if err == nil && submission.Ended {
		return s.findEnded(ctx, id)
	}
	cancelled, err := s.cancelled(ctx, id)
	if err == nil && cancelled {
		return work.Cancelled, nil
	}
	return work.Queued, err
}

// findEnded reads the state of a job whose submission says that it has ended; that is stored after the outcome, which may
// have come since the leader's parts were read.
func (s *Store) findEnded(ctx context.Context, id string) (work.State, error) {
	state, found, err := s.findEntry(ctx, id)
	if err != nil || found {
		return state, err
	}
	return "", fault.New(fault.NotExist, "job %s has ended and its state is no longer kept", id)
}

// findEntry merges what the leader's parts hold of a job.
func (s *Store) findEntry(ctx context.Context, id string) (work.State, bool, error) {
	parts := LeaderPartitions()
	rows := make([]table.Row, len(parts))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			row, _, err := s.row(groupCtx, InPartition(part, JobRecordKey(id)))
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

// mergeRows returns what the rows of one job say together, and false if there are none.
func mergeRows(rows []table.Row) (JobRecord, bool, error) {
	var merged JobRecord
	found := false
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var entry JobRecord
		err := json.Unmarshal(row.Value, &entry)
		if err != nil {
			return merged, false, fault.Wrap(fault.Internal, err, "ledger row %s", row.Name)
		}
		merged, found = merged.Merge(entry), true
	}
	return merged, found, nil
}

// cancelled reports whether an entry has taken in a cancel of the job.
func (s *Store) cancelled(ctx context.Context, id string) (bool, error) {
	for _, part := range LeaderPartitions() {
		_, found, err := s.row(ctx, InPartition(part, cancelKey(id)))
		if err != nil || found {
			return found, err
		}
	}
	return false, nil
}

func (s *Store) row(ctx context.Context, k table.Key) (table.Row, bool, error) {
	page, err := s.Table.Read(ctx, table.Range{Table: k.Table, Partition: k.Partition, From: k.Name, Limit: 1})
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Name != k.Name {
		return table.Row{}, false, err
	}
	return page.Rows[0], true, nil
}

// Cancel writes that a job is to be cancelled; it fails with kind NotExist if there is no such job.
func (s *Store) Cancel(ctx context.Context, id string) error {
	state, err := s.Find(ctx, id)
	if err != nil || state.Final() {
		return err
	}
	for _, part := range LeaderPartitions() {
		try, cancel := context.WithTimeout(ctx, cancelTry)
		_, err = s.Table.Commit(try, table.Txn{Writes: []table.Write{cancelWrite(part, id)}})
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// cancelTry bounds one try to write a cancel.
const cancelTry = 600 * time.Millisecond

func cancelKey(id string) table.Key { return table.Key{Table: Cancels, Name: id} }

func cancelWrite(part, id string) table.Write {
	value := Encode(map[string]int64{"at": time.Now().UnixMilli()})
	return table.Write{Key: InPartition(part, cancelKey(id)), Value: value}
}

// GuardCondition holds a transaction in the part to the guard's version.
func GuardCondition(part string, version uint64) table.Condition {
	return table.Condition{Key: guardKey(part), Version: version}
}

func guardKey(part string) table.Key { return table.Key{Table: guard, Partition: part, Name: guardRow} }
