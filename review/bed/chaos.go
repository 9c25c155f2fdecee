package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

type chaosJob struct {
	id        string
	prefix    string
	body      []byte
	accepted  time.Time
	cancelled time.Time
	lasts     bool
	state     string
}

func chaos(b *bed, _ bool) {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewSource(seed))
	const host = "q.example"
	b.addPool("pool-a", 5, false)
	b.addPool("pool-b", 5, false)
	b.addPool("spare", 4, true)
	b.addQueue("queue-a", host, "/a/", "pool-a", maxAttempts)
	b.addQueue("queue-b", host, "/b/", "pool-b", maxAttempts)
	if b.further {
		b.routes[1]["priority"] = 1
	}
	b.putConfig()
	b.addEntries(3)
	b.awaitReady()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	storeMode, storeUntil, storeShare := 0, time.Time{}, 0.0
	storePart, losing, cloudLosing := "", 0.0, 0.0
	workerMode := map[string]int{}
	var rmu sync.Mutex
	draw := func() float64 { rmu.Lock(); defer rmu.Unlock(); return r.Float64() }
	pick := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return r.Intn(n) }
	b.store.Before = func(path string, q *http.Request) int {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(storeUntil) || draw() >= storeShare {
			return 0
		}
		if storePart != "" && partOf(q) != storePart {
			return 0
		}
		if storeMode == late && path != names["tx"] {
			return 0
		}
		return storeMode
	}
	b.BeforeWorker = func(w *worker, path string) int {
		mu.Lock()
		defer mu.Unlock()
		m := workerMode[w.instance]
		if m == late && draw() > 0.3 {
			return 0
		}
		return m
	}
	b.store.After = func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return losing > 0 && draw() < losing
	}
	b.cloud.Lose = func() bool {
		mu.Lock()
		defer mu.Unlock()
		return cloudLosing > 0 && draw() < cloudLosing
	}
	cloudMode, cloudUntil := 0, time.Time{}
	b.cloud.Before = func(string) int {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(cloudUntil) {
			return 0
		}
		return cloudMode
	}
	// Callers.
	var jobs []*chaosJob
	var jmu sync.Mutex
	end := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	n := 0
	submit := func(j *chaosJob) {
		defer wg.Done()
		for range 8 {
			e := b.entries[pick(len(b.entries))]
			status, _ := e.call("POST", host, j.prefix+j.id, j.body, 3*time.Second)
			b.record("POST %s%s at %s: %d", j.prefix, j.id, e.name, status)
			if status == 200 {
				jmu.Lock()
				j.accepted = time.Now()
				jmu.Unlock()
				if draw() < 0.1 {
					time.Sleep(time.Duration(draw()*3000) * time.Millisecond)
					e := b.entries[pick(len(b.entries))]
					status, _ = e.call("POST", host, j.prefix+j.id, j.body, 3*time.Second)
					b.record("POST again %s%s at %s: %d", j.prefix, j.id, e.name, status)
				}
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	go func() {
		for time.Now().Before(end) {
			n++
			id := fmt.Sprintf("%016x", uint64(seed)<<32+uint64(n))
			prefix := []string{"/a/", "/b/"}[pick(2)]
			var all spec
			var steps []any
			timed := draw() < 0.12
			first, interval, repeat := int64(0), int64(0), 0
			if timed {
				first, interval, repeat = time.Now().UnixMilli()+int64(draw()*4000)-1000, int64(300+draw()*2000), 1+pick(5)
			}
			for k := range 1 + pick(3) {
				s := spec{Ms: 100 + pick(1500), CPU: int64(200 + pick(1500)), Mem: int64(200 + pick(3000)), Count: 1 + pick(6), FirstMs: first, IntervalMs: interval}
				step := map[string]any{"count": s.Count, "cpu": s.CPU, "memMb": s.Mem, "estimatedMs": s.Ms}
				if k > 0 {
					step["after"] = []int{k - 1}
				}
				switch x := draw(); {
				case x < 0.2:
					step["gang"], s.Gang = true, true
				case x < 0.35:
					step["speculative"], s.Copies = true, true
				case x < 0.45:
					step[names["spread"]] = 1 + pick(2)
				case x < 0.5:
					s.Label = rackName(pick(4))
					step["requirements"] = s.Label
				case x < 0.6:
					step["affinity"] = rackName(pick(4))
				case x < 0.7:
					step["fills"], step["image"], s.CPU = true, "image-a", 0
				case x < 0.85 && b.further:
					step["checkpointing"], s.Saves = true, true
					s.Ms += 4000
					step["estimatedMs"] = s.Ms
				}
				if b.further && draw() < 0.3 {
					s.FailShare = 0.3
				}
				b.mu.Lock()
				b.counts[fmt.Sprintf("%s.%d", id, k)] = s.Count
				b.mu.Unlock()
				all.Steps = append(all.Steps, s)
				steps = append(steps, step)
			}
			lasts := false
			if draw() < 0.02 {
				lasts = true
				s := spec{Lasts: true, CPU: 500, Mem: 200, Count: 3}
				all.Steps = []spec{s}
				steps = []any{map[string]any{"count": 3, "cpu": s.CPU, "memMb": s.Mem, "estimatedMs": 100, "longRunning": true, names["budget"]: 1}}
			}
			text, _ := json.Marshal(all)
			submission := map[string]any{"spec": string(text), "steps": steps}
			if timed && !lasts {
				submission["repeatCount"], submission["startAtMs"], submission["intervalMs"] = repeat, first, interval
			}
			encoded, _ := json.Marshal(submission)
			j := &chaosJob{id: id, prefix: prefix, body: encoded, lasts: lasts}
			jmu.Lock()
			jobs = append(jobs, j)
			jmu.Unlock()
			wg.Add(1)
			go submit(j)
			time.Sleep(time.Duration(draw()*400) * time.Millisecond)
		}
	}()
	// Cancels.
	go func() {
		for time.Now().Before(end) {
			time.Sleep(700 * time.Millisecond)
			jmu.Lock()
			var j *chaosJob
			if len(jobs) > 0 {
				j = jobs[pick(len(jobs))]
			}
			take := j != nil && !j.accepted.IsZero() && j.cancelled.IsZero()
			jmu.Unlock()
			if !take {
				continue
			}
			e := b.entries[pick(len(b.entries))]
			status, _ := e.call("DELETE", host, j.prefix+j.id, nil, 3*time.Second)
			b.record("DELETE %s at %s: %d", j.id, e.name, status)
			jmu.Lock()
			j.cancelled = time.Now()
			if status != 200 && status != 410 {
				j.cancelled = time.Now().Add(time.Hour)
			}
			jmu.Unlock()
			if status == 410 {
				b.breaks("LOST: DELETE of accepted job %s gives 410", j.id)
			}
		}
	}()
	// Troubles.
	go func() {
		for time.Now().Before(end.Add(-4 * time.Second)) {
			d := time.Duration(500+draw()*4500) * time.Millisecond
			kinds := 12
			if b.further {
				kinds = 21
			}
			switch k := pick(kinds); k {
			case 0:
				b.entries[pick(3)].restart(time.Duration(draw()*1500) * time.Millisecond)
			case 1:
				l := b.leader()
				if l != nil {
					l.restart(time.Duration(draw()*1500) * time.Millisecond)
				}
			case 2:
				e := b.entries[pick(3)]
				if l := b.leader(); l != nil && draw() < 0.7 {
					e = l
				}
				b.record("%s is stopped for %v", e.name, d)
				e.signal(syscall.SIGSTOP)
				time.Sleep(d)
				e.signal(syscall.SIGCONT)
				b.record("%s goes on", e.name)
			case 3:
				e := b.entries[pick(3)]
				if l := b.leader(); l != nil && draw() < 0.5 {
					e = l
				}
				b.record("%s gets SIGTERM", e.name)
				e.signal(syscall.SIGTERM)
				if !e.wait(7 * time.Second) {
					e.signal(syscall.SIGKILL)
					e.wait(time.Second)
				}
				e.start()
			case 4, 5, 6:
				mode := []int{503, 429, -1, hang, late}[pick(5)]
				mu.Lock()
				storeMode, storeUntil, storeShare = mode, time.Now().Add(d), []float64{0.3, 0.7, 1}[pick(3)]
				b.record("store: mode %d, share %v, for %v", mode, storeShare, d)
				mu.Unlock()
				time.Sleep(d)
			case 7:
				b.cloud.crash(fmt.Sprintf("m-%03d", pick(14)), time.Duration(1+draw()*3)*time.Second)
			case 8, 9:
				var ids []string
				for range 1 + pick(3) {
					ids = append(ids, fmt.Sprintf("m-%03d", pick(14)))
				}
				mode := []int{503, hang, late, -1}[pick(4)]
				b.record("workers on %v: mode %d for %v", ids, mode, d)
				mu.Lock()
				for _, id := range ids {
					workerMode[id] = mode
				}
				mu.Unlock()
				time.AfterFunc(d+time.Duration(draw()*5000)*time.Millisecond, func() {
					mu.Lock()
					defer mu.Unlock()
					for _, id := range ids {
						delete(workerMode, id)
					}
				})
			case 10:
				mu.Lock()
				cloudMode, cloudUntil = []int{503, hang, -1}[pick(3)], time.Now().Add(d)
				mu.Unlock()
				b.record("instance service: mode %d for %v", cloudMode, d)
			case 11:
				b.wave(1+pick(4), 2+pick(5))
			case 12:
				b.record("all connections go silent")
				b.conns.silence()
			case 13:
				b.record("store: a share of the responses is lost for %v", d)
				mu.Lock()
				losing = 0.5
				mu.Unlock()
				time.Sleep(d)
				mu.Lock()
				losing = 0
				mu.Unlock()
			case 14:
				b.record("instance service: responses to orders are lost for %v", 3*d)
				mu.Lock()
				cloudLosing = 0.7
				mu.Unlock()
				time.AfterFunc(3*d, func() {
					mu.Lock()
					defer mu.Unlock()
					cloudLosing = 0
				})
				b.wave(1+pick(3), 4)
			case 15:
				b.record("the store discards its history")
				b.store.forget()
			case 16:
				id := fmt.Sprintf("m-%03d", pick(14))
				b.record("the worker on %s drains", id)
				b.cloud.drain(id)
			case 18:
				b.mu.Lock()
				pool := []string{"pool-a", "pool-b"}[pick(2)]
				b.routes[1]["service"] = pool
				b.mu.Unlock()
				b.record("queue-b goes to %s", pool)
				b.putConfig()
			case 19:
				b.record("queue-b is removed for %v", d)
				both := b.routes
				b.routes = both[:1]
				b.putConfig()
				time.Sleep(d)
				b.routes = both
				b.putConfig()
			case 20:
				b.record("all entries are killed")
				for _, e := range b.entries {
					e.signal(syscall.SIGKILL)
				}
				for _, e := range b.entries {
					e.wait(5 * time.Second)
				}
				time.Sleep(time.Duration(draw()*1500) * time.Millisecond)
				for _, e := range b.entries {
					e.start()
				}
			case 17:
				mode := []int{503, 429, hang, late}[pick(4)]
				part := b.store.anyPart(draw())
				mu.Lock()
				storeMode, storeUntil, storeShare, storePart = mode, time.Now().Add(3*d), 1, part
				mu.Unlock()
				b.record("store: mode %d for part %q, for %v", mode, part, 3*d)
				time.Sleep(3 * d)
				mu.Lock()
				storePart = ""
				mu.Unlock()
			}
			time.Sleep(time.Duration(draw()*2500) * time.Millisecond)
		}
	}()
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait()
	b.record("end of traffic")
	deadline := time.Now().Add(30 * time.Second)
	for {
		open := 0
		for _, j := range jobs {
			if j.accepted.IsZero() || j.lasts || j.state == "completed" || j.state == "cancelled" || j.state == "failed" {
				continue
			}
			status, text := b.entries[pick(3)].call("GET", host, j.prefix+j.id, nil, 3*time.Second)
			var answer struct{ State string }
			_ = json.Unmarshal(text, &answer)
			if status == 410 {
				b.breaks("LOST: GET of accepted job %s gives 410", j.id)
				j.state = "failed"
			}
			j.state = answer.State
			if answer.State == "failed" && !b.mayFail(j.id) || answer.State == "cancelled" && j.cancelled.IsZero() {
				b.breaks("LOST: job %s is %s without cause", j.id, answer.State)
			}
			if answer.State != "completed" && answer.State != "cancelled" && answer.State != "failed" {
				open++
			}
		}
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			b.breaks("LOST: %d jobs are open 30 s after the end of the traffic", open)
			for _, j := range jobs {
				if !j.accepted.IsZero() && !j.lasts && j.state != "completed" && j.state != "cancelled" {
					b.record("open: %s in %s: %q", j.id, j.prefix, j.state)
				}
			}
			break
		}
		time.Sleep(time.Second)
	}
	// What was never accepted, or was cancelled, must not run on.
	b.mu.Lock()
	for task, notes := range b.history {
		for _, note := range notes {
			for _, j := range jobs {
				if j.id == jobOf(task) && !j.cancelled.IsZero() && note.began.After(j.cancelled.Add(4*time.Second)) {
					b.broken = append(b.broken, "UNASKED: "+task+" starts after its cancel")
				}
			}
		}
	}
	b.mu.Unlock()
	for _, e := range b.entries {
		if !e.alive() {
			b.breaks("%s has ended by itself", e.name)
		}
	}
}

// wave requests maintenance of some instances.
func (b *bed) wave(atOnce, count int) {
	b.cloud.mu.Lock()
	number := int64(len(b.cloud.waves) + 1)
	var ids []string
	set := make(map[string]bool)
	for id := range b.cloud.machines {
		if len(ids) < count {
			ids = append(ids, id)
			set[id] = true
		}
	}
	b.cloud.waves[number] = set
	b.cloud.mu.Unlock()
	b.record("wave %d of %v, %d at once", number, ids, atOnce)
	b.store.put("op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": ids, "durationS": 30, "cap": atOnce})
}
