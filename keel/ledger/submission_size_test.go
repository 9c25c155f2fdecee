package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// jobInPartition returns a job of n steps whose submission lies in the same partition as those of other calls.
func jobInPartition(number, steps int) *work.Job {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%012x%04x", i, number)
		if ledger.PartitionOf(id) == "0" {
			return &work.Job{ID: id, Steps: make([]work.Step, steps)}
		}
	}
}

// Guards against a job that is rejected as if it could be stored later, with all jobs that share its transaction: its submission
// is larger than a row may be.
func TestSubmissionThatCantBeStored(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("limit_known_%t", known), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.NewStore(rand.New(rand.NewPCG(1, 1)))
				store.RowBytes = 4096
				w := &ledger.SubmissionWriter{Store: store.Client("entry"), RowBytes: 4096}
				if !known {
					w.RowBytes = 6000
				}
				const jobs = 20
				errs := make([]error, jobs)
				var group sync.WaitGroup
				for i := range jobs {
					steps := 2
					if i%5 == 3 {
						steps = 300
					}
					group.Go(func() { _, errs[i] = w.Submit(context.Background(), jobInPartition(i, steps)) })
				}
				group.Wait()
				for i, err := range errs {
					if i%5 != 3 {
						assert.NilError(t, err)
						continue
					}
					assert.Assert(t, fault.IsKind(err, fault.TooLarge), "%v", err)
					assert.Equal(t, fault.As(err).Outcome(), fault.NotRun)
				}
			})
		})
	}
}
