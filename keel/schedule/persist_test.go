package schedule

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// rejectInvalid makes the store reject the transactions for which invalid returns true, as it rejects those that exceed
// its limits.
func (b *testbed) rejectInvalid(invalid func(table.Txn) bool) {
	inner := b.store.Client("leader").Commit
	b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
		if invalid(txn) {
			return table.Result{}, fault.New(fault.Internal, "rejected with status 400").WithOutcome(fault.NotRun)
		}
		return inner(ctx, txn)
	})
}

// Guards against a ledger that stores nothing any more because the store rejects one job's row, for example as too large.
func TestRejectedRowHoldsOnlyItsJob(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpoch(1, "p")
		time.Sleep(2 * time.Second)
		b.rejectInvalid(func(txn table.Txn) bool {
			for _, w := range txn.Writes {
				if w.Table == ledger.JobRecords && w.Name == firstJob {
					return true
				}
			}
			return false
		})
		const others = 30
		b.submit(singleStepJob(firstJob, "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		for i := range others {
			b.submit(singleStepJob(fmt.Sprintf("%016x", i), "p", 1, 100*time.Millisecond), 100*time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		completed := 0
		b.onLoop(func() {
			for i := range others {
				state, _ := b.s.State(fmt.Sprintf("%016x", i))
				if state == work.Completed {
					completed++
				}
			}
		})
		assert.Equal(t, completed, others)
		assert.Equal(t, b.state(), work.Running)
		b.setCommit(nil)
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.state(), work.Completed)
	})
}

// Guards against a transaction that the store rejects because its rows together exceed 1 MB.
func TestLedgerTransactionSize(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		rejected := false
		b.rejectInvalid(func(txn table.Txn) bool {
			size := 0
			for _, w := range txn.Writes {
				size += base64.StdEncoding.EncodedLen(len(w.Value))
			}
			rejected = rejected || size > 1_000_000
			return size > 1_000_000
		})
		checkpoints := make(map[string]string)
		for i := range 1500 {
			checkpoints[fmt.Sprintf("0.0.%d", i)] = fmt.Sprintf("%016x", i)
		}
		var jobs []*job
		b.onLoop(func() {
			for i := range 60 {
				j := &job{Job: singleStepJob(fmt.Sprintf("%016x", i), "p", 1500, time.Second), checkpoints: checkpoints}
				jobs = append(jobs, j)
				b.s.markDirty(j)
			}
		})
		time.Sleep(5 * time.Second)
		stored := 0
		b.onLoop(func() {
			for _, j := range jobs {
				if j.storedChange == j.lastChange {
					stored++
				}
			}
		})
		assert.Equal(t, stored, len(jobs))
		assert.Assert(t, !rejected)
	})
}

// rosterCopies returns the number of rows that the ledger's roster has of the worker.
func (b *testbed) rosterCopies(id string) int {
	contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
	assert.NilError(b.t, err)
	return len(contents.RosterRows[id])
}

// Guards against a roster row of a worker that is gone, which holds back the jobs of its data centre after the next change
// of leader. The response to the row's first write was lost, and the row was written again to another partition.
func TestRosterCopiesRemoved(t *testing.T) {
	for name, writtenLate := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				inner := b.store.Client("leader").Commit
				lost := false
				b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
					if lost || len(txn.Writes) == 0 || txn.Writes[0].Table != ledger.Roster {
						return inner(ctx, txn)
					}
					lost = true
					if writtenLate {
						time.AfterFunc(3*time.Second, func() { _, _ = inner(context.Background(), txn) })
					} else {
						_, _ = inner(ctx, txn)
					}
					<-ctx.Done()
					return table.Result{}, fault.New(fault.PlatformUnavailable, "response lost").WithOutcome(fault.Unknown)
				})
				b.addInstance("m1")
				b.startEpoch(1, "p")
				time.Sleep(5 * time.Second)
				id := ""
				b.onLoop(func() {
					for _, w := range b.s.workers {
						id = w.ID
					}
				})
				assert.Equal(t, b.rosterCopies(id), 2)
				b.fleet.Remove("m1")
				time.Sleep(20 * time.Second)
				assert.Equal(t, b.rosterCopies(id), 0)
			})
		})
	}
}

