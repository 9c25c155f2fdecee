package relay

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// script is a sequence of events at one leader and its relays, read from a file under testdata.
type script struct {
	Description string `json:"why"`
	Steps       []step `json:"steps"`
}

// step is one event, or an order with the outcome required of it.
type step struct {
	// Offer names relays of data centre a that offer themselves.
	Offer []string `json:"offer"`
	// Restart sets the clock of relays to zero, as the restart of their instance does.
	Restart []string `json:"restart"`
	// Wait passes time.
	Wait string `json:"wait"`
	// Set changes how a link behaves, by relay: "up", "refused" (no connection), "orders_lost", "results_lost" or
	// "suspended" (orders arrive 2 s late).
	Set map[string]string `json:"set"`
	// Order is "start" or "renew", within 220 ms.
	Order string `json:"order"`
	// Want is "accepted" or the outcome of the error; Via lists who may have sent the order, Sent how often it was sent
	// by the time 3 s later.
	Want string   `json:"want"`
	Via  []string `json:"via"`
	Sent int      `json:"sent"`
}

// bed holds a leader's client and the servers of its relays.
type bed struct {
	t       *testing.T
	client  *Client
	mu      sync.Mutex
	servers map[string]*Server
	links   map[string]string
	sent    []string
	// restarted holds when the relay's clock was set to zero.
	restarted map[string]time.Duration
	// submit is set to submit orders instead of calling for them.
	submit bool
}

func (b *bed) now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// clock returns the clock of the relay.
func (b *bed) clock(relay string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now() - b.restarted[relay]
}

func (b *bed) link(relay string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.links[relay]
}

// workers returns a client whose orders are recorded under the sender's name and accepted.
func (b *bed) workers(sender string) *worker.Client {
	record := func() worker.Reply {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.sent = append(b.sent, sender)
		return worker.Reply{Clock: time.Second}
	}
	return &worker.Client{
		Start: func(context.Context, worker.Target, worker.StartOrder) (worker.Reply, error) { return record(), nil },
		Renew: func(context.Context, worker.Target, worker.RenewOrder) (worker.Status, error) {
			end := worker.End{Number: 3, Task: work.TaskID{Job: "00000000000000a1", Step: 1, Index: 2}, Run: 4, Kind: worker.Done}
			return worker.Status{Reply: record(), Partial: true, Ended: []worker.End{end}, MoreEnds: true}, nil
		},
	}
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, client: NewClient(), servers: make(map[string]*Server), links: make(map[string]string), restarted: make(map[string]time.Duration)}
	b.client.Log, b.client.Direct, b.client.Address, b.client.Now = &event.Log{}, b.workers("leader"), "leader", b.now
	b.client.Post = func(f func()) { f() }
	b.client.Send = func(ctx context.Context, relay string, batch Batch) error {
		switch b.link(relay) {
		case "refused":
			return fault.New(fault.NotReady, "connection refused")
		case "orders_lost":
			<-ctx.Done()
			return fault.New(fault.NotReady, "no response").WithOutcome(fault.Unknown)
		case "suspended":
			time.AfterFunc(2*time.Second, func() { b.servers[relay].Accept(batch) })
			<-ctx.Done()
			return fault.New(fault.NotReady, "no response").WithOutcome(fault.Unknown)
		}
		b.servers[relay].Accept(batch)
		return nil
	}
	return b
}

// offer makes the relay offer itself, and creates its server.
func (b *bed) offer(relay string) {
	if b.servers[relay] == nil {
		server, err := NewServer()
		assert.NilError(b.t, err)
		server.Log, server.Workers, server.Now = &event.Log{}, b.workers(relay), func() time.Duration { return b.clock(relay) }
		server.Reply = func(ctx context.Context, _ string, results Results) error {
			if b.link(relay) == "results_lost" {
				<-ctx.Done()
				return fault.New(fault.NotReady, "no response").WithOutcome(fault.Unknown)
			}
			b.client.Deliver(results)
			return nil
		}
		b.servers[relay] = server
	}
	b.client.Accept(Offer{Name: relay, Address: relay, DataCentre: "a", ClockMillis: b.clock(relay).Milliseconds()})
}

