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
	// tableRate is the throughput of the test table in transactions per second.
	tableRate = 300
	// tableLatency is the latency of one call without load.
	tableLatency = 3 * time.Millisecond
	// claimRate is the part of tableRate that claims may use.
	claimRate    = 200
	loadDuration = 4 * time.Second
)

// slowTable runs transactions one after another at tableRate; a call whose context ends first fails with an unknown
// outcome.
type slowTable struct {
	inner *platform.Client
	mu    sync.Mutex
	// freeAt is when the table has run all transactions that were sent.
	freeAt time.Time
}

func (s *slowTable) call(ctx context.Context, method string, in, out any) error {
	s.mu.Lock()
	now := time.Now()
	if method == platform.MethodCommit {
		s.freeAt = now.Add(max(0, s.freeAt.Sub(now)) + time.Second/tableRate)
	}
	at := s.freeAt.Add(tableLatency)
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

// claimFunc claims a key and starts to record its outcome; it returns after the claim.
type claimFunc func(ctx context.Context, key string) error

// batchedClaims returns a function for each entry that claims through the entry's Batcher.
func batchedClaims(client *platform.Client, entries int) []claimFunc {
	interval := time.Second * time.Duration(entries) / claimRate
	var all []claimFunc
	for i := range entries {
		service := &claim.Service{
			Incarnation: strconv.Itoa(i),
			Batcher:     &claim.Batcher{Client: client, CommitInterval: func() time.Duration { return interval }},
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

// unbatchedClaims returns the baseline: one transaction for each claim and one for each outcome.
func unbatchedClaims(client *platform.Client, entries int) []claimFunc {
	claimOne := func(ctx context.Context, key string) error {
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
	return slices.Repeat([]claimFunc{claimOne}, entries)
}

// BenchmarkTickets claims keys at a fixed rate and reports the latency, throughput and transactions of the claims.
func BenchmarkTickets(b *testing.B) {
	variants := []struct {
		name string
		make func(*platform.Client, int) []claimFunc
	}{{"batched", batchedClaims}, {"single", unbatchedClaims}}
	for _, variant := range variants {
		for _, entries := range []int{6, 69} {
			for _, rate := range []int{1, 100, 500, 2000} {
				b.Run(fmt.Sprintf("%s/entries=%d/offered=%d", variant.name, entries, rate), func(b *testing.B) {
					for range b.N {
						runLoad(b, variant.make, entries, rate)
					}
				})
			}
		}
	}
}

func runLoad(b *testing.B, make func(*platform.Client, int) []claimFunc, entries, rate int) {
	stub := platformtest.New()
	table := &slowTable{inner: stub.Client("a")}
	claims := make(&platform.Client{Call: table.call}, entries)
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var latencies []time.Duration
	var group sync.WaitGroup
	total := max(4, rate*int(loadDuration/time.Second))
	loadStart := time.Now()
	for i := range total {
		time.Sleep(time.Until(loadStart.Add(loadDuration * time.Duration(i) / time.Duration(total))))
		claimKey := claims[random.IntN(entries)]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now()
			err := claimKey(ctx, strconv.Itoa(i))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				latencies = append(latencies, time.Since(start))
			}
		})
	}
	group.Wait()
	elapsed := time.Since(loadStart).Seconds()
	slices.Sort(latencies)
	if len(latencies) > 0 {
		b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
	}
	b.ReportMetric(float64(len(latencies))/elapsed, "claims/s")
	b.ReportMetric(100*float64(len(latencies))/float64(total), "claimed-%")
	b.ReportMetric(float64(stub.Table().Commits())/elapsed, "txn/s")
}
