package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for one boot of an instance: it runs tasks under a lease and lists runs and ends.
type worker struct {
	b        *bed
	id       string
	instance string
	pool     string
	zone     string
	rack     string
	address  string
	cpu, mem int64
	server   *http.Server
	began    time.Time

	// mu is shared by all workers, since the members of a gang end together.
	mu       *sync.Mutex
	up       bool
	token    int64
	leaseEnd int64
	runs     map[string]*taskRun
	// barred holds, by task, the highest run that was stopped or has ended.
	barred  map[string]int64
	ends    [][]any
	lastEnd int64
	changed chan struct{}
	state   string
	seq     int
	// lapsedAt is when the lease last lapsed.
	lapsedAt time.Time
	lapsed   bool
	// dark is set while the worker is silent: its connections stay open and nothing is answered.
	dark bool
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task   string
	run    int64
	spec   spec
	began  time.Time
	stopAt time.Time
	saved  string
	failAt time.Time
	// savedAt is when the run saved its progress last.
	savedAt time.Time
	// crashes is set once the task has crashed its worker.
	crashes bool
	on      *worker
	endedAt time.Time
	how     string
}

// spec is what the text of a job says of its tasks: how long they take, and whether they last.
type spec struct {
	Ms    int   `json:"ms"`
	Lasts bool  `json:"lasts"`
	CPU   int64 `json:"cpu"`
	Mem   int64 `json:"mem"`
	Fails bool  `json:"fails"`
	// MeanMs is the mean time after which a lasting task fails, 0 for one that doesn't.
	MeanMs int `json:"mean"`
	// CrashMs is the time after which a task crashes its worker, 0 for one that doesn't.
	CrashMs int `json:"crash"`
	// Count is the number of the step's tasks; Gang reports that they run together, and Copies that a task may run twice at a time.
	Count  int  `json:"count"`
	Gang   bool `json:"gang"`
	Copies bool `json:"copies"`
	// Label is the label that the worker must have.
	Label string `json:"label"`
	// FirstMs and IntervalMs are the times of the job's occurrences.
	FirstMs    int64 `json:"first"`
	IntervalMs int64 `json:"interval"`
	// FailShare is the share of runs that fail; Saves reports that the tasks save their progress.
	FailShare float64 `json:"failShare"`
	Saves     bool    `json:"saves"`
	// Steps holds the specs of the steps where they differ.
	Steps []spec `json:"steps"`
}

// gang is one run of a gang.
type gang struct {
	members map[string]*taskRun
	since   time.Time
	began   time.Time
}

const gangTimeout = 3 * time.Second

// gangOf returns the name of the run of a gang to which the run of a task belongs.
func gangOf(r *taskRun) string {
	return fmt.Sprintf("%s %d", r.task[:strings.LastIndex(r.task, ".")], r.run)
}

const maxLeaseMs = 6000

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 100000 }

func (w *worker) start() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		w.b.fatal("listen for worker: %v", err)
	}
	w.address = listener.Addr().String()
	w.up = true
	w.server = &http.Server{Handler: w.b.conns.wrap(w), ConnContext: w.b.conns.add, ConnState: w.b.conns.changed}
	go func() { _ = w.server.Serve(listener) }()
	go w.run()
	w.register()
	go func() {
		for range time.Tick(1500 * time.Millisecond) {
			w.mu.Lock()
			up := w.up
			w.mu.Unlock()
			if !up {
				return
			}
			w.register()
		}
	}()
}

// register writes the worker's row.
func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	body := map[string]any{
		"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack}, "machine": w.instance,
		"clockMs": w.clock(), "sequence": w.seq,
	}
	up := w.up
	w.mu.Unlock()
	if up {
		w.b.store.put("servers", w.id, body)
	}
}

// end ends the worker with all of its runs. A dark one closes no connection for the time.
func (w *worker) end(how string, dark time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up, w.dark = false, dark > 0
	for _, r := range w.runs {
		w.finish(r, how)
	}
	w.mu.Unlock()
	if dark > 0 {
		time.AfterFunc(dark, func() { _ = w.server.Close() })
		return
	}
	_ = w.server.Close()
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// finish ends a run, and the other runs of its gang; mu is held.
func (w *worker) finish(r *taskRun, how string) {
	w.finishOne(r, how)
	g := w.b.gangs[gangOf(r)]
	if !r.spec.Gang || g == nil {
		return
	}
	delete(w.b.gangs, gangOf(r))
	if how != "done" {
		how = "broken"
	}
	for _, other := range g.members {
		if other != r && other.on.runs[other.task] == other {
			other.on.finishOne(other, how)
		}
	}
}

func (w *worker) finishOne(r *taskRun, how string) {
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.run, how, r.saved})
	r.endedAt, r.how = time.Now(), how
	w.b.noteEnd(w, r, how)
	w.wake()
}

