package main

import (
	"encoding/json"
	"fmt"
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

// pending hands in more jobs than a pool holds, while its workers reject starts as unhealthy, and compares the number of pending jobs
// that each entry gives with those of which no task has begun.
func pending(b *bed, trouble bool) {
	const host, prefix, jobs = "q.example", "/q/", 60
	b.addPool("pool-a", 6, false)
	b.addPool("spare", 2, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 3)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if trouble {
		b.BeforeWorker = func(_ *worker, path string) int {
			if path == names["start"] && time.Since(begin) < 20*time.Second {
				return 503
			}
			return 0
		}
		b.record("all workers reject starts with 503")
	}
	accepted := make(map[string]time.Time)
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0xa0000000+n)
		// Each job takes a whole worker for long, so that most of them wait without the trouble too.
		status, _ := b.entries[n%3].call("POST", host, prefix+id, body(1, spec{Ms: 30000, CPU: 15000, Mem: 1000}, nil), 3*time.Second)
		b.record("POST %s at %s: %d", id, b.entries[n%3].name, status)
		if status == 200 {
			accepted[id] = time.Now()
		}
	}
	for range 7 {
		time.Sleep(time.Second)
		for _, e := range b.entries {
			status, text := e.call("GET", host, prefix, nil, 3*time.Second)
			var answer struct{ Pending int }
			if status != 200 || json.Unmarshal(text, &answer) != nil {
				b.record("GET pending at %s: %d", e.name, status)
				continue
			}
			started, due := b.started(), 0
			for id, at := range accepted {
				if !started[id] && time.Since(at) > 5*time.Second {
					due++
				}
			}
			b.record("GET pending at %s: %d; accepted over 5 s ago and not begun: %d", e.name, answer.Pending, due)
			if 2*answer.Pending < due {
				b.breaks("MIXED: %s gives %d jobs as pending, but %d accepted over 5 s ago have not begun", e.name, answer.Pending, due)
			}
		}
	}
}
