package ledger_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// cancelBed is a store with two entries' clients of it.
type cancelBed struct {
	store         *emulator.Store
	jobs          *ledger.JobStore
	writer, other *ledger.SubmissionWriter
}

func newCancelBed() *cancelBed {
	store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
	client := store.Client("entry")
	return &cancelBed{
		store: store, jobs: &ledger.JobStore{Store: client}, writer: &ledger.SubmissionWriter{Store: client},
		other: &ledger.SubmissionWriter{Store: store.Client("other")},
	}
}

func job(tenant string) *work.Job {
	return &work.Job{ID: jobID, Queue: "q", Tenant: tenant, Digest: 7, Steps: make([]work.Step, 1)}
}

// Guards against a job that runs after its cancel was acknowledged: the store carries out the write of its submission later.
func TestLateSubmissionAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCancelBed()
		b.store.HoldUp(jobID, 5*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.writer.Submit(ctx, job(""))
		assert.Equal(t, fault.As(err).Outcome(), fault.Unknown)
		began := time.Now()
		assert.NilError(t, b.writer.CancelUnknown(t.Context(), jobID, ""))
		assert.Assert(t, time.Since(began) < 100*time.Millisecond, "the cancel waits for the submission")
		time.Sleep(10 * time.Second)
		_, err = b.jobs.Find(t.Context(), jobID)
		assert.Assert(t, fault.IsKind(err, fault.NotExist), "%v", err)
		assert.NilError(t, b.other.CancelUnknown(t.Context(), jobID, ""))
	})
}

// Guards against a job that runs after its cancel was acknowledged: its caller sends the submission again.
func TestSubmissionAfterCancel(t *testing.T) {
	tests := []struct {
		name, canceller, submitter string
		kind                       fault.Kind
	}{
		{"without tenants", "", "", 0},
		{"same tenant", "a", "a", 0},
		{"cancelled without a tenant", "", "a", 0},
		{"another tenant", "a", "b", fault.KeyReused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newCancelBed()
				assert.NilError(t, b.writer.CancelUnknown(t.Context(), jobID, test.canceller))
				for range 2 {
					stored, err := b.other.Submit(t.Context(), job(test.submitter))
					if test.kind != 0 {
						assert.Assert(t, fault.IsKind(err, test.kind), "%v", err)
						continue
					}
					assert.NilError(t, err)
					assert.Assert(t, stored.Ended && stored.Job == nil)
				}
				state, err := b.jobs.Find(t.Context(), jobID)
				if test.kind != 0 {
					assert.Assert(t, fault.IsKind(err, fault.NotExist), "%v", err)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, state, work.Cancelled)
			})
		})
	}
}

// Guards against a cancel that is acknowledged as one of an unknown job although the job has just been stored.
func TestCancelOfJobStoredMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCancelBed()
		_, err := b.other.Submit(t.Context(), job(""))
		assert.NilError(t, err)
		err = b.writer.CancelUnknown(t.Context(), jobID, "")
		assert.Assert(t, fault.IsKind(err, fault.Conflict), "%v", err)
	})
}

// Guards against a submission that is never answered because the row of an earlier cancel expires while it is being replaced.
func TestSubmissionWhileCancelExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCancelBed()
		assert.NilError(t, b.writer.CancelUnknown(t.Context(), jobID, ""))
		commit, calls := b.writer.Store.Commit, 0
		b.writer.Store.Commit = func(ctx context.Context, txn table.Txn) (table.Result, error) {
			calls++
			if calls == 2 {
				b.store.Remove(ledger.EndedKey(jobID))
			}
			result, err := commit(ctx, txn)
			if fault.IsKind(err, fault.Conflict) && len(result.Current) == 0 {
				// The platform may list rows that don't exist.
				result.Current = []table.Row{{Key: ledger.EndedKey(jobID)}}
			}
			return result, err
		}
		stored, err := b.writer.Submit(t.Context(), job(""))
		assert.NilError(t, err)
		assert.Assert(t, stored.Job != nil)
		assert.Equal(t, calls, 3)
	})
}
