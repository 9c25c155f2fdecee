package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["history"] = history }

// history kills the leader of a deployment that has run for some hours: the store holds what the system has written for
// the jobs that have ended.
func history(s *site, trouble bool) {
	ended, err := strconv.Atoi(os.Getenv("ENDED"))
	if err != nil {
		// The jobs that are handed in in 5.8 hours at the 28.9 a second of the site.
		ended = 600_000
	}
	const (
		workers = 3
		// first is the number of jobs that run before, whose rows show what the system keeps of a job that has ended.
		first  = 200
		tasks  = 6
		stub   = 6 * time.Second
		before = 5 * time.Second
		after  = 40 * time.Second
		finish = 14 * time.Second
		idle   = 3 * time.Second
	)
	q := queueSpec{name: "r-1", host: "pule25.example", prefix: "/puxa400/", pool: "huvo11a", attempts: 4, timeoutMs: 3000}
	s.configure(3, []queueSpec{q}, []string{q.pool})
	zones := []string{"worcester", "lowell"}
	for i := range workers {
		s.addWorker(q.pool, zones[i%2], 16000, 32768, func(string, int64, *worker) (time.Duration, string) { return 200 * time.Millisecond, "done" })
	}
	for i := range 3 {
		s.addEntry(zones[i%2])
	}
	s.ready(15 * time.Second)
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	accepted := make(map[string]time.Duration)
	var group sync.WaitGroup
	send := func() {
		id := newID()
		job := map[string]any{"spec": "x", "steps": []map[string]any{{"count": tasks, "cpu": 250, "memMb": 64, "estimatedMs": 200}}}
		group.Add(1)
		go func() {
			defer group.Done()
			if s.submit(q, id, job, 6) {
				mu.Lock()
				accepted[id] = time.Since(s.record.began)
				mu.Unlock()
			}
		}()
	}
	for range first {
		send()
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(stub)
	var sources []string
	for id := range accepted {
		sources = append(sources, id)
	}
	left, rows := s.store.copyEnded(sources, ended, newID)
	s.record.note("the system has left %d rows of %d jobs that have ended; the store now holds %d such rows of %d more jobs", left, len(sources), rows, ended)

	began := time.Now()
	for time.Since(began) < before {
		send()
		time.Sleep(200 * time.Millisecond)
	}
	if trouble {
		leader := s.leader()
		if leader == nil {
			s.finish(2, "no leader found")
		}
		s.kill(leader)
		time.AfterFunc(time.Second, func() { s.launch(leader) })
	}
	for time.Since(began) < before+after {
		send()
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(finish)
	var ids []string
	for id := range accepted {
		ids = append(ids, id)
	}
	open := 0
	for id, state := range s.states(q, ids) {
		if state != "completed" {
			open++
			s.record.note("job %s, accepted at %.1f s, is %s", id, accepted[id].Seconds(), state)
		}
	}
	idleJobs := s.record.idleJobs(accepted, tasks, idle)
	largest := 0
	for _, e := range s.entries {
		largest = max(largest, e.peakMB())
	}
	result := fmt.Sprintf("%d jobs accepted, %d not completed %v after the last one, %d without a start for %v though the workers are idle; largest entry %d MB",
		len(ids), open, finish, idleJobs, idle, largest)
	if idleJobs > 0 && open > 0 {
		s.finish(1, "broken: %s", result)
	}
	s.finish(0, "held: %s", result)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// idleJobs returns the number of jobs of which a task has never started, and that were accepted longer than the time ago,
// during the last such time without any run on a worker.
func (r *recorder) idleJobs(accepted map[string]time.Duration, tasks int, within time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.began)
	started := make(map[string]map[string]bool)
	for _, e := range r.events {
		if e.kind != "start" {
			continue
		}
		if now-e.at < within {
			return 0
		}
		id := jobOf(e.task)
		if started[id] == nil {
			started[id] = make(map[string]bool)
		}
		started[id][e.task] = true
	}
	n := 0
	for id, at := range accepted {
		if now-at > within && len(started[id]) < tasks {
			n++
		}
	}
	return n
}
