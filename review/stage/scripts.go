package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// scripts holds the scripts by name.
var scripts = map[string]func(*stage, string) int{
	"gang":      playGang,
	"late":      playLateCrash,
	"dark":      playDark,
	"wave":      playWave,
	"cancelled": playCancelled,
}

// playGang runs gangs that save checkpoints. With trouble one worker crashes.
func playGang(s *stage, program string) int {
	const members, gangs, instances = 6, 4, 8
	s.configure(1, 3, "pool")
	for i := range instances {
		s.fleet.add(fmt.Sprintf("m-%d", i+1), "pool", []string{"zone-a", "zone-b", "zone-c"}[i%3], 16000, 32768, "kind-a", fmt.Sprintf("r%d-1", i%3+1))
	}
	s.start(program, 3)
	time.Sleep(4 * time.Second)
	var ids []string
	for g := range gangs {
		id := fmt.Sprintf("5c0e7a21d94b36f%x", g)
		ids = append(ids, id)
		step := object{"count": members, "cpu": 2000, "memMb": 256, "estimatedMs": 12000, "gang": true, "checkpointing": true, names["perWorker"]: 1}
		s.submit(s.entries[g%len(s.entries)], "pool", id, []object{step}, []stepInfo{{count: members, gang: true, saves: true, duration: 12 * time.Second}})
		time.Sleep(250 * time.Millisecond)
	}
	if s.trouble {
		time.Sleep(5 * time.Second)
		s.fleet.mu.Lock()
		var most *instance
		for _, i := range s.fleet.all {
			if most == nil || len(i.worker.runs) > len(most.worker.runs) {
				most = i
			}
		}
		s.fleet.crash(most, 4*time.Second)
		s.fleet.mu.Unlock()
	}
	s.waitFor(ids, 40*time.Second)
	return s.checkGangs(ids)
}

// waitFor waits until all jobs have ended, for the time at most.
func (s *stage) waitFor(ids []string, limit time.Duration) {
	until := time.Now().Add(limit)
	for n := 0; time.Now().Before(until); n++ {
		open := 0
		for _, id := range ids {
			state := s.state(s.entries[n%len(s.entries)], "pool", id)
			if state != "completed" && state != "failed" && state != "cancelled" {
				open++
			}
		}
		if open == 0 {
			return
		}
		time.Sleep(time.Second)
	}
}

