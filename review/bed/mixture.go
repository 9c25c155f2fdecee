package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxAttempts is how often a task may fail.
const maxAttempts = 3

// checkpointTime is the time after which a task that saves its progress does so again.
const checkpointTime = time.Second

// mixture is the scenario chaos with further troubles: connections that go silent, lost responses, a history that is discarded,
// parts of the store that are away and workers that drain; tasks fail now and then, and save their progress.
func mixture(b *bed, trouble bool) {
	b.further = true
	chaos(b, trouble)
}

// connections holds the open connections to the stand-ins. One that is silent serves nothing more and stays open.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]*atomic.Bool
}

type connKey struct{}

func (c *connections) add(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]*atomic.Bool)
	}
	silent := &atomic.Bool{}
	c.open[conn] = silent
	return context.WithValue(ctx, connKey{}, silent)
}

func (c *connections) changed(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, conn)
	}
}

// silence lets all open connections go silent for good.
func (c *connections) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, silent := range c.open {
		silent.Store(true)
	}
}

func (c *connections) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		silent, ok := r.Context().Value(connKey{}).(*atomic.Bool)
		if ok && silent.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// save records a new checkpoint of a run; the lock of the workers is held.
func (w *worker) save(r *taskRun) {
	if !r.spec.Saves {
		return
	}
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	r.savedAt = time.Now()
	r.saved = fmt.Sprintf("%016x", time.Now().UnixNano())
	if w.b.saved[r.task] == nil {
		w.b.saved[r.task] = make(map[string]bool)
	}
	w.b.saved[r.task][r.saved] = true
}

// checkSaved checks that a start carries a checkpoint of the same task.
func (w *worker) checkSaved(r *taskRun) {
	w.b.mu.Lock()
	known := r.saved == "" || w.b.saved[r.task][r.saved]
	w.b.mu.Unlock()
	if !known {
		w.b.breaks("UNASKED: %s starts with checkpoint %s, which isn't its own", r.task, r.saved)
	}
}

// drain lets the worker of an instance report that it leaves; it goes seconds later, and another one boots after that.
func (c *cloud) drain(id string) {
	c.mu.Lock()
	m := c.machines[id]
	w := m.worker
	if m.state != "up" || w == nil {
		c.mu.Unlock()
		return
	}
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	c.mu.Unlock()
	w.register()
	time.AfterFunc(4*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.worker == w && m.state == "up" {
			c.down(m, "down", m.pool, 3*time.Second)
		}
	})
}

// partOf returns the part of the store that a call names, empty if it names none or many.
func partOf(r *http.Request) string {
	if r.Method == http.MethodGet {
		return r.URL.Query().Get("part")
	}
	return partOfBody(r)
}

// anyPart returns one of the parts in use.
func (s *store) anyPart(draw float64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.parts {
		if name != "" {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[int(draw*float64(len(names)))%len(names)]
}

// partOfBody returns the part that a transaction names, and leaves the body to be read again.
func partOfBody(r *http.Request) string {
	text, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(text))
	var body map[string][]row
	_ = json.Unmarshal(text, &body)
	for _, list := range body {
		for _, e := range list {
			return e.Part
		}
	}
	return ""
}