func (w *worker) run() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		if !w.up {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		expired := w.leaseEnd != 0 && w.clock() > w.leaseEnd
		if expired && !w.lapsed {
			w.lapsedAt = now
		}
		w.lapsed = expired
		if expired {
			for _, r := range w.runs {
				w.finish(r, "lapsed")
			}
		}
		for _, r := range w.runs {
			if w.runs[r.task] != r {
				continue
			}
			switch {
			case r.spec.CrashMs > 0 && !r.crashes && now.Sub(r.began) >= time.Duration(r.spec.CrashMs)*time.Millisecond:
				r.crashes = true
				w.b.record("%s crashes its worker %s", r.task, w.id)
				go w.b.cloud.crash(w.instance, rebootTime)
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.save(r)
				w.finish(r, "stopped")
			case r.spec.Lasts && !r.failAt.IsZero() && now.After(r.failAt):
				w.finish(r, "failed")
			case r.spec.Lasts || !r.stopAt.IsZero():
			case r.spec.Gang && !w.gangRuns(r, now):
			case now.Sub(r.began) >= time.Duration(r.spec.Ms)*time.Millisecond:
				how := "done"
				if r.spec.Fails || rand.Float64() < r.spec.FailShare {
					how = "failed"
				}
				w.finish(r, how)
			}
		}
		w.mu.Unlock()
	}
}

// gangRuns reports whether all members of the run's gang are present; alone it ends after gangTimeout. mu is held.
func (w *worker) gangRuns(r *taskRun, now time.Time) bool {
	g := w.b.gangs[gangOf(r)]
	switch {
	case g == nil:
		return false
	case !g.began.IsZero():
		r.began = g.began
		return true
	case len(g.members) == r.spec.Count:
		g.began = now
		return true
	case now.Sub(g.since) > gangTimeout:
		w.finish(r, "alone")
	}
	return false
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	dark := w.dark
	w.mu.Unlock()
	if dark {
		<-r.Context().Done()
		return
	}
	if w.b.BeforeWorker != nil && r.Header.Get("Carried-Out-Late") == "" {
		switch status := w.b.BeforeWorker(w, r.URL.Path); {
		case status == hang:
			<-r.Context().Done()
			return
		case status == late:
			w.serveLate(r)
			return
		case status > 0:
			rw.Header().Set(names["id"], w.id)
			rw.WriteHeader(status)
			return
		case status < 0:
			abort(rw)
			return
		}
	}
	rw.Header().Set(names["id"], w.id)
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var body map[string]json.RawMessage
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case names["start"]:
		w.serveStart(rw, body)
	case names["stop"]:
		w.serveStop(rw, body)
	case names["hold"]:
		w.serveHold(rw, r, body)
	case names["pace"]:
		w.answer(rw, "")
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// The further results of the functions that are called before a call is handled: no response, and no response to a call that is
// carried out seconds later.
const (
	hang = -2
	late = -3
)

// serveLate carries out a call seconds later and doesn't respond.
func (w *worker) serveLate(r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	again, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(text))
	again.Header = r.Header.Clone()
	again.Header.Set("Carried-Out-Late", "1")
	delay := 2*time.Second + time.Duration(rand.Intn(10000))*time.Millisecond
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		up := w.up
		w.mu.Unlock()
		if up {
			w.ServeHTTP(httptest.NewRecorder(), again)
		}
	})
	<-r.Context().Done()
}

func number(body map[string]json.RawMessage, name string) int64 {
	var n float64
	_ = json.Unmarshal(body[name], &n)
	return int64(n)
}

func text(body map[string]json.RawMessage, name string) string {
	var t string
	_ = json.Unmarshal(body[name], &t)
	return t
}

func (w *worker) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clockMs": w.clock()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	reply(rw, status, body)
}

