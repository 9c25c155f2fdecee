package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
)

const (
	// tableRate is the number of transactions a second that the stand-in's table carries.
	tableRate = 300
	// tableLatency is the time of one call without a queue.
	tableLatency = 3 * time.Millisecond
	// claimShare is the share of the rate that claims may use.
	claimShare = 200
	offerTime  = 4 * time.Second
)

// slowTable answers transactions one after another at tableRate, and loses the answers that would take too long.
type slowTable struct {
	inner *platform.Client
	mu    sync.Mutex
	free  time.Time
}

func (s *slowTable) call(ctx context.Context, method string, in, out any) error {
	s.mu.Lock()
	now := time.Now()
	if method == platform.MethodCommit {
		s.free = now.Add(max(0, s.free.Sub(now)) + time.Second/tableRate)
	}
	at := s.free.Add(tableLatency)
	if method != platform.MethodCommit {
		at = now.Add(tableLatency)
	}
	s.mu.Unlock()
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return s.inner.Call(ctx, method, in, out)
	case <-ctx.Done():
		return fault.Wrap(fault.PlatformUnavailable, ctx.Err(), "slow").WithOutcome(fault.Unknown)
	}
}

// ticketFunc claims a key and records its outcome; it returns after the claim.
type ticketFunc func(ctx context.Context, key string) error

// batched claims through one batcher for each entry.
func batched(client *platform.Client, entries int) []ticketFunc {
	gap := time.Second * time.Duration(entries) / claimShare
	var all []ticketFunc
	for i := range entries {
		service := &claim.Service{
			Incarnation: strconv.Itoa(i),
			Batcher:     &claim.Batcher{Client: client, CommitInterval: func() time.Duration { return gap }},
		}
		all = append(all, func(ctx context.Context, key string) error {
			ticket, _, err := service.Begin(ctx, claim.Request{Service: "a/b", Key: key})
			if err == nil {
				service.Finish(ticket, claim.Response{Status: 200, Body: []byte(key)}, 1000)
			}
			return err
		})
	}
	return all
}

// single is the baseline: a transaction for each claim and one for each outcome.
func single(client *platform.Client, entries int) []ticketFunc {
	one := func(ctx context.Context, key string) error {
		row := claim.Key("a/b", key)
		value, _ := json.Marshal(claim.Record{State: claim.Claimed})
		result, err := client.Commit(ctx, platform.Txn{
			Token: platform.NewToken(), Conditions: []platform.Condition{{Key: row}},
			Writes: []platform.Write{{Key: row, Value: value}},
		})
		if err != nil {
			return err
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = client.Commit(ctx, platform.Txn{
				Token: platform.NewToken(), Conditions: []platform.Condition{{Key: row, Version: result.Version}},
				Writes: []platform.Write{{Key: row, Value: value}},
			})
		}()
		return nil
	}
	return slices.Repeat([]ticketFunc{one}, entries)
}

// BenchmarkTickets offers tickets at a rate to some entries and reports what their claims add.
func BenchmarkTickets(b *testing.B) {
	ways := []struct {
		name string
		make func(*platform.Client, int) []ticketFunc
	}{{"batched", batched}, {"single", single}}
	for _, way := range ways {
		for _, entries := range []int{6, 69} {
			for _, rate := range []int{1, 100, 500, 2000} {
				b.Run(fmt.Sprintf("%s/entries=%d/offered=%d", way.name, entries, rate), func(b *testing.B) {
					for range b.N {
						offer(b, way.make, entries, rate)
					}
				})
			}
		}
	}
}

func offer(b *testing.B, make func(*platform.Client, int) []ticketFunc, entries, rate int) {
	stub := platformtest.New()
	table := &slowTable{inner: stub.Client("a")}
	tickets := make(&platform.Client{Call: table.call}, entries)
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var waits []time.Duration
	var group sync.WaitGroup
	number := max(4, rate*int(offerTime/time.Second))
	began := time.Now()
	for i := range number {
		time.Sleep(time.Until(began.Add(offerTime * time.Duration(i) / time.Duration(number))))
		one := tickets[random.IntN(entries)]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now()
			err := one(ctx, strconv.Itoa(i))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				waits = append(waits, time.Since(start))
			}
		})
	}
	group.Wait()
	took := time.Since(began).Seconds()
	slices.Sort(waits)
	if len(waits) > 0 {
		b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ms")
	}
	b.ReportMetric(float64(len(waits))/took, "claims/s")
	b.ReportMetric(100*float64(len(waits))/float64(number), "claimed-%")
	b.ReportMetric(float64(stub.Table().Commits())/took, "txn/s")
}
