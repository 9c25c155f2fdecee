package main

import (
	"fmt"
	"time"
)

const (
	upkeepWorkers  = 2 * rackSize
	upkeepCPU      = 1000
	upkeepDuration = 20 * time.Second
	// calmAfter is how long after the time for the wave nothing may be without a run any more: 4 s, and 3 s more.
	calmAfter = 7 * time.Second
)

// upkeep runs two lasting jobs with at most one task on a worker, of which one task at a time may be unavailable: one with a task on each
// worker, and one with a task more than there are workers. A wave then asks for the maintenance of one instance. After the time for the
// wave, and calmAfter more, each task of the first job that has begun must have a run, if the worker without it has room.
func upkeep(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", upkeepWorkers, false)
	b.addPool("spare", 0, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 4)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	var ids []string
	for n, count := range []int{upkeepWorkers, upkeepWorkers + 1} {
		id := fmt.Sprintf("%016x", 0x09a00+n)
		extra := map[string]any{names["spread"]: 1, names["budget"]: 1}
		status, _ := b.entries[n].call("POST", host, prefix+id, body(count, spec{Lasts: true, CPU: upkeepCPU, Mem: 500}, extra), 3*time.Second)
		b.record("POST %s, which lasts, of %d tasks: %d", id, count, status)
		ids = append(ids, id)
	}
	time.Sleep(5 * time.Second)
	b.record("%d and %d tasks run", b.running(ids[0]), b.running(ids[1]))
	began := time.Now()
	if trouble {
		b.cloud.mu.Lock()
		b.cloud.waves[1] = map[string]bool{"m-002": true}
		b.cloud.mu.Unlock()
		b.record("wave 1 of m-002")
		b.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": []string{"m-002"}, "durationS": upkeepDuration.Seconds(), "cap": 1})
	}
	for time.Since(began) < upkeepDuration+40*time.Second {
		time.Sleep(500 * time.Millisecond)
		if time.Since(began) < upkeepDuration+calmAfter {
			continue
		}
		if !trouble && time.Since(began) > upkeepDuration+calmAfter+5*time.Second {
			break
		}
		missing := b.missingRuns(ids[0], lostAfter)
		if len(missing) == 0 {
			continue
		}
		w, cpu := b.roomFor(ids[0])
		if cpu >= 2*upkeepCPU && len(b.broken) == 0 {
			b.breaks("LOST: %s has no run for %v after its last one, and %.0f s after the wave was asked for; %s has none of its job's tasks, and %d milli-cores free", missing[0], lostAfter, time.Since(began).Seconds(), w, cpu)
		}
	}
	b.record("%.0f s after the wave was asked for %d and %d tasks run; status of the wave: %s", time.Since(began).Seconds(), b.running(ids[0]), b.running(ids[1]), b.store.value("status", "", "wave/1"))
}
