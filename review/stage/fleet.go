package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// tick is the resolution of the runs' progress.
	tick = 10 * time.Millisecond
	// heartbeat is the interval at which a worker writes its row; the row goes after three of them without one.
	heartbeat = 1500 * time.Millisecond
	// stopTime is the time that a stop takes.
	stopTime = 100 * time.Millisecond
	// leaseMax is the longest lease.
	leaseMax = 6 * time.Second
	// saveEvery is the work between two checkpoints, restoreTime the time that a start from one takes.
	saveEvery   = time.Second
	restoreTime = 100 * time.Millisecond
	// gangTime is how long a member of a gang waits for the others.
	gangTime = 3 * time.Second
	// maxEnds is the number of ends of one response.
	maxEnds = 500
)

// stepInfo is what the fleet knows of a step of a submitted job.
type stepInfo struct {
	count    int
	gang     bool
	saves    bool
	duration time.Duration
	// crashAfter is the time from a start to the crash of the worker, 0 for none.
	crashAfter time.Duration
}

// fleet is all instances with their workers.
type fleet struct {
	mu      sync.Mutex
	wake    *sync.Cond
	began   time.Time
	store   *store
	record  *record
	steps   map[string]stepInfo
	all     []*instance
	workers int
	// starts holds the starts that workers have begun, by task.
	starts  map[string][]startRecord
	crashes map[string]int
}

// startRecord is a start that a worker has begun.
type startRecord struct {
	at         time.Duration
	worker     string
	run        int64
	checkpoint string
	// crashes is the number of workers that had crashed under the task before.
	crashes int
}

// instance is one machine of the platform.
type instance struct {
	name, pool, zone, state string
	labels                  []string
	cpu, memory             int64
	worker                  *workerState
	holder                  string
	token                   int64
	waves                   map[int64]bool
}

// workerState is one boot of the worker on an instance.
type workerState struct {
	id       string
	instance *instance
	address  string
	listener net.Listener
	server   *http.Server
	alive    bool
	// dark is set while the platform hasn't noticed that the worker is silent.
	dark     bool
	booted   time.Time
	sequence int64
	fence    int64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int64
	ended    []end
	lastEnd  int64
}

type end struct {
	number     int64
	task       string
	run        int64
	how, saved string
}

type run struct {
	task       string
	number     int64
	step       stepInfo
	worker     *workerState
	started    time.Time
	checkpoint string
	base       time.Duration
	// worked is the work done since the start, together reports that all members of the gang are present.
	worked   time.Duration
	together bool
	stopAt   time.Time
	saved    string
	gang     string
}

func newFleet(s *store, rec *record) *fleet {
	f := &fleet{began: time.Now(), store: s, record: rec, steps: make(map[string]stepInfo), starts: make(map[string][]startRecord), crashes: make(map[string]int)}
	f.wake = sync.NewCond(&f.mu)
	go f.play()
	return f
}

// add adds an instance with a worker.
func (f *fleet) add(name, pool, zone string, cpu, memory int64, labels ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := &instance{name: name, pool: pool, zone: zone, state: "up", labels: labels, cpu: cpu, memory: memory, waves: make(map[int64]bool)}
	f.all = append(f.all, i)
	f.boot(i)
}

// boot starts a worker on the instance, under a new ID and at a new address.
func (f *fleet) boot(i *instance) { f.bootAt(i, "127.0.0.1:0") }

func (f *fleet) bootAt(i *instance, address string) {
	f.workers++
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	w := &workerState{
		id: fmt.Sprintf("i-%06x", f.workers*7919), instance: i, address: listener.Addr().String(), listener: listener, alive: true, booted: time.Now(),
		runs: make(map[string]*run), highest: make(map[string]int64),
	}
	i.worker, i.state = w, "up"
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { f.serve(w, rw, r) })}
	go func() { _ = w.server.Serve(listener) }()
	go f.register(w)
	f.record.write("worker %s boots on %s in pool %s", w.id, i.name, i.pool)
}

// register writes the worker's row at each heartbeat.
func (f *fleet) register(w *workerState) {
	k := rowKey{table: "servers", key: w.id}
	for {
		f.mu.Lock()
		if !w.alive {
			f.mu.Unlock()
			time.Sleep(3 * heartbeat)
			f.store.remove(k)
			return
		}
		w.sequence++
		i := w.instance
		value := object{
			"service": i.pool, "address": w.address, "zone": i.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"sequence": w.sequence, "capacity": object{"cpu": i.cpu, "memMb": i.memory, "gpu": 0}, "labels": i.labels, "machine": i.name,
		}
		f.mu.Unlock()
		f.store.put(k, value)
		time.Sleep(heartbeat)
	}
}

// stop ends the worker, as a crash or an order to its instance does.
func (f *fleet) stop(w *workerState) {
	w.alive = false
	for _, r := range w.sorted() {
		f.breakGang(r)
	}
	w.runs = make(map[string]*run)
	go func() { _ = w.server.Close() }()
	f.wake.Broadcast()
}

const (
	// reuseTime is the time after which the address of a worker that is gone may be another one's.
	reuseTime = 2100 * time.Millisecond
	// silentTime is the time from the last heartbeat of a worker until its row is removed.
	silentTime = 3 * heartbeat
)

