package site

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// Guards against requests that read all stored jobs each, while no entry leads.
func TestPendingJobsAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		load := func(context.Context) (ledger.Contents, error) {
			reads++
			time.Sleep(100 * time.Millisecond)
			if reads == 3 {
				return ledger.Contents{}, fault.New(fault.PlatformUnavailable, "away")
			}
			job := &work.Job{ID: "00000000000000a1", Queue: "q"}
			return ledger.Contents{Jobs: []ledger.Submission{{Job: job}}}, nil
		}
		var p pendingCounts
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				pending, err := p.count(t.Context(), "q", load)
				assert.Check(t, err)
				assert.Check(t, pending == 1)
			})
		}
		group.Wait()
		assert.Equal(t, reads, 1)
		_, err := p.count(t.Context(), "r", load)
		assert.NilError(t, err)
		assert.Equal(t, reads, 1)
		time.Sleep(pendingReuseTime)
		// A caller that gives up doesn't end the read for the others.
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = p.count(ctx, "q", load)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		pending, err := p.count(t.Context(), "q", load)
		assert.NilError(t, err)
		assert.Equal(t, pending, 1)
		assert.Equal(t, reads, 2)
		time.Sleep(pendingReuseTime)
		_, err = p.count(t.Context(), "q", load)
		assert.Assert(t, fault.IsKind(err, fault.PlatformUnavailable))
	})
}
