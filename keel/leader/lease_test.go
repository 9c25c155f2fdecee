package leader_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/leader"
	"samphirekeel.example/keel/table"
)

// leasePartitions lists the partitions of the lease's rows.
var leasePartitions = []string{"lease0", "lease1", "lease2", "lease3", "lease4"}

// testbed runs candidates for the lease on an emulated store, whose partitions can be made unavailable.
type testbed struct {
	t     *testing.T
	store *emulator.Store
	began time.Time

	mu sync.Mutex
	// unavailable lists the partitions that reject reads and transactions, and unavailableTo those that reject them of one
	// candidate.
	unavailable   []string
	unavailableTo map[string][]string
	leases        map[string]*candidate
	// epoch is the latest epoch under which a candidate held the lease.
	epoch int64
}

// candidate is one entry that may hold the lease.
type candidate struct {
	lease *leader.Lease
	stop  context.CancelFunc
}

func withTestbed(t *testing.T, test func(b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{
			t: t, store: emulator.NewStore(rand.New(rand.NewPCG(1, 1))), began: time.Now(), leases: make(map[string]*candidate),
		}
		defer func() {
			for name := range b.leases {
				b.kill(name)
			}
		}()
		test(b)
	})
}

// client returns a client of the store that fails calls to unavailable partitions.
func (b *testbed) client(name string) *table.Store {
	store := b.store.Client(name)
	read, commit := store.Read, store.Commit
	refused := func(partition string) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		if slices.Contains(b.unavailable, partition) || slices.Contains(b.unavailableTo[name], partition) {
			return fault.New(fault.PlatformUnavailable, "partition %s unavailable", partition).WithOutcome(fault.NotRun)
		}
		return nil
	}
	store.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		err := refused(r.Partition)
		if err != nil {
			return table.Page{}, err
		}
		return read(ctx, r)
	}
	store.Commit = func(ctx context.Context, txn table.Txn) (table.Result, error) {
		err := refused(txn.Writes[0].Partition)
		if err != nil {
			return table.Result{}, err
		}
		return commit(ctx, txn)
	}
	return store
}

// setUnavailable replaces the list of unavailable partitions.
func (b *testbed) setUnavailable(partitions ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unavailable = partitions
}

// setUnavailableTo replaces the list of partitions that are unavailable to one candidate.
func (b *testbed) setUnavailableTo(name string, partitions ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailableTo == nil {
		b.unavailableTo = make(map[string][]string)
	}
	b.unavailableTo[name] = partitions
}

// start starts a candidate.
func (b *testbed) start(name string, rank int) *leader.Lease {
	ctx, cancel := context.WithCancel(b.t.Context())
	loop := control.New(100)
	l := &leader.Lease{
		Store: b.client(name), Loop: loop, Log: event.New(io.Discard, true), Name: name, Address: name, Rank: rank,
		Now:        func() time.Duration { return time.Since(b.began) + time.Hour },
		OnAcquired: func(int64, leader.Record) {}, OnLost: func(string) {},
	}
	started, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- loop.Run(ctx, func() {
			l.Start()
			close(started)
		})
	}()
	<-started
	b.leases[name] = &candidate{lease: l, stop: func() {
		cancel()
		assert.NilError(b.t, <-ended)
	}}
	return l
}

// holder returns the name of the candidate that holds the lease, empty if none does. It fails the test if several do, or if
// the epoch has gone down.
func (b *testbed) holder() string {
	holder := ""
	for name, c := range b.leases {
		if !c.lease.Valid() {
			continue
		}
		assert.Assert(b.t, holder == "", "%s and %s hold the lease", holder, name)
		holder = name
		epoch := c.lease.Leader().Epoch
		assert.Assert(b.t, epoch >= b.epoch, "%s holds epoch %d after %d", name, epoch, b.epoch)
		b.epoch = epoch
	}
	return holder
}

// kill stops a candidate without a release of the lease.
func (b *testbed) kill(name string) {
	b.leases[name].stop()
	delete(b.leases, name)
	synctest.Wait()
}

// Guards against a lease that nobody can acquire although a quorum of its rows is available. The change feed no longer
// has the changes since the candidate's last poll, or since version 0 for one that starts, and one row can't be read.
func TestLeaseAcquiredWithoutOneRow(t *testing.T) {
	for _, partition := range leasePartitions {
		t.Run(partition, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.start("first", 0)
				b.start("second", 1)
				time.Sleep(3 * time.Second)
				first := b.holder()
				assert.Assert(t, first != "")
				b.setUnavailable(partition)
				b.store.DropHistory()
				third := b.start("third", 2)
				time.Sleep(time.Second)
				assert.Equal(t, third.Leader().Holder, first)
				b.kill(first)
				time.Sleep(4 * time.Second)
				second := b.holder()
				assert.Assert(t, second != "")
				b.kill(second)
				time.Sleep(4 * time.Second)
				assert.Assert(t, b.holder() != "")
			})
		})
	}
}

