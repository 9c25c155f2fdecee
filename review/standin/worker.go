package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is the number of ends that a worker returns at a time, as the pages say.
const maxListedEnds = 500

// behaviour returns how long a run lasts and how it ends; a duration of 0 lasts until it is stopped.
type behaviour func(task string, run int64, w *worker) (time.Duration, string)

type activeRun struct {
	number int64
	began  time.Time
	lasts  time.Duration
	timer  *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is a stand-in for one life of a worker.
type worker struct {
	id, instance, pool, address, dataCentre, rack string
	capacity                                      map[string]any
	behave                                        behaviour
	log                                           *recorder
	leaseMax, stopTime                            time.Duration

	mu      sync.Mutex
	began   time.Time
	token   int64
	active  map[string]*activeRun
	highest map[string]int64
	ended   []endedRun
	lastEnd int64
	noted   int64
	lease   time.Time
	lapse   *time.Timer
	changed chan struct{}
	// registered is set once the registration is written, which doesn't change any more.
	registered bool
	server     *http.Server
	maxEnds    int
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

func (w *worker) at(clock int64) time.Time {
	return w.began.Add(time.Duration(clock-1000) * time.Millisecond)
}

func (w *worker) start(listener net.Listener) {
	w.began = time.Now()
	w.active, w.highest, w.changed = make(map[string]*activeRun), make(map[string]int64), make(chan struct{})
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
}

// beat writes the worker's registration, unless it is written already.
func (w *worker) beat(s *store) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.registered {
		return
	}
	w.registered = s.put("servers", w.id, map[string]any{
		"service": w.pool, "address": w.address, "zone": w.dataCentre, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": w.capacity, "labels": []string{"a", w.rack}, "clockMs": w.clock(), "sequence": 1, "machine": w.instance,
	})
}

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(wire("idHeader"), w.id)
	expected := r.Header.Get(wire("expectedHeader"))
	if expected != "" && expected != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock()})
		return
	}
	if r.URL.Path == wire("health") {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var body map[string]any
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil {
		respond(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock()})
		return
	}
	switch r.URL.Path {
	case wire("start"):
		w.serveStart(rw, body)
	case wire("stop"):
		w.serveStop(rw, body)
	case wire("hold"):
		w.serveHold(rw, r, body)
	case wire("pace"):
		respond(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
	default:
		http.NotFound(rw, r)
	}
}

func number(body map[string]any, name string) int64 {
	value, _ := body[name].(float64)
	return int64(value)
}

func text(body map[string]any, name string) string {
	value, _ := body[name].(string)
	return value
}

// fenced reports whether the call carries a lower token than an earlier one; it is called with the lock held.
func (w *worker) fenced(body map[string]any) bool {
	token := number(body, wire("token"))
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend extends the lease to the end in the call, if there is one.
func (w *worker) extend(body map[string]any) {
	until := number(body, wire("leaseEnd"))
	if until == 0 {
		return
	}
	end := w.at(until)
	latest := time.Now().Add(w.leaseMax)
	if end.After(latest) {
		end = latest
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(end), w.checkLease)
}

// checkLease records that the lease has expired, and ends all runs then.
func (w *worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.lease) {
		return
	}
	w.log.add(event{kind: "lapse", worker: w.id})
	for task := range w.active {
		w.finish(task, "lapsed")
	}
	w.notify()
}

func (w *worker) serveStart(rw http.ResponseWriter, body map[string]any) {
	task, run := text(body, "task"), number(body, "run")
	w.mu.Lock()
	status, reason := w.tryStart(task, run, body)
	answer := map[string]any{"clockMs": w.clock()}
	w.mu.Unlock()
	if reason != "" {
		answer["reason"] = reason
		w.log.add(event{kind: "refused", worker: w.id, task: task, run: run, how: reason})
	}
	respond(rw, status, answer)
}

func (w *worker) tryStart(task string, run int64, body map[string]any) (int, string) {
	if w.fenced(body) {
		return http.StatusConflict, "fence"
	}
	w.extend(body)
	present := w.active[task]
	if present != nil && present.number == run {
		return http.StatusOK, ""
	}
	if run <= w.highest[task] || present != nil {
		return http.StatusConflict, "old"
	}
	if !time.Now().Before(w.lease) {
		return http.StatusConflict, "late"
	}
	lasts, how := w.behave(task, run, w)
	a := &activeRun{number: run, began: time.Now(), lasts: lasts}
	w.active[task] = a
	w.log.add(event{kind: "start", worker: w.id, task: task, run: run, token: w.token, spec: text(body, "spec")})
	if lasts > 0 {
		a.timer = time.AfterFunc(lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[task] != a {
				return
			}
			w.finish(task, how)
			w.notify()
		})
	}
	return http.StatusOK, ""
}

// finish lists the end of a run; it is called with the lock held.
func (w *worker) finish(task, how string) {
	a := w.active[task]
	delete(w.active, task)
	w.highest[task] = max(w.highest[task], a.number)
	if a.timer != nil {
		a.timer.Stop()
	}
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, a.number, how})
	w.log.add(event{kind: "end", worker: w.id, task: task, run: a.number, how: how, number: w.lastEnd})
}

func (w *worker) serveStop(rw http.ResponseWriter, body map[string]any) {
	task, run := text(body, "task"), number(body, "run")
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(body) {
		respond(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		return
	}
	w.highest[task] = max(w.highest[task], run)
	a := w.active[task]
	if a != nil && a.number <= run {
		stopped := a
		w.log.add(event{kind: "stop", worker: w.id, task: task, run: a.number})
		time.AfterFunc(min(w.stopTime, 50*time.Millisecond), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[task] != stopped {
				return
			}
			w.finish(task, "stopped")
			w.notify()
		})
	}
	respond(rw, http.StatusOK, map[string]any{"clockMs": w.clock()})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, body map[string]any) {
	wait := time.Duration(number(body, "waitMs")) * time.Millisecond
	w.mu.Lock()
	if w.fenced(body) {
		respond(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "reason": "fence"})
		w.mu.Unlock()
		return
	}
	w.extend(body)
	noted := min(number(body, wire("acknowledged")), w.lastEnd)
	if noted > w.noted {
		w.log.add(event{kind: "noted", worker: w.id, number: noted})
		w.noted = noted
		i := sort.Search(len(w.ended), func(i int) bool { return w.ended[i].number > noted })
		w.ended = append([]endedRun{}, w.ended[i:]...)
	}
	deadline := time.NewTimer(min(wait, 2*time.Second))
	defer deadline.Stop()
	for len(w.ended) == 0 && wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
			w.mu.Lock()
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		w.mu.Lock()
		break
	}
	running, ended := [][]any{}, [][]any{}
	for task, a := range w.active {
		percent := 100.0
		if a.lasts > 0 {
			percent = min(99, 100*float64(time.Since(a.began))/float64(a.lasts))
		}
		running = append(running, []any{task, a.number, "", int(percent), 100})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.maxEnds = max(w.maxEnds, len(w.ended))
	answer := map[string]any{"clockMs": w.clock(), "running": running, "ended": ended}
	w.mu.Unlock()
	respond(rw, http.StatusOK, answer)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
