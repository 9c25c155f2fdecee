package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["many-ends"] = manyEnds }

// manyEnds runs short tasks while the store is slow once. Workers list 500 ends at a time.
func manyEnds(s *site, trouble bool) {
	const (
		workers, jobTasks  = 2, 50
		jobsPerSecond      = 20
		taskTime           = 400 * time.Millisecond
		traffic, slowAfter = 20 * time.Second, 6 * time.Second
		// The largest doses of a slow store in the site file.
		slowTime   = 4500 * time.Millisecond
		slowFactor = 60
	)
	q := queueSpec{name: "r-1", host: "pule25.example", prefix: "/puxa400/", pool: "huvo11a", attempts: 4, timeoutMs: 3000}
	s.configure(3, []queueSpec{q}, []string{q.pool})
	zones := []string{"worcester", "lowell"}
	for i := range workers {
		s.addWorker(q.pool, zones[i%2], 16000, 32768, func(string, int64, *worker) (time.Duration, string) {
			return taskTime/2 + time.Duration(rand.Int63n(int64(taskTime))), "done"
		})
	}
	for i := range 3 {
		s.addEntry(zones[i%2])
	}
	s.ready(15 * time.Second)
	time.Sleep(2 * time.Second)

	var ids []string
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	if trouble {
		time.AfterFunc(slowAfter, func() {
			s.record.note("the store is %d times as slow", slowFactor)
			s.store.setMode("", slowFactor)
		})
		time.AfterFunc(slowAfter+slowTime, func() {
			s.store.setMode("", 1)
			s.record.note("the store is back at its usual speed")
		})
	}
	for time.Since(began) < traffic {
		id := fmt.Sprintf("%016x", rand.Uint64())
		group.Add(1)
		go func() {
			defer group.Done()
			job := map[string]any{"spec": "x", "steps": []map[string]any{{"count": jobTasks, "cpu": 40, "memMb": 32, "estimatedMs": 400}}}
			if s.submit(q, id, job, 5) {
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
			}
		}()
		time.Sleep(time.Second / jobsPerSecond)
	}
	group.Wait()
	s.record.note("%d jobs accepted", len(ids))
	deadline := time.Now().Add(30 * time.Second)
	open := len(ids)
	for open > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Second)
		open = 0
		for _, state := range s.states(q, ids) {
			if state != "completed" {
				open++
			}
		}
	}
	time.Sleep(2 * time.Second)
	most := 0
	for _, w := range s.workers {
		most = max(most, w.maxEnds)
	}
	s.record.note("%d jobs are not completed; at most %d ends were listed or waited to be listed by a worker", open, most)
	found := s.record.reruns()
	for i, f := range found {
		if i < 20 {
			s.record.note("task %s: run %d ended done on %s at %.3f s, number %d, and run %d started on %s at %.3f s", f.task, f.first.run, f.first.worker,
				f.first.at.Seconds(), f.first.number, f.second.run, f.second.worker, f.second.at.Seconds())
		}
	}
	overlaps := s.record.overlaps()
	result := fmt.Sprintf("%d jobs, %d open, most ends %d, %d starts after a run had ended as done, %d overlapping runs", len(ids), open, most, len(found), len(overlaps))
	if len(found)+len(overlaps) > 0 {
		s.finish(1, "broken: %s", result)
	}
	s.finish(0, "held: %s", result)
}