// Guards against a holder that never renews one of the rows. Another candidate wrote it under the same epoch, or a later one,
// in an attempt that reached no quorum, so that the loss of one more row ends the lease.
func TestRowOfFailedAttemptRenewed(t *testing.T) {
	t.Run("same_epoch", func(t *testing.T) { testRowOfFailedAttempt(t, 0) })
	t.Run("later_epoch", func(t *testing.T) { testRowOfFailedAttempt(t, 1) })
}

func testRowOfFailedAttempt(t *testing.T, later int64) {
	withTestbed(t, func(b *testbed) {
		b.setUnavailable("lease2")
		l := b.start("first", 0)
		time.Sleep(3 * time.Second)
		assert.Assert(t, l.Valid())
		key := table.Key{Table: leader.Table, Partition: "lease2", Name: "leader"}
		attempt := leader.Record{Holder: "second", Address: "second", Epoch: l.Leader().Epoch + later, LeaseMillis: 1300}
		b.store.Put(table.Write{Key: key, Value: encode(t, attempt)})
		b.setUnavailable()
		time.Sleep(3 * time.Second)
		row, _ := b.store.Get(key)
		var record leader.Record
		assert.NilError(t, json.Unmarshal(row.Value, &record))
		assert.Equal(t, record.Holder, "first")
		b.setUnavailable("lease0")
		time.Sleep(6 * time.Second)
		assert.Assert(t, l.Valid())
		// The epoch of the attempt isn't used again.
		b.setUnavailable()
		b.kill("first")
		second := b.start("second", 0)
		time.Sleep(6 * time.Second)
		assert.Assert(t, second.Valid())
		assert.Assert(t, second.Leader().Epoch > attempt.Epoch)
	})
}

func encode(t *testing.T, record leader.Record) []byte {
	value, err := json.Marshal(record)
	assert.NilError(t, err)
	return value
}

// holding samples who holds the lease for the duration, and returns the share of the samples in which somebody does and the
// number of times that the holder changed.
func (b *testbed) holding(duration time.Duration) (held float64, changes int) {
	const interval = 20 * time.Millisecond
	samples, valid, last := 0, 0, b.holder()
	for ; samples < int(duration/interval); samples++ {
		time.Sleep(interval)
		holder := b.holder()
		if holder == "" {
			continue
		}
		valid++
		if holder != last {
			changes++
		}
		last = holder
	}
	return float64(valid) / float64(samples), changes
}

// Guards against leaders that follow one another every few seconds while the store loses the responses of some writes, which
// it may carry out seconds later: a renewal without a response kept its row from being renewed for longer than the lease.
func TestLeaseKeptWhileResponsesAreLost(t *testing.T) {
	for _, outage := range []emulator.Outage{emulator.Lost, emulator.Late} {
		t.Run(string(outage), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				for rank, name := range []string{"first", "second", "third", "fourth", "fifth", "sixth"} {
					b.start(name, rank)
				}
				time.Sleep(3 * time.Second)
				b.store.Inject(&emulator.StoreFault{Outage: outage})
				held, changes := b.holding(time.Minute)
				t.Logf("held for %.3f of the time, %d changes", held, changes)
				assert.Assert(t, held > 0.95)
				assert.Assert(t, changes <= 2)
			})
		})
	}
}

// Guards against two holders at once after the store was slow: others go by the latest record of the holder, whose lease is
// short again, while the holder counts on an earlier one with a longer lease.
func TestShorterLeaseEndsNoLongerOne(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 50 * time.Millisecond {
		withTestbed(t, func(b *testbed) {
			b.start("first", 0)
			b.start("second", 1)
			time.Sleep(3 * time.Second)
			slow := &emulator.StoreFault{SlowFactor: 60}
			b.store.Inject(slow)
			time.Sleep(5 * time.Second)
			b.store.Clear(slow)
			time.Sleep(after)
			holder := b.holder()
			if holder != "" {
				b.store.Inject(&emulator.StoreFault{Outage: emulator.Silent, Callers: []string{holder}})
			}
			held, _ := b.holding(10 * time.Second)
			assert.Assert(t, held > 0.3)
		})
	}
}
