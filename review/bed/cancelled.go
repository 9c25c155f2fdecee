package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// callerTime is how long the caller waits for the response to its submission before it cancels the job.
	callerTime = time.Second
	// lateWrite is how long after its call the store carries out the write that it doesn't answer.
	lateWrite = 5500 * time.Millisecond
	// cancelTime and stopBound are the bounds for a cancel to take effect and for a run to be stopped.
	cancelTime = 3 * time.Second
	stopBound  = 900 * time.Millisecond
)

// cancelled hands in a job, gets no answer or 504 in time, and cancels the job at another entry; the store doesn't answer the first
// write of the job and carries it out late. No task of the job may start cancelTime after the cancel was answered.
func cancelled(b *bed, trouble bool) {
	const host, prefix = "q.example", "/q/"
	b.addPool("pool-a", 4, false)
	b.addPool("spare", 2, true)
	b.addQueue("queue-a", host, prefix, "pool-a", 3)
	b.putConfig()
	id := fmt.Sprintf("%016x", 0xcace1)
	var lost atomic.Bool
	b.store.LateAfter = lateWrite
	b.store.Before = func(path string, r *http.Request) int {
		if !trouble || path != names["tx"] {
			return 0
		}
		text, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(text))
		if bytes.Contains(text, []byte(id)) && lost.CompareAndSwap(false, true) {
			b.record("the store doesn't answer the first write of job %s", id)
			return late
		}
		return 0
	}
	b.addEntries(3)
	b.awaitReady()
	time.Sleep(3 * time.Second)
	first, second := spec{Ms: 5000, CPU: 1000, Mem: 500}, spec{Ms: 2000, CPU: 1000, Mem: 500}
	text, _ := json.Marshal(spec{Steps: []spec{first, second}})
	submission, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []any{
		map[string]any{"count": 2, "cpu": first.CPU, "memMb": first.Mem, "estimatedMs": first.Ms},
		map[string]any{"count": 2, "cpu": second.CPU, "memMb": second.Mem, "estimatedMs": second.Ms, "after": []int{0}},
	}})
	// The caller is at an entry that doesn't lead.
	near, other := b.entries[0], b.entries[1]
	if near == b.leader() {
		near = b.entries[2]
	}
	began := time.Now()
	status, _ := near.call("POST", host, prefix+id, submission, callerTime)
	b.record("POST %s at %s: %d after %d ms", id, near.name, status, time.Since(began).Milliseconds())
	time.Sleep(callerTime - time.Since(began))
	status, _ = other.call("DELETE", host, prefix+id, nil, 3*time.Second)
	answered := time.Now()
	b.record("DELETE %s at %s: %d; the job's write that the store didn't answer: %v", id, other.name, status, lost.Load())
	if status != 200 && status != 410 {
		b.fatal("the cancel got no answer")
	}
	time.Sleep(12 * time.Second)
	status, text = other.call("GET", host, prefix+id, nil, 3*time.Second)
	b.record("GET %s at %s: %d %s", id, other.name, status, text)
	b.mu.Lock()
	var broken []string
	for task, notes := range b.history {
		for _, n := range notes {
			after := n.began.Sub(answered)
			switch {
			case after > cancelTime:
				broken = append(broken, fmt.Sprintf("UNASKED: %s starts %.1f s after the cancel was answered", task, after.Seconds()))
			case n.how == "" || n.ended.Sub(answered) > cancelTime+stopBound:
				broken = append(broken, fmt.Sprintf("UNASKED: %s runs on %.1f s after the cancel was answered", task, n.ended.Sub(answered).Seconds()))
			}
		}
	}
	b.mu.Unlock()
	for _, text := range broken {
		b.breaks("%s", text)
	}
}
