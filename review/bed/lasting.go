package main

import (
	"fmt"
	"time"
)

const (
	lastingTasks = 40
	lastingCPU   = 300
	// lostAfter is how long after its last run a lasting task may have none: 6 s, and 3 s more.
	lostAfter = 9 * time.Second
)

// lasting hands in a lasting job whose data is on one rack, loses the worker with its tasks for good just after they have begun, and
// looks for tasks that have no run lostAfter later although other workers have room.
func lasting(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", 3*rackSize, false)
	b.addPool("spare", 0, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 4)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	b.fillRacks(host, prefix, 12800, 500, 12800)
	time.Sleep(5 * time.Second)
	id := fmt.Sprintf("%016x", 0xc0ffee)
	s := spec{Lasts: true, CPU: lastingCPU, Mem: 200, Count: lastingTasks}
	status, _ := b.entries[0].call("POST", host, prefix+id, body(lastingTasks, s, map[string]any{"affinity": rackName(1)}), 3*time.Second)
	b.record("POST %s, which lasts, with its data on rack %s: %d", id, rackName(1), status)
	for n := 0; n < 200 && b.running(id) < lastingTasks; n++ {
		time.Sleep(10 * time.Millisecond)
	}
	b.record("%d of %d tasks run; free on the workers: %d milli-cores", b.running(id), lastingTasks, b.freeCPU())
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w := b.workerOf(id + ".0.0.0")
		if w == nil {
			b.fatal("the lasting job has not begun")
		}
		b.cloud.lose(w.instance)
	}
	lost := time.Now()
	for time.Since(lost) < 40*time.Second {
		time.Sleep(100 * time.Millisecond)
		missing := b.missingRuns(id, lostAfter)
		if len(missing) > 0 {
			cpu := b.freeCPU()
			b.record("%.1f s after the loss %d tasks have had no run for over %v, the first of them %v; free on the workers: %d milli-cores", time.Since(lost).Seconds(), len(missing), lostAfter, missing[:min(len(missing), 3)], cpu)
			if cpu >= 2*lastingCPU {
				b.breaks("LOST: %d tasks of lasting job %s have no run for %v after their last one, and %d milli-cores are free", len(missing), id, lostAfter, cpu)
				break
			}
		}
	}
	for time.Since(lost) < 45*time.Second && b.running(id) < lastingTasks {
		time.Sleep(100 * time.Millisecond)
	}
	b.record("%.1f s after that %d of %d tasks run", time.Since(lost).Seconds(), b.running(id), lastingTasks)
}

// workerOf returns the worker on which the task began last, nil if there is none.
func (b *bed) workerOf(task string) *worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	notes := b.history[task]
	if len(notes) == 0 {
		return nil
	}
	return b.workers[notes[len(notes)-1].worker]
}

// running returns the number of the job's tasks with a run in progress.
func (b *bed) running(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for task, notes := range b.history {
		if jobOf(task) == id && notes[len(notes)-1].how == "" {
			n++
		}
	}
	return n
}

// missingRuns returns the job's tasks whose last run ended longer ago than the time.
func (b *bed) missingRuns(id string, limit time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var missing []string
	for task, notes := range b.history {
		last := notes[len(notes)-1]
		if jobOf(task) == id && last.how != "" && time.Since(last.ended) > limit {
			missing = append(missing, task)
		}
	}
	return missing
}

// freeCPU returns the free milli-cores of the workers.
func (b *bed) freeCPU() int64 {
	b.mu.Lock()
	all := make([]*worker, 0, len(b.workers))
	for _, w := range b.workers {
		all = append(all, w)
	}
	b.mu.Unlock()
	var free int64
	for _, w := range all {
		w.mu.Lock()
		if w.up {
			cpu, _ := w.used()
			free += w.cpu - cpu
		}
		w.mu.Unlock()
	}
	return free
}
