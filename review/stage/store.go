package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// txTime is the time that a transaction takes, readTime that of a read.
	txTime   = 8 * time.Millisecond
	readTime = 2 * time.Millisecond
	// maxRows is the number of rows of one response.
	maxRows = 500
	// history is the time for which the feed keeps changes.
	history = 20 * time.Second
)

type rowKey struct{ table, part, key string }

type row struct {
	rowKey
	value   string
	version uint64
	deleted bool
	changed time.Time
}

// store is the platform's store, in memory.
type store struct {
	mu      sync.Mutex
	wake    *sync.Cond
	began   time.Time
	version uint64
	rows    map[rowKey]*row
	// late holds, by key, for how long the next transaction that writes a row of the key is held up; it gets no response.
	late map[string]time.Duration
	note func(format string, args ...any)
}

func newStore() *store {
	s := &store{began: time.Now(), rows: make(map[rowKey]*row), late: make(map[string]time.Duration)}
	s.wake = sync.NewCond(&s.mu)
	return s
}

// put writes a row as the operator or a worker does.
func (s *store) put(k rowKey, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(k, base64.StdEncoding.EncodeToString(encoded), false)
	s.wake.Broadcast()
}

func (s *store) remove(k rowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live(k) == nil {
		return
	}
	s.version++
	s.set(k, "", true)
	s.wake.Broadcast()
}

func (s *store) set(k rowKey, value string, deleted bool) {
	s.rows[k] = &row{rowKey: k, value: value, version: s.version, deleted: deleted, changed: time.Now()}
}

func (s *store) live(k rowKey) *row {
	r := s.rows[k]
	if r == nil || r.deleted {
		return nil
	}
	return r
}

func (r *row) encode() object {
	o := object{"table": r.table, "part": r.part, "key": r.key, "ver": r.version}
	if r.deleted {
		o["tombstone"] = true
	} else {
		o["value"] = r.value
	}
	return o
}

func respond(w http.ResponseWriter, status int, body object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() + 1 }

func keyOf(o object) rowKey { return rowKey{o.text("table"), o.text("part"), o.text("key")} }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names["tx"]:
		time.Sleep(txTime)
		s.transact(w, r)
	case names["get"]:
		time.Sleep(readTime)
		s.read(w, r)
	case names["feed"]:
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body object
	err := json.NewDecoder(r.Body).Decode(&body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	conditions, writes, removals := body.list(names["conditions"]), body.list(names["writes"]), body.list(names["removals"])
	part, first := "", true
	for _, list := range [][]object{conditions, writes, removals} {
		for _, e := range list {
			if !first && e.text("part") != part {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			part, first = e.text("part"), false
		}
	}
	for _, e := range append(append([]object{}, writes...), removals...) {
		if e.text("table") == "op" || e.text("table") == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range writes {
		s.mu.Lock()
		held, ok := s.late[e.text("key")]
		delete(s.late, e.text("key"))
		s.mu.Unlock()
		if ok {
			s.note("the transaction that writes %s %s gets no response and is carried out in %v", e.text("table"), e.text("key"), held)
			time.AfterFunc(held, func() {
				status, _ := s.apply(conditions, writes, removals)
				s.note("the transaction that writes %s %s is carried out: %d", e.text("table"), e.text("key"), status)
			})
			<-r.Context().Done()
			return
		}
	}
	respondWith(w)(s.apply(conditions, writes, removals))
}

func respondWith(w http.ResponseWriter) func(int, object) {
	return func(status int, body object) { respond(w, status, body) }
}

// apply carries out a transaction.
func (s *store) apply(conditions, writes, removals []object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []object{}
	for _, c := range conditions {
		version := uint64(0)
		found := s.live(keyOf(c))
		if found != nil {
			version = found.version
			current = append(current, found.encode())
		}
		holds = holds && version == uint64(c.number("ver"))
	}
	if !holds {
		return http.StatusPreconditionFailed, object{"rows": current, "ver": s.version, "nowMs": s.now()}
	}
	s.version++
	for _, e := range writes {
		s.set(keyOf(e), e.text("value"), false)
	}
	for _, e := range removals {
		if s.live(keyOf(e)) != nil {
			s.set(keyOf(e), "", true)
		}
	}
	s.wake.Broadcast()
	return http.StatusOK, object{"ver": s.version, "nowMs": s.now()}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*row
	for k, e := range s.rows {
		if !e.deleted && k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	more := len(found) > limit
	rows := []object{}
	for _, e := range found[:min(limit, len(found))] {
		rows = append(rows, e.encode())
	}
	respond(w, http.StatusOK, object{"rows": rows, "hasMore": more, "ver": s.version, "nowMs": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(until), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wake.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		oldest := time.Now().Add(-history)
		var found []*row
		for k, e := range s.rows {
			if e.version <= after || k.table != q.Get("table") {
				continue
			}
			if e.deleted && e.changed.Before(oldest) {
				respond(w, http.StatusGone, object{})
				return
			}
			found = append(found, e)
		}
		if len(found) == 0 && time.Now().Before(until) {
			s.wake.Wait()
			continue
		}
		sort.Slice(found, func(i, j int) bool { return found[i].version < found[j].version })
		rows := []object{}
		for _, e := range found {
			rows = append(rows, e.encode())
		}
		respond(w, http.StatusOK, object{"rows": rows, "ver": s.version, "nowMs": s.now()})
		return
	}
}