// checkGangs checks that the members of each run of a gang were started with one checkpoint.
func (s *stage) checkGangs(ids []string) int {
	open := 0
	for _, id := range ids {
		state := s.state(s.entries[0], "pool", id)
		if state != "completed" {
			open++
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	given := make(map[string]map[string][]string)
	for task, starts := range s.fleet.starts {
		parts := strings.Split(task, ".")
		for _, start := range starts {
			gang := fmt.Sprintf("%s.%s.%s run %d", parts[0], parts[1], parts[2], start.run)
			if given[gang] == nil {
				given[gang] = make(map[string][]string)
			}
			given[gang][start.checkpoint] = append(given[gang][start.checkpoint], parts[3])
		}
	}
	var gangs []string
	for gang := range given {
		gangs = append(gangs, gang)
	}
	sort.Strings(gangs)
	mixed := 0
	for _, gang := range gangs {
		if len(given[gang]) > 1 {
			mixed++
			s.record.write("the members of %s were started with different checkpoints: %v", gang, given[gang])
		}
	}
	s.record.write("of %d runs of gangs %d were started with different checkpoints; %d of %d jobs aren't completed", len(gangs), mixed, open, len(ids))
	if mixed > 0 {
		s.record.write("BROKEN: UNASKED")
		return broken
	}
	return held
}

// playLateCrash runs a task that crashes each worker that starts it, some seconds after the start.
func playLateCrash(s *stage, program string) int {
	s.configure(1, 3, "pool")
	for i := range 8 {
		s.fleet.add(fmt.Sprintf("m-%d", i+1), "pool", []string{"zone-a", "zone-b", "zone-c"}[i%3], 16000, 32768, "kind-a", fmt.Sprintf("r%d-1", i%3+1))
	}
	s.start(program, 3)
	time.Sleep(4 * time.Second)
	const id, other = "5c0e7a21d94b36f8", "77aa7a21d94b36f8"
	info := stepInfo{count: 1, duration: 8 * time.Second}
	if s.trouble {
		info.crashAfter = *crashAfter
	}
	s.submit(s.entries[0], "pool", id, []object{{"count": 1, "cpu": 2000, "memMb": 256, "estimatedMs": 8000}}, []stepInfo{info})
	s.submit(s.entries[1], "pool", other, []object{{"count": 16, "cpu": 4000, "memMb": 256, "estimatedMs": 20000}}, []stepInfo{{count: 16, duration: 20 * time.Second}})
	s.waitFor([]string{id}, 75*time.Second)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	later := 0
	for _, start := range s.fleet.starts[id+".0.0.0"] {
		if start.crashes >= 3 {
			later++
		}
	}
	s.record.write("the task was started %d times, %d workers crashed under it, %d starts came after three crashes", len(s.fleet.starts[id+".0.0.0"]), s.fleet.crashes[id+".0.0.0"], later)
	if later >= 3 {
		s.record.write("BROKEN: BUDGET")
		return broken
	}
	return held
}

// playDark submits jobs while some workers have fallen silent and their addresses are those of others.
func playDark(s *stage, program string) int {
	const instances, lost = 30, 4
	s.configure(1, 3, "pool", "other")
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range instances {
		s.fleet.add(fmt.Sprintf("m-%02d", i+1), "pool", zones[i%3], 16000, 32768, "kind-a", fmt.Sprintf("r%d-1", i%3+1))
	}
	s.start(program, 3)
	time.Sleep(5 * time.Second)
	if s.trouble {
		s.fleet.mu.Lock()
		// They are of one data centre, as after a loss of power there.
		n := 0
		for _, i := range append([]*instance{}, s.fleet.all...) {
			if i.zone == zones[0] && n < lost {
				n++
				s.fleet.darken(i, "other")
			}
		}
		s.fleet.mu.Unlock()
	}
	time.Sleep(reuseTime + 100*time.Millisecond)
	var ids []string
	for n := range 6 {
		id := fmt.Sprintf("5c0e7a21d94b36f%x", n)
		ids = append(ids, id)
		s.submit(s.entries[n%len(s.entries)], "pool", id, []object{{"count": 1, "cpu": 12000, "memMb": 256, "estimatedMs": 1000}}, []stepInfo{{count: 1, duration: time.Second}})
		time.Sleep(200 * time.Millisecond)
	}
	s.waitFor(ids, 30*time.Second)
	result := held
	for _, id := range ids {
		state := s.state(s.entries[0], "pool", id)
		s.fleet.mu.Lock()
		starts, crashes := len(s.fleet.starts[id+".0.0.0"]), s.fleet.crashes[id+".0.0.0"]
		s.fleet.mu.Unlock()
		s.record.write("job %s is %s; its task was begun %d times, %d workers crashed under it, and no run failed", id, state, starts, crashes)
		if state == "failed" && crashes < 2 {
			s.record.write("BROKEN: LOST")
			result = broken
		}
	}
	return result
}

// playWave maintains some instances one at a time while jobs run. With trouble every other order for a maintenance gets no response
// and is carried out 5 s later.
func playWave(s *stage, program string) int {
	const instances, due, atOnce = 24, 11, 1
	s.configure(1, 3, "pool")
	for i := range instances {
		s.fleet.add(fmt.Sprintf("m-%d", i+1), "pool", []string{"zone-a", "zone-b", "zone-c"}[i%3], 16000, 32768, "kind-a", fmt.Sprintf("r%d-1", i%3+1))
	}
	if s.trouble {
		orders := 0
		s.cloud.hold = func(string) time.Duration {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			orders++
			if orders%2 == 0 {
				return 0
			}
			return 5 * time.Second
		}
	}
	most := 0
	s.cloud.maintained = func(name string) {
		down := 0
		for _, i := range s.fleet.all {
			if i.state == "upkeep" {
				down++
			}
		}
		running := 0
		for _, i := range s.fleet.all {
			if i.name == name {
				running = len(i.worker.runs)
			}
		}
		most = max(most, down)
		s.record.write("the maintenance of %s begins, with %d runs there; %d of the wave are down now, at most %d allowed", name, running, down, atOnce)
	}
	s.start(program, 3)
	time.Sleep(4 * time.Second)
	var machines []string
	for i := range due {
		machines = append(machines, fmt.Sprintf("m-%d", i+1))
	}
	s.store.put(rowKey{table: "op", key: "wave/1"}, object{"wave": 1, "machines": machines, "durationS": 90, "cap": atOnce})
	var ids []string
	for n := range 600 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		ids = append(ids, id)
		s.submit(s.entries[n%len(s.entries)], "pool", id, []object{{"count": 4, "cpu": 6000, "memMb": 256, "estimatedMs": 1500}}, []stepInfo{{count: 4, duration: 1500 * time.Millisecond}})
		time.Sleep(140 * time.Millisecond)
	}
	s.waitFor(ids[len(ids)-1:], 10*time.Second)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.record.write("at most %d instances of the wave were down at the same time", most)
	if most > atOnce {
		s.record.write("BROKEN: LIMIT")
		return broken
	}
	return held
}

// playCancelled submits a job and cancels it. With trouble the store gives no response to the write of the submission, and carries
// it out some seconds later.
func playCancelled(s *stage, program string) int {
	const id, cancelTime = "5c0e7a21d94b36f8", 3 * time.Second
	s.configure(1, 3, "pool")
	for i := range 4 {
		s.fleet.add(fmt.Sprintf("m-%d", i+1), "pool", []string{"zone-a", "zone-b", "zone-c"}[i%3], 16000, 32768, "kind-a", fmt.Sprintf("r%d-1", i%3+1))
	}
	s.start(program, 3)
	time.Sleep(4 * time.Second)
	s.fleet.mu.Lock()
	s.fleet.steps[id+".0"] = stepInfo{count: 2, duration: 2 * time.Second}
	s.fleet.mu.Unlock()
	if s.trouble {
		s.store.mu.Lock()
		s.store.late[id] = 5500 * time.Millisecond
		s.store.mu.Unlock()
	}
	e := s.entries[0]
	s.callWithin(e, "POST", "/pool/"+id, object{"spec": "work", "steps": []object{{"count": 2, "cpu": 2000, "memMb": 256, "estimatedMs": 2000}}}, time.Second)
	status, _ := s.call(e, "DELETE", "/pool/"+id, nil)
	cancelled := time.Since(s.fleet.began)
	if status != 410 && (status < 200 || status > 299) {
		s.record.write("the cancel isn't acknowledged")
		return failedToRun
	}
	for range 12 {
		time.Sleep(time.Second)
		s.state(e, "pool", id)
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	result := held
	for task, starts := range s.fleet.starts {
		for _, start := range starts {
			if start.at-cancelled > cancelTime {
				s.record.write("%s was started %v after the cancel of its job was acknowledged", task, start.at-cancelled)
				result = broken
			}
		}
	}
	if result == broken {
		s.record.write("BROKEN: UNASKED")
	}
	return result
}