// darken lets the worker of an instance fall silent for good. The platform notices it when its heartbeats stay away. Its address
// goes to a worker of another pool.
func (f *fleet) darken(i *instance, pool string) {
	w := i.worker
	names := []string{}
	for _, r := range w.sorted() {
		f.crashes[r.task]++
		names = append(names, fmt.Sprintf("%s/%d", r.task, r.number))
	}
	f.record.write("worker %s on %s falls silent for good, under %s", w.id, i.name, strings.Join(names, " "))
	w.dark, w.alive = true, false
	w.runs = make(map[string]*run)
	f.wake.Broadcast()
	time.AfterFunc(reuseTime, func() {
		_ = w.server.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		other := &instance{name: i.name + "-other", pool: pool, zone: i.zone, state: "up", labels: i.labels, cpu: i.cpu, memory: i.memory, waves: make(map[int64]bool)}
		f.all = append(f.all, other)
		f.bootAt(other, w.address)
	})
	time.AfterFunc(silentTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		i.state, w.dark = "down", false
	})
}

// crash ends the worker of an instance, and starts another one after the time.
func (f *fleet) crash(i *instance, down time.Duration) {
	w := i.worker
	names := []string{}
	for _, r := range w.sorted() {
		f.crashes[r.task]++
		names = append(names, fmt.Sprintf("%s/%d", r.task, r.number))
	}
	f.record.write("worker %s on %s crashes under %s", w.id, i.name, strings.Join(names, " "))
	i.state = "down"
	f.stop(w)
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.boot(i)
	})
}

func (w *workerState) sorted() []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

// clock is the worker's own clock in milliseconds.
func (w *workerState) clock() int64 { return time.Since(w.booted).Milliseconds() + 100_000 }

// play advances all runs.
func (f *fleet) play() {
	last := time.Now()
	for {
		time.Sleep(tick)
		f.mu.Lock()
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		for _, i := range f.all {
			w := i.worker
			if w == nil || !w.alive {
				continue
			}
			for _, r := range w.sorted() {
				if w.alive && w.runs[r.task] == r {
					f.advance(w, r, now, elapsed)
				}
			}
		}
		f.mu.Unlock()
	}
}

func (f *fleet) advance(w *workerState, r *run, now time.Time, elapsed time.Duration) {
	switch {
	case !r.stopAt.IsZero() && now.After(r.stopAt):
		f.finish(r, "stopped")
		return
	case w.clock() >= w.leaseEnd:
		f.finish(r, "lapsed")
		return
	case r.step.gang && !r.together:
		if now.Sub(r.started) >= gangTime {
			f.finish(r, "alone")
		}
		return
	}
	if r.checkpoint == "" || now.Sub(r.started) > restoreTime {
		r.worked += elapsed
	}
	if r.step.crashAfter > 0 && r.worked >= r.step.crashAfter {
		f.crash(w.instance, 3*time.Second)
		return
	}
	done := r.base + r.worked
	if r.step.saves && done/saveEvery > 0 {
		saved := done / saveEvery * saveEvery
		if saved > r.base || r.checkpoint == "" {
			r.saved = encodeCheckpoint(r.task, saved)
		}
	}
	if r.step.duration > 0 && done >= r.step.duration {
		f.finish(r, "done")
	}
}

// encodeCheckpoint returns the checkpoint of the task's step at a progress. That of each member of a gang is the same.
func encodeCheckpoint(task string, done time.Duration) string {
	return fmt.Sprintf("%08x%s", done.Milliseconds(), task[:8])
}

func decodeCheckpoint(checkpoint string) time.Duration {
	var ms int64
	if len(checkpoint) >= 8 {
		_, _ = fmt.Sscanf(checkpoint[:8], "%08x", &ms)
	}
	return time.Duration(ms) * time.Millisecond
}

// finish ends a run and lists its end.
func (f *fleet) finish(r *run, how string) {
	w := r.worker
	delete(w.runs, r.task)
	if how == "stopped" && r.step.saves && (!r.step.gang || r.together) {
		r.saved = encodeCheckpoint(r.task, r.base+r.worked)
	}
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, end{w.lastEnd, r.task, r.number, how, r.saved})
	f.record.write("worker %s ends %s run %d %s saved %q", w.id, r.task, r.number, how, r.saved)
	if r.step.gang && r.together && how == "done" {
		all := f.members(r)
		for _, m := range all {
			m.together = false
		}
		for _, m := range all {
			f.finish(m, "done")
		}
	} else {
		f.breakGang(r)
	}
	f.wake.Broadcast()
}

// members returns the other members of the run's gang that are running.
func (f *fleet) members(r *run) []*run {
	var all []*run
	for _, i := range f.all {
		if i.worker == nil || !i.worker.alive {
			continue
		}
		for _, m := range i.worker.sorted() {
			if m != r && m.step.gang && m.gang == r.gang {
				all = append(all, m)
			}
		}
	}
	return all
}