func (b *bed) order(kind string) error {
	if b.submit {
		return b.submitOrder(kind)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 220*time.Millisecond)
	defer cancel()
	to := worker.Target{ID: "w1", Address: "w1:80", DataCentre: "a"}
	workers := b.client.Workers()
	if kind == "start" {
		reply, err := workers.Start(ctx, to, worker.StartOrder{Task: work.TaskID{Job: "00000000000000a1"}, Run: 1, Spec: "spec"})
		assert.Assert(b.t, err != nil || reply.Clock == time.Second)
		return err
	}
	status, err := workers.Renew(ctx, to, worker.RenewOrder{Token: 1, EndsSuffice: true})
	if err == nil {
		assert.Assert(b.t, status.Partial && status.MoreEnds)
		assert.Equal(b.t, status.Ended[0].Task.String(), "00000000000000a1.0.1.2")
	}
	return err
}

// submitOrder is order for submitted orders.
func (b *bed) submitOrder(kind string) error {
	to := worker.Target{ID: "w1", Address: "w1:80", DataCentre: "a"}
	workers := b.client.Workers()
	ended := make(chan error, 2)
	var submitted bool
	began := time.Now()
	if kind == "start" {
		order := worker.StartOrder{Task: work.TaskID{Job: "00000000000000a1"}, Run: 1, Spec: "spec"}
		submitted = workers.SubmitStart(to, order, 220*time.Millisecond, func(reply worker.Reply, took time.Duration, err error) {
			assert.Check(b.t, err != nil || reply.Clock == time.Second)
			assert.Check(b.t, took == time.Since(began))
			ended <- err
		})
	} else {
		submitted = workers.SubmitRenew(to, worker.RenewOrder{Token: 1, EndsSuffice: true}, 220*time.Millisecond, func(status worker.Status, err error) {
			assert.Check(b.t, err != nil || status.Partial && status.MoreEnds && status.Ended[0].Task.String() == "00000000000000a1.0.1.2")
			ended <- err
		})
	}
	if !submitted {
		b.submit = false
		defer func() { b.submit = true }()
		return b.order(kind)
	}
	err := <-ended
	assert.Check(b.t, time.Since(began) <= 220*time.Millisecond+timeoutResolution)
	time.Sleep(time.Second)
	assert.Equal(b.t, len(ended), 0, "ended twice")
	return err
}

func (b *bed) run(s step) {
	for relay, state := range s.Set {
		b.mu.Lock()
		b.links[relay] = state
		b.mu.Unlock()
	}
	for _, relay := range s.Restart {
		b.mu.Lock()
		b.restarted[relay] = b.now()
		b.mu.Unlock()
	}
	for _, relay := range s.Offer {
		b.offer(relay)
	}
	if s.Wait != "" {
		delay, err := time.ParseDuration(s.Wait)
		assert.NilError(b.t, err)
		time.Sleep(delay)
	}
	if s.Order == "" {
		return
	}
	b.mu.Lock()
	b.sent = nil
	b.mu.Unlock()
	err := b.order(s.Order)
	got := "accepted"
	if err != nil {
		got = string(fault.As(err).Outcome())
	}
	assert.Equal(b.t, got, s.Want, "%v", err)
	time.Sleep(3 * time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(b.t, len(b.sent), s.Sent, "sent by %v", b.sent)
	for _, sender := range b.sent {
		assert.Assert(b.t, slices.Contains(s.Via, sender), "sent by %s", sender)
	}
}

// TestScripts plays each script on a fake clock.
func TestScripts(t *testing.T) { playScripts(t, false) }

// TestScriptsSubmitted plays each script with submitted orders.
func TestScriptsSubmitted(t *testing.T) { playScripts(t, true) }

func playScripts(t *testing.T, submit bool) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			var s script
			assert.NilError(t, json.Unmarshal(text, &s))
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				b.submit = submit
				defer func() {
					for _, server := range b.servers {
						server.Close()
					}
				}()
				for i, step := range s.Steps {
					t.Logf("step %d", i+1)
					b.run(step)
				}
			})
		})
	}
}
