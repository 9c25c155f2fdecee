package schedule

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/work"
)

// ageingSizes are the sizes of what a deployment keeps.
type ageingSizes struct {
	rows                                              map[string]int
	jobs, retired, lateStarts, doubts, stale, workers int
}

func (b *testbed) ageingSizes() ageingSizes {
	sizes := ageingSizes{rows: b.rowsOf(ledger.Submissions, ledger.Ended, ledger.JobRecords, ledger.Cancels, ledger.Roster)}
	b.onLoop(func() {
		sizes.jobs, sizes.retired, sizes.workers = len(b.s.jobs), len(b.s.retired), len(b.s.workers)
		for _, late := range b.s.lateStarts {
			sizes.lateStarts += len(late)
		}
		sizes.doubts = len(b.s.doubts)
		for _, rows := range b.s.ledger.stale {
			sizes.stale += len(rows)
		}
	})
	return sizes
}

// disturbRound disturbs the round of the ageing test after its job number i.
func (b *testbed) disturbRound(round, i int) {
	switch i {
	case 60:
		b.fleet.Crash(fmt.Sprintf("m%d", round%4), 3*time.Second)
	case 120:
		b.nextEpoch()
	case 180:
		if round > 0 {
			b.fleet.Remove(fmt.Sprintf("x%d", round-1))
		}
		b.addInstance(fmt.Sprintf("x%d", round))
	}
}

// Guards against state that grows with the age of a deployment: two minutes of short jobs, some of them cancelled or hopeless, a
// long-running job that fails again and again, workers that crash and leave, and changes of leader, are played again and again.
// SAMPHIREKEEL_AGE is the number of rounds, 4 without it.
func TestStateStaysBounded(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("SAMPHIREKEEL_AGE"))
	rounds = max(4, rounds)
	withTestbed(t, func(b *testbed) {
		const (
			retention = 20 * time.Second
			perRound  = 240
			interval  = 500 * time.Millisecond
		)
		b.jobRetention = retention
		for i := range 4 {
			b.addInstance(fmt.Sprintf("m%d", i))
		}
		b.startEpoch(1, "p")
		time.Sleep(500 * time.Millisecond)
		service := longRunningJob(6, 1)
		service.Steps[0].Size.MilliCores = 100
		b.submitWith(service, 0, true)
		jobs := &ledger.JobStore{Store: b.store.Client("entry")}
		number := 1 << 20
		for round := range rounds {
			for i := range perRound {
				number++
				id := fmt.Sprintf("%016x", number)
				b.submitWith(singleStepJob(id, "p", 1+number%5, 200*time.Millisecond), 200*time.Millisecond, number%17 == 0)
				if number%13 == 0 {
					b.checker.CancelRequested(id)
					assert.NilError(t, jobs.Cancel(context.Background(), id))
					b.checker.Cancelled(id)
				}
				b.disturbRound(round, i)
				time.Sleep(interval)
			}
			sizes := b.ageingSizes()
			t.Logf("round %d: %+v", round, sizes)
			// Rows go 2 × retention after the end, and a sweep of each partition takes place every 30 s.
			kept := int((2*retention + sweepInterval + 10*time.Second) / interval)
			assert.Check(t, sizes.rows[ledger.Ended] <= kept, "%d rows of ended jobs, at most %d", sizes.rows[ledger.Ended], kept)
			assert.Check(t, sizes.rows[ledger.Submissions] <= 20 && sizes.rows[ledger.JobRecords] <= 40)
			assert.Check(t, sizes.rows[ledger.Cancels] <= 20 && sizes.rows[ledger.Roster] <= 8)
			assert.Check(t, sizes.jobs <= int((retention+10*time.Second)/interval) && sizes.stale <= 60)
			assert.Check(t, sizes.lateStarts <= 5 && sizes.doubts <= 5 && sizes.workers <= 6)
		}
		var state work.State
		b.onLoop(func() { state, _ = b.s.State(firstJob) })
		assert.Equal(t, state, work.Running)
		b.checker.Cancelled(firstJob)
		b.onLoop(func() { b.s.Cancel(firstJob, func() {}) })
		time.Sleep(5 * time.Second)
	})
}