// extend applies a lease, whose end never moves back; mu is held.
func (w *worker) extend(end int64) {
	if end == 0 {
		return
	}
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock()+maxLeaseMs))
}

func (w *worker) serveStart(rw http.ResponseWriter, body map[string]json.RawMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, run, token, lease := text(body, "task"), number(body, "run"), number(body, names["token"]), number(body, names["lease"])
	if token < w.token {
		w.answer(rw, "fence")
		return
	}
	w.token = token
	present := w.runs[task]
	switch {
	case present != nil && present.run == run:
		w.extend(lease)
		w.answer(rw, "")
		return
	case lease <= w.clock():
		w.answer(rw, "late")
		return
	case run <= w.barred[task] || present != nil:
		w.extend(lease)
		w.answer(rw, "old")
		return
	}
	if step := task[:strings.LastIndex(task, ".")]; w.b.policy != nil && !w.b.policy.allows(step, w.id, text(body, "ticket")) {
		w.answer(rw, "ticket")
		return
	}
	w.extend(lease)
	var s spec
	_ = json.Unmarshal([]byte(text(body, "spec")), &s)
	if len(s.Steps) > 0 {
		s = s.Steps[stepOf(task)]
	}
	r := &taskRun{task: task, run: run, spec: s, began: time.Now(), saved: text(body, "checkpoint"), on: w}
	w.checkSaved(r)
	w.runs[task] = r
	if s.MeanMs > 0 {
		r.failAt = r.began.Add(drawFailure(task, run, s.MeanMs))
	}
	if s.Gang {
		g := w.b.gangs[gangOf(r)]
		if g == nil {
			g = &gang{members: make(map[string]*taskRun), since: time.Now()}
			w.b.gangs[gangOf(r)] = g
		}
		g.members[task] = r
	}
	w.b.noteStart(w, r, token)
	w.answer(rw, "")
}

// drawFailure returns the time after which a run of a lasting task fails. It is the same each time for the same run.
func drawFailure(task string, run int64, meanMs int) time.Duration {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", task, run)
	draw := rand.New(rand.NewSource(int64(hash.Sum64()))).ExpFloat64()
	return time.Duration(draw * float64(meanMs) * float64(time.Millisecond))
}

func (w *worker) serveStop(rw http.ResponseWriter, body map[string]json.RawMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, run, token := text(body, "task"), number(body, "run"), number(body, names["token"])
	if token < w.token {
		w.answer(rw, "fence")
		return
	}
	w.token = token
	w.barred[task] = max(w.barred[task], run)
	if r := w.runs[task]; r != nil && r.run <= run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(w.b.stopTime)
	}
	w.answer(rw, "")
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, body map[string]json.RawMessage) {
	w.mu.Lock()
	token := number(body, names["token"])
	if token < w.token {
		w.answer(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.token = token
	w.extend(number(body, names["lease"]))
	seen := number(body, names["seen"])
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= seen {
		w.b.noteSeen(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	deadline := time.Now().Add(time.Duration(number(body, "waitMs")) * time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(deadline) && w.up {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	if !w.up {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.runs {
		percent := 50.0
		if t.spec.Lasts {
			percent = min(100, float64(time.Since(t.began).Milliseconds())/3)
		} else if t.spec.Ms > 0 {
			percent = min(99, 100*float64(time.Since(t.began).Milliseconds())/float64(t.spec.Ms))
		}
		percent = math.Floor(percent)
		if t.spec.Saves && time.Since(t.savedAt) > checkpointTime && time.Since(t.began) > checkpointTime {
			w.save(t)
		}
		running = append(running, []any{t.task, t.run, t.saved, percent, 100})
	}
	ended = append(ended, w.ends[:min(len(w.ends), 500)]...)
	reply(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "running": running, "ended": ended})
	w.mu.Unlock()
}

// used returns what runs on the worker; mu is held.
func (w *worker) used() (cpu, mem int64) {
	for _, r := range w.runs {
		cpu += r.spec.CPU
		mem += r.spec.Mem
	}
	return cpu, mem
}

// jobOf returns the ID of the job of a task.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// stepOf returns the number of the step of a task.
func stepOf(task string) int {
	n, _ := strconv.Atoi(strings.Split(task, ".")[2])
	return n
}

func (w *worker) String() string { return fmt.Sprintf("%s (%s in %s)", w.id, w.instance, w.pool) }
