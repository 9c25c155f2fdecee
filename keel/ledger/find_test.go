package ledger_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

const jobID = "00000000000000a1"

// Guards against NotExist for a job that ends while it is looked up: between the lookup's two reads, the leader stores
// the outcome and replaces the submission by its stub.
func TestFindWhileTheJobEnds(t *testing.T) {
	store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
	store.Put(table.Write{Key: ledger.SubmissionKey(jobID), Value: ledger.Encode(work.Job{ID: jobID})})
	client := store.Client("entry")
	inner := client.Read
	ended := false
	client.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		if r.Table == ledger.Submissions && !ended {
			ended = true
			outcome := ledger.JobRecord{Outcome: &work.Outcome{State: work.Completed}}
			store.Put(
				table.Write{Key: ledger.InPartition("ledger0", ledger.JobRecordKey(jobID)), Value: ledger.Encode(outcome)},
				table.Write{Key: ledger.SubmissionKey(jobID), Value: ledger.Encode(ledger.Stub{ID: jobID, Ended: true})},
			)
		}
		return inner(ctx, r)
	}
	state, err := (&ledger.JobStore{Store: client}).Find(context.Background(), jobID)
	assert.NilError(t, err)
	assert.Equal(t, state, work.Completed)
}

// Guards against a state of a job one of whose rows can't be decoded, for example one of a later build: the job may have
// ended.
func TestFindUnreadableJob(t *testing.T) {
	submission := table.Write{Key: ledger.SubmissionKey(jobID), Value: ledger.Encode(work.Job{ID: jobID})}
	for _, unreadable := range []table.Key{ledger.SubmissionKey(jobID), ledger.InPartition("ledger1", ledger.JobRecordKey(jobID))} {
		store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
		store.Put(submission, table.Write{Key: unreadable, Value: []byte("later")})
		jobs := &ledger.JobStore{Store: store.Client("entry")}
		_, err := jobs.Find(context.Background(), jobID)
		assert.Assert(t, fault.IsKind(err, fault.Internal), "%s: %v", unreadable.Table, err)
		err = jobs.Cancel(context.Background(), jobID)
		assert.Assert(t, fault.IsKind(err, fault.Internal), "%s: %v", unreadable.Table, err)
	}
}
