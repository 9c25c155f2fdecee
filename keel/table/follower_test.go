package table_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

const testTable = "jobs"

// testbed follows a table of three partitions, whose reads can be made to fail.
type testbed struct {
	store *emulator.Store

	mu sync.Mutex
	// failing holds the partitions whose reads fail, and whether they get no response.
	failing map[string]bool
	rows    map[string]uint64
	// failures and successes count the calls of OnError and OnSuccess.
	failures, successes int
}

// follow runs the test with a follower of the table on a fake clock.
func follow(t *testing.T, test func(t *testing.T, b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{store: emulator.NewStore(rand.New(rand.NewPCG(1, 1))), failing: make(map[string]bool), rows: make(map[string]uint64)}
		b.put("0", "old-0")
		b.put("1", "old-1")
		b.put("2", "old-2")
		test(t, b)
	})
}

// start starts a follower that ends with the test.
func (b *testbed) start(t *testing.T) {
	client := b.store.Client("entry")
	read := client.Read
	client.Read = func(ctx context.Context, r table.Range) (table.Page, error) {
		b.mu.Lock()
		silent, failing := b.failing[r.Partition]
		b.mu.Unlock()
		if failing && silent {
			<-ctx.Done()
		}
		if failing {
			return table.Page{}, fault.New(fault.PlatformUnavailable, "partition %s unavailable", r.Partition)
		}
		return read(ctx, r)
	}
	f := &table.Follower{
		Store: client, Table: testTable, Partitions: []string{"0", "1", "2"},
		OnRows: func(rows []table.Row, _ bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			for _, row := range rows {
				b.rows[row.Name] = row.Version
			}
		},
		OnError:   func(error) { b.count(&b.failures) },
		OnSuccess: func() { b.count(&b.successes) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (b *testbed) count(calls *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*calls++
}

func (b *testbed) put(partition, name string) {
	b.store.Put(table.Write{Key: table.Key{Table: testTable, Partition: partition, Name: name}, Value: []byte("{}")})
}

// setFailing makes the reads of one partition fail, without a response if silent is set.
func (b *testbed) setFailing(partition string, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing[partition] = silent
}

func (b *testbed) recover() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.failing)
}

// names returns the names of the rows that the follower delivered.
func (b *testbed) names() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.rows))
}

// version returns the version of a row as delivered last.
func (b *testbed) version(name string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rows[name]
}

// reports returns the number of calls of OnError and OnSuccess.
func (b *testbed) reports() (failures, successes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures, b.successes
}

// Guards against a table of which nothing is delivered while one of its partitions can't be read, at the start and after
// the history of changes is gone.
func TestFollowerWithoutOnePartition(t *testing.T) {
	for name, silent := range map[string]bool{"rejected": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			follow(t, func(t *testing.T, b *testbed) {
				b.setFailing("1", silent)
				b.start(t)
				time.Sleep(500 * time.Millisecond)
				assert.DeepEqual(t, b.names(), []string{"old-0", "old-2"})
				b.put("0", "new-0")
				b.put("1", "new-1")
				time.Sleep(500 * time.Millisecond)
				assert.DeepEqual(t, b.names(), []string{"new-0", "new-1", "old-0", "old-2"})

				b.store.DropHistory()
				b.put("2", "later-2")
				time.Sleep(time.Second)
				assert.DeepEqual(t, b.names(), []string{"later-2", "new-0", "new-1", "old-0", "old-2"})

				b.recover()
				time.Sleep(3 * time.Second)
				assert.DeepEqual(t, b.names(), []string{"later-2", "new-0", "new-1", "old-0", "old-1", "old-2"})
			})
		})
	}
}

// Guards against a change that is lost because it is written between the read of one partition and that of another, or
// while the history of changes is gone.
func TestFollowerDeliversChangesDuringReads(t *testing.T) {
	follow(t, func(t *testing.T, b *testbed) {
		b.setFailing("2", true)
		b.start(t)
		time.Sleep(time.Second)
		b.put("0", "old-0")
		b.put("2", "old-2")
		b.store.DropHistory()
		b.put("0", "old-0")
		b.recover()
		b.put("2", "old-2")
		time.Sleep(4 * time.Second)
		for _, name := range []string{"old-0", "old-1", "old-2"} {
			partition := name[len(name)-1:]
			row, _ := b.store.Get(table.Key{Table: testTable, Partition: partition, Name: name})
			assert.Equal(t, b.version(name), row.Version, name)
		}
	})
}

// Guards against a partition that is never read because it has more rows than one timeout suffices for while the store is
// slow.
func TestFollowerReadsLargePartition(t *testing.T) {
	follow(t, func(t *testing.T, b *testbed) {
		for i := range 8000 {
			b.put("1", fmt.Sprintf("%016x", i))
		}
		b.store.Inject(&emulator.StoreFault{SlowFactor: 60})
		b.start(t)
		time.Sleep(15 * time.Second)
		assert.Equal(t, len(b.names()), 8003)
	})
}

// Guards against a log with an outage that ends at each poll while a partition can't be read.
func TestFollowerReportsUnreadPartition(t *testing.T) {
	follow(t, func(t *testing.T, b *testbed) {
		b.setFailing("1", false)
		b.start(t)
		time.Sleep(3 * time.Second)
		failures, successes := b.reports()
		assert.Assert(t, failures > 0)
		assert.Equal(t, successes, 0)
		b.recover()
		time.Sleep(3 * time.Second)
		_, successes = b.reports()
		assert.Assert(t, successes > 0)
	})
}
