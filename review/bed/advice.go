package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// The load of the scenario advice: one job each jobInterval, in the burst burstFactor times as many.
const (
	jobInterval   = 400 * time.Millisecond
	burstFactor   = 2.6
	burstTime     = 4 * time.Second
	trafficTime   = 30 * time.Second
	burstAt       = 6 * time.Second
	finishTime    = 14 * time.Second
	nothingRuns   = 3 * time.Second
	decideTime    = 200 * time.Millisecond
	decideEach    = 5 * time.Millisecond
	ticketTime    = 3 * time.Second
	adviceWorkers = 8
)

// advice hands in small jobs to a queue with a placement policy, and for some seconds more of them. finishTime after the end of the
// traffic it looks for jobs of which nothing has run for nothingRuns although the workers are idle.
func advice(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.policy = newPolicy(b, decideTime, decideEach, ticketTime)
	b.serve(b.address(3), b.policy)
	b.addPool("pool-a", adviceWorkers, false)
	b.addPool("spare", 2, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 3)
	b.routes[0]["advice"] = map[string]int64{"decideMs": decideTime.Milliseconds(), "eachMs": decideEach.Milliseconds(), "validMs": ticketTime.Milliseconds()}
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var accepted []string
	began := time.Now()
	inBurst := func(t time.Duration) bool { return trouble && t >= burstAt && t < burstAt+burstTime }
	for n := 0; time.Since(began) < trafficTime; n++ {
		id := fmt.Sprintf("%016x", 0xad0000000+n)
		e := b.entries[n%len(b.entries)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, _ := e.call("POST", host, prefix+id, body(2, spec{Ms: 300, CPU: 1000, Mem: 500}, nil), 3*time.Second)
			b.record("POST %s at %s: %d", id, e.name, status)
			if status == 200 {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		}()
		pause := jobInterval
		if inBurst(time.Since(began)) {
			pause = time.Duration(float64(pause) / burstFactor)
		}
		time.Sleep(pause)
	}
	wg.Wait()
	b.record("end of traffic: %d jobs accepted", len(accepted))
	time.Sleep(finishTime)
	before := b.unfinished(host, prefix, accepted)
	starts := len(b.started())
	time.Sleep(nothingRuns)
	after := b.unfinished(host, prefix, accepted)
	idle := b.idle()
	b.record("%d s after the end of the traffic %d jobs aren't completed, %d s later %d; tasks of %d jobs have begun, %d since; all workers are idle: %v",
		int(finishTime.Seconds()), len(before), int(nothingRuns.Seconds()), len(after), len(b.started()), len(b.started())-starts, idle)
	stuck := 0
	begun := b.started()
	for id := range after {
		if before[id] != "" && !begun[id] {
			stuck++
			b.record("job %s: %s, and none of its tasks has begun", id, after[id])
		}
	}
	if stuck > 0 && idle {
		b.breaks("LOST: %d accepted jobs have nothing running %v after the end of the traffic, and for %v, while all workers are idle", stuck, finishTime, nothingRuns)
	}
}

// unfinished returns the states of the jobs that aren't completed.
func (b *bed) unfinished(host, prefix string, ids []string) map[string]string {
	open := make(map[string]string)
	for n, id := range ids {
		status, text := b.entries[n%len(b.entries)].call("GET", host, prefix+id, nil, 3*time.Second)
		var answer struct{ State string }
		_ = json.Unmarshal(text, &answer)
		b.record("GET %s: %d %s", id, status, answer.State)
		if answer.State != "completed" {
			open[id] = fmt.Sprintf("%d %s", status, answer.State)
		}
	}
	return open
}

// idle reports whether under a tenth of the workers' capacity is in use.
func (b *bed) idle() bool {
	b.mu.Lock()
	all := make([]*worker, 0, len(b.workers))
	for _, w := range b.workers {
		all = append(all, w)
	}
	b.mu.Unlock()
	var used, capacity int64
	for _, w := range all {
		w.mu.Lock()
		if w.up {
			cpu, _ := w.used()
			used += cpu
			capacity += w.cpu
		}
		w.mu.Unlock()
	}
	return 10*used < capacity
}
