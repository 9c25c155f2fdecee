package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// body returns the submission of a job with one step.
func body(count int, s spec, extra map[string]any) []byte {
	text, _ := json.Marshal(s)
	step := map[string]any{"count": count, "cpu": s.CPU, "memMb": s.Mem, "estimatedMs": s.Ms}
	if s.Lasts {
		step["longRunning"] = true
	}
	for k, v := range extra {
		step[k] = v
	}
	encoded, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []any{step}})
	return encoded
}

const (
	// darkTime is how long the rack is dark, from darkAfter after pendingJobs jobs were sent: before any of them can be stored.
	darkTime    = 7 * time.Second
	darkAfter   = 5 * time.Millisecond
	pendingJobs = 40
	// pendingAge is the age from which a job that has not begun has to be given as pending: the bound of visibility and 2 s.
	pendingAge = 5 * time.Second
)

// pending hands in jobs in a data centre whose rack has just gone dark, and compares the number of pending jobs that each entry gives
// with those that were accepted pendingAge before and of which no task has begun.
func pending(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", 3*rackSize, false)
	b.addPool("spare", 0, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 3)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	b.fillRacks(host, prefix, 15500, 500, 15500)
	time.Sleep(5 * time.Second)
	// The second entry is in the data centre of the second rack.
	near := b.entries[1]
	accepted := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range pendingJobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("%016x", 0xa0000000+n)
			status, _ := near.call("POST", host, prefix+id, body(1, spec{Ms: 2000, CPU: 1000, Mem: 500}, nil), 3*time.Second)
			b.record("POST %s at %s: %d", id, near.name, status)
			mu.Lock()
			defer mu.Unlock()
			if status == 200 {
				accepted[id] = time.Now()
			}
		}()
	}
	time.Sleep(darkAfter)
	if trouble {
		b.record("the rack in %s goes dark for %v", near.zone, darkTime)
		for n := rackSize; n < 2*rackSize; n++ {
			b.cloud.crashSilently(fmt.Sprintf("m-%03d", n), darkTime, darkTime)
		}
	}
	wg.Wait()
	end := time.Now().Add(9 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(300 * time.Millisecond)
		for _, e := range b.entries {
			asked := time.Now()
			status, text := e.call("GET", host, prefix, nil, 3*time.Second)
			var answer struct{ Pending int }
			if status != 200 || json.Unmarshal(text, &answer) != nil {
				b.record("GET pending at %s: %d", e.name, status)
				continue
			}
			started, due := b.started(), 0
			for id, at := range accepted {
				if !started[id] && asked.Sub(at) > pendingAge {
					due++
				}
			}
			b.record("GET pending at %s: %d; accepted over %v before and not begun: %d", e.name, answer.Pending, pendingAge, due)
			if 2*answer.Pending < due {
				b.breaks("MIXED: %s gives %d jobs as pending, but %d accepted over %v before have not begun", e.name, answer.Pending, due, pendingAge)
			}
		}
	}
}

// fillRacks hands in a lasting job for each rack, with a task of the given milli-cores on each of its workers. No worker is idle then,
// so that all instances stay in the pool.
func (b *bed) fillRacks(host, prefix string, milliCores ...int64) {
	for n, cpu := range milliCores {
		id := fmt.Sprintf("%016x", 0x1a570+n)
		extra := map[string]any{names["spread"]: 1, "requirements": rackName(n)}
		status, _ := b.entries[n].call("POST", host, prefix+id, body(rackSize, spec{Lasts: true, CPU: cpu, Mem: 200}, extra), 3*time.Second)
		b.record("POST %s, which lasts, for rack %s: %d", id, rackName(n), status)
	}
}
