package main

import (
	"fmt"
	"time"
)

const (
	upkeepInterval = 500 * time.Millisecond
	upkeepDuration = 25 * time.Second
	upkeepTraffic  = 33 * time.Second
	// The milli-cores of a task of the job on each worker, of one on each worker that isn't due, and of the usual jobs.
	spreadCPU, fillerCPU, usualCPU = 1000, 12000, 4000
)

// upkeep runs a lasting job with at most one task on a worker and one task more than there are workers, of which one may be unavailable at a
// time, and one that takes most of the second rack. A wave then asks for the maintenance of the machines of the first rack, while usual
// jobs come that have room there only. finishTime after the end of the traffic it looks for jobs of which nothing has run for nothingRuns.
func upkeep(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", 2*rackSize, false)
	b.addPool("spare", 0, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 4)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	post := func(id string, submission []byte) bool {
		status, _ := b.entries[0].call("POST", host, prefix+id, submission, 3*time.Second)
		b.record("POST %s: %d", id, status)
		return status == 200
	}
	post(fmt.Sprintf("%016x", 0x9a00), body(2*rackSize+1, spec{Lasts: true, CPU: spreadCPU, Mem: 500}, map[string]any{names["spread"]: 1, names["budget"]: 1}))
	post(fmt.Sprintf("%016x", 0x9a01), body(rackSize, spec{Lasts: true, CPU: fillerCPU, Mem: 500}, map[string]any{names["spread"]: 1, "requirements": rackName(1)}))
	time.Sleep(3 * time.Second)
	if trouble {
		var machines []string
		set := make(map[string]bool)
		for n := range rackSize {
			id := fmt.Sprintf("m-%03d", n)
			machines = append(machines, id)
			set[id] = true
		}
		b.cloud.mu.Lock()
		b.cloud.waves[1] = set
		b.cloud.mu.Unlock()
		b.record("wave 1 of %v, all at once, in %v", machines, upkeepDuration)
		b.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": upkeepDuration.Seconds(), "cap": rackSize})
	}
	var accepted []string
	for began, n := time.Now(), 0; time.Since(began) < upkeepTraffic; n++ {
		id := fmt.Sprintf("%016x", 0x0b0000+n)
		if post(id, body(1, spec{Ms: 800, CPU: usualCPU, Mem: 500}, nil)) {
			accepted = append(accepted, id)
		}
		time.Sleep(upkeepInterval)
	}
	b.record("end of traffic: %d jobs accepted", len(accepted))
	time.Sleep(finishTime)
	before := b.unfinished(host, prefix, accepted)
	time.Sleep(nothingRuns)
	after := b.unfinished(host, prefix, accepted)
	begun, stuck := b.started(), 0
	for id := range after {
		if before[id] != "" && !begun[id] {
			stuck++
		}
	}
	free, capacity := b.freeCPU(), int64(2*rackSize*16000)
	b.record("%v after the end of the traffic %d jobs aren't completed, %v later %d; of %d no task has begun; free on the workers: %d of %d milli-cores; status of the wave: %s",
		finishTime, len(before), nothingRuns, len(after), stuck, free, capacity, b.store.value("status", "", "wave/1"))
	if stuck > 0 && 2*free > capacity {
		b.breaks("LOST: %d accepted jobs have nothing running %v after the end of the traffic, and for %v, with %d of %d milli-cores free", stuck, finishTime, nothingRuns, free, capacity)
	}
}
