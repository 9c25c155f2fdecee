package main

import (
	"fmt"
	"time"
)

const (
	failingJobs    = 6
	failingCPU     = 1600
	failingMean    = 40 * time.Second
	failingWorkers = 2 * rackSize
	failingTime    = 90 * time.Second
)

// failing hands in lasting jobs with a task on each worker, whose tasks fail now and then, and looks for tasks that have no run lostAfter
// after their last one although the worker that lacks them has room.
func failing(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", failingWorkers, false)
	b.addPool("spare", 0, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 4)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	mean := 0
	if trouble {
		mean = int(failingMean.Milliseconds())
	}
	var ids []string
	for n := range failingJobs {
		id := fmt.Sprintf("%016x", 0xfa110+n)
		s := spec{Lasts: true, CPU: failingCPU, Mem: 500, Count: failingWorkers, MeanMs: mean}
		status, _ := b.entries[n%3].call("POST", host, prefix+id, body(failingWorkers, s, map[string]any{names["spread"]: 1}), 3*time.Second)
		b.record("POST %s, which lasts: %d", id, status)
		ids = append(ids, id)
	}
	began := time.Now()
	for time.Since(began) < failingTime && len(b.broken) == 0 {
		time.Sleep(100 * time.Millisecond)
		for _, id := range ids {
			missing := b.missingRuns(id, lostAfter)
			if len(missing) == 0 {
				continue
			}
			w, cpu := b.roomFor(id)
			if cpu >= 2*failingCPU {
				b.breaks("LOST: %s has no run for %v after its last one; %s has none of its job's tasks, and %d milli-cores free", missing[0], lostAfter, w, cpu)
			}
		}
	}
}

// roomFor returns the worker with the most free milli-cores that runs no task of the job, and these.
func (b *bed) roomFor(id string) (name string, free int64) {
	b.mu.Lock()
	all := make([]*worker, 0, len(b.workers))
	for _, w := range b.workers {
		all = append(all, w)
	}
	b.mu.Unlock()
	b.workersMu.Lock()
	defer b.workersMu.Unlock()
	for _, w := range all {
		taken := !w.up
		for task := range w.runs {
			taken = taken || jobOf(task) == id
		}
		cpu, _ := w.used()
		if !taken && w.cpu-cpu > free {
			name, free = w.id, w.cpu-cpu
		}
	}
	return name, free
}
