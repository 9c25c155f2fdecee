package ledger

import (
	"context"
	"encoding/json"
	"strconv"

	"golang.org/x/sync/errgroup"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

// SubmissionPartitions lists the partitions of submissions.
func SubmissionPartitions() []string {
	partitions := make([]string, SubmissionPartitionCount)
	for i := range partitions {
		partitions[i] = strconv.Itoa(i)
	}
	return partitions
}

// Unreadable is a row that can't be decoded, with the reason.
type Unreadable struct {
	table.Row
	Reason string
}

// Contents is the state of the ledger that a new leader starts from.
type Contents struct {
	// Jobs lists the submissions that have no stub yet.
	Jobs []Submission
	// Stubs holds the versions of submissions that an earlier version of the program has replaced by stubs.
	Stubs      map[string]uint64
	JobRecords map[string]JobRecord
	// JobRecordRows lists the keys and versions of each job's rows in JobRecords, and Cancels those of its cancel requests.
	JobRecordRows map[string][]table.Condition
	Cancels       map[string][]table.Condition
	Roster        map[string]RosterRecord
	// RosterRows lists the keys and versions of each worker's rows.
	RosterRows map[string][]table.Condition
	Waves      map[int64]WaveProgress
	Unreadable []Unreadable
}

// Load reads the whole ledger; for submissions that arrive during the read, the caller follows the change feed of their
// table.
func Load(ctx context.Context, store *table.Store) (Contents, error) {
	return NewLoader(store).Load(ctx)
}

// Loader reads the whole ledger in one or more attempts; an attempt continues where the previous one failed.
type Loader struct {
	scans []*table.Scan
}

// NewLoader returns a loader that has read nothing yet.
func NewLoader(store *table.Store) *Loader {
	l := &Loader{}
	for _, partition := range LeaderPartitions() {
		for _, name := range []string{JobRecords, Cancels, Roster, Waves} {
			l.scans = append(l.scans, store.Scan(table.Range{Table: name, Partition: partition}))
		}
	}
	for _, partition := range SubmissionPartitions() {
		l.scans = append(l.scans, store.Scan(table.Range{Table: Submissions, Partition: partition}))
	}
	return l
}

// Load reads what is not read yet. The leader raises the guards before, so that rows that are read in different attempts
// belong together; for submissions and cancels, it follows the change feeds.
func (l *Loader) Load(ctx context.Context) (Contents, error) {
	// A failed scan doesn't cancel the others, so that these need not be repeated.
	var group errgroup.Group
	for _, scan := range l.scans {
		group.Go(func() error {
			for {
				done, err := scan.Next(ctx)
				if done || err != nil {
					return err
				}
			}
		})
	}
	err := group.Wait()
	if err != nil {
		return Contents{}, err
	}
	c := Contents{
		JobRecords: make(map[string]JobRecord), Roster: make(map[string]RosterRecord), RosterRows: make(map[string][]table.Condition),
		Waves: make(map[int64]WaveProgress), Stubs: make(map[string]uint64), JobRecordRows: make(map[string][]table.Condition),
		Cancels: make(map[string][]table.Condition),
	}
	for _, scan := range l.scans {
		for _, row := range scan.Page().Rows {
			err := c.add(row)
			if err != nil {
				c.Unreadable = append(c.Unreadable, Unreadable{Row: row, Reason: err.Error()})
			}
		}
	}
	c.keepUnreadableWorkers()
	return c, nil
}

// keepUnreadableWorkers keeps the workers with a roster row that can't be decoded as ones that may run tasks, in a data
// centre and until a time that aren't known.
func (c *Contents) keepUnreadableWorkers() {
	for _, bad := range c.Unreadable {
		if bad.Table == Roster {
			record := c.Roster[bad.Name]
			record.DataCentre, record.LeaseEndMillis = "", 0
			c.Roster[bad.Name] = record
		}
	}
}

func (c *Contents) add(row table.Row) error {
	condition := table.Condition{Key: row.Key, Version: row.Version}
	switch row.Table {
	case Submissions:
		submission, err := DecodeSubmission(row)
		switch {
		case err != nil:
		case submission.Ended:
			c.Stubs[row.Name] = row.Version
		default:
			c.Jobs = append(c.Jobs, submission)
		}
		return err
	case Cancels:
		c.Cancels[row.Name] = append(c.Cancels[row.Name], condition)
		return nil
	case JobRecords:
		c.JobRecordRows[row.Name] = append(c.JobRecordRows[row.Name], condition)
		return decodeInto(row, c.JobRecords, row.Name, JobRecord.Merge)
	case Roster:
		c.RosterRows[row.Name] = append(c.RosterRows[row.Name], condition)
		return decodeInto(row, c.Roster, row.Name, RosterRecord.Merge)
	}
	number, err := strconv.ParseInt(row.Name, 10, 64)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "parse wave number in row name")
	}
	return decodeInto(row, c.Waves, number, WaveProgress.Merge)
}

func decodeInto[K comparable, V any](row table.Row, values map[K]V, k K, merge func(V, V) V) error {
	var value V
	err := json.Unmarshal(row.Value, &value)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode row %s", row.Name)
	}
	existing, ok := values[k]
	if ok {
		value = merge(existing, value)
	}
	values[k] = value
	return nil
}

// Guard is a guard that was raised, with its new version and the epoch that it had before, 0 if there was none.
type Guard struct {
	Version       uint64
	PreviousEpoch int64
}

// RaiseGuard writes the epoch to the guard of one partition, which makes all writes conditional on an earlier version
// fail; it fails with kind Conflict if the guard has a later epoch.
func RaiseGuard(ctx context.Context, store *table.Store, partition string, epoch int64) (Guard, error) {
	k := guardKey(partition)
	page, err := store.Read(ctx, table.Range{Table: k.Table, Partition: partition, From: k.Name, Limit: 1})
	if err != nil {
		return Guard{}, err
	}
	var previous table.Row
	var current struct {
		Epoch int64 `json:"epoch"`
	}
	if len(page.Rows) > 0 && page.Rows[0].Name == k.Name {
		previous = page.Rows[0]
		err = json.Unmarshal(previous.Value, &current)
		if err != nil {
			return Guard{}, fault.Wrap(fault.Internal, err, "decode ledger guard")
		}
	}
	if current.Epoch > epoch {
		return Guard{}, fault.New(fault.Conflict, "ledger guard has epoch %d, later than this leader's", current.Epoch)
	}
	result, err := store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: k, Version: previous.Version}},
		Writes:     []table.Write{{Key: k, Value: Encode(map[string]int64{"epoch": epoch})}},
	})
	return Guard{Version: result.Version, PreviousEpoch: current.Epoch}, err
}
