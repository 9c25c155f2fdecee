package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

// cloud is a stand-in for the instance service: it lists instances, moves them between pools and takes them down for maintenance.
type cloud struct {
	b  *bed
	mu sync.Mutex
	// machines holds the instances by ID.
	machines map[string]*machine
	// waves holds, by number, the instances of each wave.
	waves map[int64]map[string]bool
	boots int
	// Before is called before a call is handled, and returns a status to answer with, 0 to go on.
	Before func(path string) int
	// Lose is called before an order is carried out and reports whether its response is to be lost.
	Lose func() bool
}

// machine is an instance.
type machine struct {
	id, pool, state, zone, rack string
	cpu, mem                    int64
	worker                      *worker
	fence                       int64
	maintained                  map[int64]bool
	ports                       int
}

const (
	moveTime        = 1500 * time.Millisecond
	maintenanceTime = 2 * time.Second
	callTime        = 4 * time.Millisecond
	// rebootTime is the time from a crash to the next boot of an instance.
	rebootTime = 3 * time.Second
)

// boot starts a worker on the instance; mu is held.
func (c *cloud) boot(m *machine) {
	c.boots++
	m.state = "up"
	if c.b.spare[m.pool] {
		m.worker = nil
		return
	}
	m.worker = &worker{
		b: c.b, mu: &c.b.workersMu, id: fmt.Sprintf("i-%04x", c.boots), instance: m.id, pool: m.pool, zone: m.zone, rack: m.rack, address: c.b.ip(200) + ":0",
		cpu: m.cpu, mem: m.mem, began: time.Now(), runs: make(map[string]*taskRun), barred: make(map[string]int64), changed: make(chan struct{}), state: "ready",
	}
	m.worker.start()
	c.b.addWorker(m.worker)
}

// down ends what runs on the instance and boots it again after a time, in the pool.
func (c *cloud) down(m *machine, state, pool string, d time.Duration) {
	w := m.worker
	m.state, m.worker = state, nil
	if w != nil {
		w.end("gone", 0)
		c.b.store.drop("servers", w.id)
	}
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.pool = pool
		c.boot(m)
	})
}

// crash ends the worker of an instance without notice; another one boots after the time.
func (c *cloud) crash(id string, d time.Duration) { c.crashSilently(id, d, 0) }

// crashSilently ends the worker of an instance, which is silent for a time, while its connections stay open.
func (c *cloud) crashSilently(id string, d, dark time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m.state != "up" || m.worker == nil {
		return
	}
	w := m.worker
	m.state, m.worker = "down", nil
	w.end("crashed", dark)
	c.b.record("crash of worker %s on %s", w.id, id)
	time.AfterFunc(4500*time.Millisecond, func() { c.b.store.drop("servers", w.id) })
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.boot(m)
	})
}

// lose ends the worker of an instance without notice; the instance is down from then on.
func (c *cloud) lose(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	w := m.worker
	if w == nil {
		return
	}
	m.state, m.worker = "down", nil
	w.end("crashed", 0)
	c.b.record("worker %s on %s is lost for good", w.id, id)
	time.AfterFunc(4500*time.Millisecond, func() { c.b.store.drop("servers", w.id) })
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callTime)
	if c.Before != nil {
		status := c.Before(r.URL.Path)
		if status > 0 {
			w.WriteHeader(status)
			return
		}
		if status == hang {
			<-r.Context().Done()
			return
		}
		if status < 0 {
			abort(w)
			return
		}
	}
	if r.URL.Path == names["list"] {
		c.serveList(w)
		return
	}
	var body map[string]json.RawMessage
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get(names["fence"]), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[text(body, "machine")]
	if m == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if fence < m.fence {
		reply(w, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	}
	m.fence = fence
	if c.Lose != nil && c.Lose() {
		// The call is carried out, and its response is lost.
		defer abort(w)
		w = httptest.NewRecorder()
	}
	switch r.URL.Path {
	case names["move"]:
		c.serveMove(w, m, text(body, "pool"), r.Header.Get(names["holder"]), fence)
	case names["upkeep"]:
		c.serveUpkeep(w, m, number(body, "wave"), r.Header.Get(names["holder"]), fence)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) serveMove(w http.ResponseWriter, m *machine, pool, holder string, fence int64) {
	switch {
	case m.pool == pool && m.state == "up":
		reply(w, http.StatusOK, struct{}{})
	case m.state != "up":
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		c.b.record("move of %s from %s to %s by %s, fence %d", m.id, m.pool, pool, holder, fence)
		c.down(m, "moving", pool, moveTime)
		reply(w, http.StatusOK, struct{}{})
	}
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, m *machine, wave int64, holder string, fence int64) {
	switch {
	case !c.waves[wave][m.id]:
		reply(w, http.StatusConflict, map[string]string{"reason": "wave"})
	case m.maintained[wave]:
		reply(w, http.StatusOK, struct{}{})
	case m.state != "up":
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
	default:
		c.b.record("maintenance of %s for wave %d begins, by %s, fence %d", m.id, wave, holder, fence)
		m.maintained[wave] = true
		c.b.noteUpkeep(m.id, wave)
		c.down(m, "upkeep", m.pool, maintenanceTime)
		reply(w, http.StatusOK, struct{}{})
	}
}

func (c *cloud) serveList(w http.ResponseWriter) {
	c.mu.Lock()
	var all []map[string]any
	ids := make([]string, 0, len(c.machines))
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := c.machines[id]
		worker := ""
		if m.worker != nil {
			worker = m.worker.id
		}
		all = append(all, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.mem, "gpu": 0}, "id": worker,
		})
	}
	c.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"machines": all, "nextPageToken": nil})
}
