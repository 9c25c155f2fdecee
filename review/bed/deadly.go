package main

import (
	"fmt"
	"time"
)

const (
	// deadlyAfter is the time after its start at which the task crashes its worker.
	deadlyAfter = 6 * time.Second
	deadlyTime  = 70 * time.Second
	// crashesBefore is the number of crashes after which startsAfter more starts of the task break the rule.
	crashesBefore, startsAfter = 3, 3
)

// deadly hands in a job whose task crashes its worker some seconds after each start, beside usual jobs, and counts the starts of the task
// after it has crashed three workers.
func deadly(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", 2*rackSize, false)
	b.addPool("spare", 2, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 3)
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	time.Sleep(3 * time.Second)
	s := spec{Ms: 10000, CPU: 1000, Mem: 500}
	if trouble {
		s.CrashMs = int(deadlyAfter.Milliseconds())
	}
	id := fmt.Sprintf("%016x", 0xdead1)
	status, _ := b.entries[0].call("POST", host, prefix+id, body(1, s, nil), 3*time.Second)
	b.record("POST %s: %d", id, status)
	began := time.Now()
	for n := 0; time.Since(began) < deadlyTime; n++ {
		usual := fmt.Sprintf("%016x", 0xdead00000+n)
		status, _ := b.entries[n%3].call("POST", host, prefix+usual, body(3, spec{Ms: 1500, CPU: 1000, Mem: 500}, nil), 3*time.Second)
		b.record("POST %s: %d", usual, status)
		time.Sleep(500 * time.Millisecond)
		if !trouble && time.Since(began) > 20*time.Second {
			break
		}
	}
	status, text := b.entries[1].call("GET", host, prefix+id, nil, 3*time.Second)
	b.record("GET %s: %d %s", id, status, text)
	crashes, after := b.crashesUnder(id + ".0.0.0")
	if after >= startsAfter {
		b.breaks("BUDGET: the task has crashed %d workers, was started %d times after the third of these crashes, and took %d runs of other jobs with it", crashes, after, b.crashedRuns()-crashes)
	}
}

// crashedRuns returns the number of runs that ended with their worker.
func (b *bed) crashedRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, notes := range b.history {
		for _, note := range notes {
			if note.how == "crashed" {
				n++
			}
		}
	}
	return n
}

// crashesUnder returns the number of workers that have crashed under the task, and of its starts after the third of them.
func (b *bed) crashesUnder(task string) (crashes, startsLater int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.history[task] {
		if crashes >= crashesBefore {
			startsLater++
		}
		if n.how == "crashed" {
			crashes++
		}
	}
	return crashes, startsLater
}
