package schedule

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
	"samphirekeel.example/keel/work"
)

// historyStore is a store that responds at once, with pages of 500 rows, and keeps no writes. The rows of ended jobs are made when
// they are read, so that the heap is that of the scheduler.
type historyStore struct {
	rows    map[table.Key][]table.Row
	ended   int
	version atomic.Uint64
}

const historyPage = 500

// add adds a row; the rows of each partition are added in the order of their names.
func (h *historyStore) add(k table.Key, value any) {
	in := table.Key{Table: k.Table, Partition: k.Partition}
	h.rows[in] = append(h.rows[in], table.Row{Key: k, Version: h.version.Add(1), Value: ledger.Encode(value)})
}

func (h *historyStore) client() *table.Store {
	return &table.Store{
		Commit: func(context.Context, table.Txn) (table.Result, error) {
			return table.Result{Version: h.version.Add(1), Now: time.Hour}, nil
		},
		Read: func(_ context.Context, r table.Range) (table.Page, error) {
			if r.Table == ledger.Ended {
				return h.endedPage(r), nil
			}
			all := h.rows[table.Key{Table: r.Table, Partition: r.Partition}]
			all = all[sort.Search(len(all), func(i int) bool { return all[i].Name >= r.From }):]
			limit := historyPage
			if r.Limit > 0 {
				limit = min(limit, r.Limit)
			}
			page := table.Page{Rows: all, Version: h.version.Load(), Now: time.Hour}
			if len(all) > limit {
				page.Rows, page.More = all[:limit], true
			}
			return page, nil
		},
		Feed: func(ctx context.Context, _ string, _ uint64, wait time.Duration) (table.Changes, error) {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			return table.Changes{Version: h.version.Load(), Now: time.Hour}, nil
		},
	}
}

// newHistory returns a store with jobs that have ended just now and open ones, of which half have been started.
func newHistory(ended, open int) *historyStore {
	h := &historyStore{rows: make(map[table.Key][]table.Row)}
	jobs := &jobSource{random: rand.New(rand.NewPCG(1, 1))}
	for range open {
		job := jobs.next("p")
		h.add(ledger.SubmissionKey(job.ID), job)
		if jobs.drawn%2 == 0 {
			h.add(ledger.InPartition("ledger0", ledger.JobRecordKey(job.ID)), ledger.JobRecord{Progress: &work.Progress{Started: true}})
		}
	}
	h.ended = ended
	return h
}

// endedPage returns a page of the rows of jobs that have ended just now, spread over the partitions.
func (h *historyStore) endedPage(r table.Range) table.Page {
	first := 0
	_, _ = fmt.Sscanf(r.From, "%x", &first)
	if r.From != "" {
		first++
	}
	page := table.Page{Version: h.version.Load(), Now: time.Hour}
	outcome := &work.Outcome{State: work.Completed, Queue: "p", Digest: 1, Ended: backlogWall.Milliseconds()}
	for i := first; i < h.ended/ledger.SubmissionPartitionCount; i++ {
		if len(page.Rows) == historyPage {
			page.More = true
			break
		}
		id := fmt.Sprintf("%016x", i)
		k := table.Key{Table: r.Table, Partition: r.Partition, Name: id}
		page.Rows = append(page.Rows, table.Row{Key: k, Version: 1, Value: ledger.Encode(ledger.Stub{ID: id, Digest: 1, Ended: true, Outcome: outcome})})
	}
	return page
}

// BenchmarkTakeover measures a takeover with 10,000 open jobs from its begin until the leader is ready, and the heap that it holds
// then, beyond that of the store.
func BenchmarkTakeover(b *testing.B) {
	const open = 10_000
	for _, ended := range []int{0, 100_000, 600_000} {
		b.Run(fmt.Sprintf("ended_%d", ended), func(b *testing.B) {
			h := newHistory(ended, open)
			loop := control.New(3000)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			started := make(chan struct{})
			go func() { _ = loop.Run(ctx, func() { close(started) }) }()
			<-started
			var held int64
			for epoch := range b.N {
				b.StopTimer()
				before := heapInUse()
				b.StartTimer()
				s := newTakeoverScheduler(h.client(), loop, int64(epoch+1))
				loop.Post(ctx, s.Begin)
				for !takeoverReady(ctx, loop, s) {
					time.Sleep(100 * time.Microsecond)
				}
				b.StopTimer()
				held = max(held, heapInUse()-before)
				loop.Post(ctx, s.End)
				b.StartTimer()
			}
			b.ReportMetric(float64(held)/(1<<20), "MB")
		})
	}
}

func takeoverReady(ctx context.Context, loop *control.Loop, s *Scheduler) bool {
	ready := make(chan bool, 1)
	loop.Post(ctx, func() { ready <- s.Ready() })
	return <-ready
}

func newTakeoverScheduler(store *table.Store, loop *control.Loop, epoch int64) *Scheduler {
	config := queue.NewConfig(1, []*queue.Queue{{Name: "p", Pool: "p", MaxAttempts: 4, Stretch: 1.6}}, []queue.Pool{{Name: "p"}}, queue.Limits{})
	return &Scheduler{
		Loop: loop, Log: event.New(io.Discard, true), Store: store, Workers: acceptingWorkers(), Holder: "leader", Epoch: epoch, Config: config,
		InstanceOrdersFrom: make(map[string]time.Duration),
		Now:                func() time.Duration { return backlogClock }, Wall: func() time.Duration { return backlogWall },
		LeaseValid: func() bool { return true },
		Rows: RowCodec{
			Registration: emulator.DecodeRegistration, RegistrationTable: emulator.RegistrationTable,
			WaveStatus: func(int64, bool) table.Write { return table.Write{Key: table.Key{Table: "status", Name: "wave"}} },
		},
	}
}