// Guards against the roster row of a worker that is removed while the row is being written.
func TestRosterRowOfRemovedWorker(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		inner := b.store.Client("leader").Commit
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			if len(txn.Writes) > 0 && txn.Writes[0].Table == ledger.Roster {
				time.Sleep(200 * time.Millisecond)
			}
			return inner(ctx, txn)
		})
		b.addInstance("m1")
		id := ""
		b.startEpoch(1, "p")
		for id == "" {
			time.Sleep(10 * time.Millisecond)
			b.onLoop(func() {
				for _, w := range b.s.workers {
					if w.rostering {
						id = w.ID
						b.s.removeWorker(w, "its instance is gone")
					}
				}
			})
		}
		b.fleet.Remove("m1")
		time.Sleep(20 * time.Second)
		assert.Equal(t, b.rosterCopies(id), 0)
	})
}

// addJobs returns n jobs that the scheduler doesn't know.
func addJobs(n int) []*job {
	jobs := make([]*job, n)
	for i := range jobs {
		jobs[i] = &job{Job: singleStepJob(fmt.Sprintf("%016x", i), "p", 1, time.Second), checkpoints: make(map[string]string)}
	}
	return jobs
}

// Guards against ends that aren't acknowledged, and jobs that aren't shown as completed, for seconds: between two turns of
// a busy control loop the ledger stored a single transaction.
func TestLedgerOnBusyLoop(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		jobs := addJobs(2000)
		b.onLoop(func() {
			for _, j := range jobs {
				b.s.markDirty(j)
			}
		})
		for range 10 {
			b.onLoop(func() { time.Sleep(100 * time.Millisecond) })
		}
		stored := 0
		b.onLoop(func() {
			for _, j := range jobs {
				if j.storedChange == j.lastChange {
					stored++
				}
			}
		})
		assert.Equal(t, stored, len(jobs))
	})
}

// Guards against an older record that replaces a newer one of its job: the store applies transactions in flight in any
// order.
func TestLedgerHasRowInOneTransaction(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.startEpoch(1, "p")
		time.Sleep(time.Second)
		random := rand.New(rand.NewPCG(1, 4))
		inner := b.store.Client("leader").Commit
		inFlight, most, twice := make(map[string]bool), 0, 0
		b.setCommit(func(ctx context.Context, txn table.Txn) (table.Result, error) {
			b.mu.Lock()
			for _, w := range txn.Writes {
				if inFlight[w.Name] {
					twice++
				}
				inFlight[w.Name] = true
			}
			most = max(most, len(inFlight))
			delay := time.Duration(random.Int64N(int64(150 * time.Millisecond)))
			b.mu.Unlock()
			time.Sleep(delay)
			result, err := inner(ctx, txn)
			b.mu.Lock()
			for _, w := range txn.Writes {
				delete(inFlight, w.Name)
			}
			b.mu.Unlock()
			return result, err
		})
		jobs := addJobs(500)
		for round := range 60 {
			b.onLoop(func() {
				for _, j := range jobs {
					j.checkpoints["0.0.0"] = fmt.Sprint(round)
					b.s.markDirty(j)
				}
			})
			time.Sleep(17 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		b.mu.Lock()
		assert.Check(t, twice == 0, "%d rows in two transactions", twice)
		assert.Check(t, most == maxCommitsInFlight*maxBatchRows, "%d rows in flight", most)
		b.mu.Unlock()
		contents, err := ledger.Load(context.Background(), b.store.Client("reader"))
		assert.NilError(t, err)
		for _, j := range jobs {
			assert.Equal(t, contents.JobRecords[j.ID].Progress.Checkpoints["0.0.0"], "59")
		}
		b.setCommit(nil)
	})
}
