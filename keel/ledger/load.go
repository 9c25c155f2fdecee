package ledger

import (
	"context"
	"encoding/json"
	"strconv"

	"golang.org/x/sync/errgroup"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

// ListSubmissionPartitions lists the parts of submissions.
func ListSubmissionPartitions() []string {
	parts := make([]string, SubmissionPartitions)
	for i := range parts {
		parts[i] = strconv.Itoa(i)
	}
	return parts
}

// Unreadable is a row that can't be read.
type Unreadable struct {
	table.Row
	Reason string
}

// Contents is all that a new leader has to know.
type Contents struct {
	// Jobs holds the submissions that are open or whose stub isn't written yet.
	Jobs       []Submission
	JobRecords map[string]JobRecord
	Cancels    []string
	Roster     map[string]RosterRecord
	// RosterRows holds where a worker's rows lie, with their versions.
	RosterRows map[string][]table.Condition
	Waves      map[int64]WaveProgress
	Unreadable []Unreadable
}

// Load reads the ledger; submissions that come meanwhile are found by following their table.
func Load(ctx context.Context, store *table.Store) (Contents, error) {
	var ranges []table.Range
	for _, part := range LeaderPartitions() {
		for _, name := range []string{JobRecords, Cancels, Roster, Waves} {
			ranges = append(ranges, table.Range{Table: name, Partition: part})
		}
	}
	for _, part := range ListSubmissionPartitions() {
		ranges = append(ranges, table.Range{Table: Submissions, Partition: part})
	}
	pages := make([]table.Page, len(ranges))
	group, ctx := errgroup.WithContext(ctx)
	for i, r := range ranges {
		group.Go(func() error {
			page, err := store.ReadAll(ctx, r)
			pages[i] = page
			return err
		})
	}
	err := group.Wait()
	if err != nil {
		return Contents{}, err
	}
	c := Contents{
		JobRecords: make(map[string]JobRecord), Roster: make(map[string]RosterRecord), RosterRows: make(map[string][]table.Condition),
		Waves: make(map[int64]WaveProgress),
	}
	for _, page := range pages {
		for _, row := range page.Rows {
			err := c.take(row)
			if err != nil {
				c.Unreadable = append(c.Unreadable, Unreadable{Row: row, Reason: err.Error()})
			}
		}
	}
	return c, nil
}

func (c *Contents) take(row table.Row) error {
	switch row.Table {
	case Submissions:
		submission, err := DecodeSubmission(row)
		if err == nil && !submission.Ended {
			c.Jobs = append(c.Jobs, submission)
		}
		return err
	case Cancels:
		c.Cancels = append(c.Cancels, row.Name)
		return nil
	case JobRecords:
		return decodeInto(row, c.JobRecords, row.Name, JobRecord.Merge)
	case Roster:
		c.RosterRows[row.Name] = append(c.RosterRows[row.Name], table.Condition{Key: row.Key, Version: row.Version})
		return decodeInto(row, c.Roster, row.Name, func(a, _ RosterRecord) RosterRecord { return a })
	}
	number, err := strconv.ParseInt(row.Name, 10, 64)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "name of the notes on a wave")
	}
	return decodeInto(row, c.Waves, number, WaveProgress.Merge)
}

func decodeInto[K comparable, V any](row table.Row, all map[K]V, k K, merge func(V, V) V) error {
	var value V
	err := json.Unmarshal(row.Value, &value)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "row %s", row.Name)
	}
	known, ok := all[k]
	if ok {
		value = merge(known, value)
	}
	all[k] = value
	return nil
}

// RaiseGuards puts the epoch before everything that the leader writes, and returns the guards' versions by part. It
// fails with kind Conflict if a later leader has done so.
func RaiseGuards(ctx context.Context, store *table.Store, epoch int64) (map[string]uint64, error) {
	parts := LeaderPartitions()
	versions := make([]uint64, len(parts))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, part := range parts {
		group.Go(func() error {
			version, err := RaiseGuard(groupCtx, store, part, epoch)
			versions[i] = version
			return err
		})
	}
	err := group.Wait()
	if err != nil {
		return nil, err
	}
	guards := make(map[string]uint64)
	for i, part := range parts {
		guards[part] = versions[i]
	}
	return guards, nil
}

// RaiseGuard writes the guard of one part anew, so that no earlier write to the part can take effect any more, and
// returns its version.
func RaiseGuard(ctx context.Context, store *table.Store, part string, epoch int64) (uint64, error) {
	k := guardKey(part)
	page, err := store.Read(ctx, table.Range{Table: k.Table, Partition: part, From: k.Name, Limit: 1})
	if err != nil {
		return 0, err
	}
	var before table.Row
	var held struct {
		Epoch int64 `json:"epoch"`
	}
	if len(page.Rows) > 0 && page.Rows[0].Name == k.Name {
		before = page.Rows[0]
		err = json.Unmarshal(before.Value, &held)
		if err != nil {
			return 0, fault.Wrap(fault.Internal, err, "guard of the ledger")
		}
	}
	if held.Epoch > epoch {
		return 0, fault.New(fault.Conflict, "epoch %d has taken over the ledger", held.Epoch)
	}
	result, err := store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: k, Version: before.Version}},
		Writes:     []table.Write{{Key: k, Value: Encode(map[string]int64{"epoch": epoch})}},
	})
	return result.Version, err
}