func (f *fleet) breakGang(r *run) {
	if !r.step.gang || !r.together {
		return
	}
	r.together = false
	for _, m := range f.members(r) {
		if m.together {
			m.together = false
			f.finish(m, "broken")
		}
	}
}

func (f *fleet) serve(w *workerState, rw http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	dark := w.dark
	f.mu.Unlock()
	if dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Instance-Id", w.id)
	if r.Method == http.MethodGet {
		respond(rw, http.StatusOK, object{})
		return
	}
	expected := r.Header.Get("Expected-Instance")
	if expected != "" && expected != w.id {
		respond(rw, http.StatusMisdirectedRequest, object{"clockMs": w.clock()})
		return
	}
	var body object
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.alive {
		panic(http.ErrAbortHandler)
	}
	refuse := func(reason string) { respond(rw, http.StatusConflict, object{"clockMs": w.clock(), "reason": reason}) }
	token := body.number(names["token"])
	if token < w.fence {
		refuse("fence")
		return
	}
	w.fence = token
	switch r.URL.Path {
	case names["start"]:
		f.start(w, rw, body, refuse)
	case names["stop"]:
		task, number := body.text("task"), body.number("run")
		w.highest[task] = max(w.highest[task], number)
		running := w.runs[task]
		if running != nil && running.number <= number && running.stopAt.IsZero() {
			running.stopAt = time.Now().Add(stopTime)
			f.record.write("worker %s stops %s run %d", w.id, task, running.number)
		}
		respond(rw, http.StatusOK, object{"clockMs": w.clock()})
	case names["renew"]:
		f.renew(w, rw, r, body)
	case names["pace"]:
		respond(rw, http.StatusOK, object{"clockMs": w.clock()})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *workerState) extend(leaseEnd int64) {
	if leaseEnd > 0 {
		w.leaseEnd = max(w.leaseEnd, min(leaseEnd, w.clock()+leaseMax.Milliseconds()))
	}
}

func (f *fleet) start(w *workerState, rw http.ResponseWriter, body object, refuse func(string)) {
	task, number, checkpoint := body.text("task"), body.number("run"), body.text("checkpoint")
	running := w.runs[task]
	leaseEnd := body.number(names["leaseEnd"])
	if leaseEnd <= w.clock() {
		refuse("late")
		return
	}
	w.extend(leaseEnd)
	switch {
	case running != nil && running.number == number:
		respond(rw, http.StatusOK, object{"clockMs": w.clock()})
		return
	case running != nil || number <= w.highest[task]:
		refuse("old")
		return
	}
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	step, known := f.steps[parts[0]+"."+parts[2]]
	if !known {
		f.record.write("UNASKED: worker %s is told to start %s", w.id, task)
	}
	r := &run{
		task: task, number: number, step: step, worker: w, started: time.Now(), checkpoint: checkpoint, base: decodeCheckpoint(checkpoint),
		saved: checkpoint, gang: fmt.Sprintf("%s.%s.%s/%d", parts[0], parts[1], parts[2], number),
	}
	w.runs[task] = r
	f.starts[task] = append(f.starts[task], startRecord{at: time.Since(f.began), worker: w.id, run: number, checkpoint: checkpoint, crashes: f.crashes[task]})
	f.record.write("worker %s begins %s run %d from checkpoint %q", w.id, task, number, checkpoint)
	if step.gang {
		f.join(r)
	}
	respond(rw, http.StatusOK, object{"clockMs": w.clock()})
}

// join begins the work of a gang once all of its members are present with the same checkpoint.
func (f *fleet) join(r *run) {
	members := append(f.members(r), r)
	for _, m := range members {
		if m.checkpoint != r.checkpoint {
			f.record.write("members of %s carry different checkpoints: %s %q and %s %q", r.gang, r.task, r.checkpoint, m.task, m.checkpoint)
			return
		}
	}
	if len(members) < r.step.count {
		return
	}
	for _, m := range members {
		m.together = true
	}
	f.record.write("all %d members of %s are present", len(members), r.gang)
}

func (f *fleet) renew(w *workerState, rw http.ResponseWriter, r *http.Request, body object) {
	w.extend(body.number(names["leaseEnd"]))
	seen := body.number(names["acknowledged"])
	for len(w.ended) > 0 && w.ended[0].number <= seen {
		w.ended = w.ended[1:]
	}
	wait := time.Duration(min(body.number("waitMs"), 2000)) * time.Millisecond
	until := time.Now().Add(wait)
	timer := time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.wake.Broadcast()
	})
	defer timer.Stop()
	for len(w.ended) == 0 && w.alive && time.Now().Before(until) {
		f.wake.Wait()
	}
	if !w.alive {
		panic(http.ErrAbortHandler)
	}
	running, ended := []any{}, []any{}
	for _, r := range w.sorted() {
		percent := 0.0
		if r.step.duration > 0 {
			percent = min(100, 100*float64(r.base+r.worked)/float64(r.step.duration))
		}
		running = append(running, []any{r.task, r.number, r.saved, int(percent), 1000})
	}
	for _, e := range w.ended[:min(maxEnds, len(w.ended))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	respond(rw, http.StatusOK, object{"clockMs": w.clock(), "running": running, "ended": ended})
}
