package main

import (
	"encoding/base64"
	"encoding/json"
	"math/rand"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// key names a row of the store.
type key struct{ Table, Part, Key string }

// row is a row as the store sends it.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store: rows with versions from one counter, transactions with conditions, and a feed.
type store struct {
	began   time.Time
	mu      sync.Mutex
	rows    map[key]row
	changes []row
	ver     uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// Before is called before a call is handled, and returns a status to answer with, 0 to go on and -1 to break the connection.
	Before func(path string, r *http.Request) int
	// After is called after a transaction was applied; it returns true if the response is to be lost.
	After func(part string) bool
	// LateAfter is how long after its call a late transaction is carried out, 0 for 1 to 6 s.
	LateAfter time.Duration
	// forgotten is the version up to which the history was discarded.
	forgotten uint64
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[key]row), changed: make(chan struct{}), parts: make(map[string]*sync.Mutex)}
}

const (
	transactionTime = 8 * time.Millisecond
	answerTime      = 4 * time.Millisecond
	pageRows        = 500
)

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.parts[name]
	if m == nil {
		m = &sync.Mutex{}
		s.parts[name] = m
	}
	return m
}

func (s *store) nowMs() float64 { return float64(time.Since(s.began).Microseconds()) / 1000 }

// put writes a row for the operator or a worker.
func (s *store) put(table, name string, value any) uint64 {
	body, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: name, Value: base64.StdEncoding.EncodeToString(body), Ver: s.ver})
	s.wake()
	return s.ver
}

func (s *store) drop(table, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{table, "", name}
	if _, ok := s.rows[k]; !ok {
		return
	}
	s.ver++
	s.remove(k)
	s.wake()
}

func (s *store) set(r row) {
	s.rows[key{r.Table, r.Part, r.Key}] = r
	s.changes = append(s.changes, r)
}

func (s *store) remove(k key) {
	delete(s.rows, k)
	s.changes = append(s.changes, row{Table: k.Table, Part: k.Part, Key: k.Key, Ver: s.ver, Gone: true})
}

// forget discards the history.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.ver
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the decoded value of a row, nil if there is none.
func (s *store) value(table, part, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key{table, part, name}]
	if !ok {
		return nil
	}
	v, _ := base64.StdEncoding.DecodeString(r.Value)
	return v
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Before != nil {
		status := s.Before(r.URL.Path, r)
		if status > 0 {
			w.WriteHeader(status)
			return
		}
		switch status {
		case hang:
			<-r.Context().Done()
			return
		case late:
			s.serveLate(r)
			return
		case -1:
			abort(w)
			return
		}
	}
	switch r.URL.Path {
	case names["tx"]:
		s.serveTransaction(w, r)
	case names["get"]:
		s.serveRange(w, r)
	case names["feed"]:
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveLate carries out a transaction seconds later, if its conditions still hold, and doesn't respond.
func (s *store) serveLate(r *http.Request) {
	var body map[string][]row
	if r.URL.Path == names["tx"] && json.NewDecoder(r.Body).Decode(&body) == nil {
		delay := s.LateAfter
		if delay == 0 {
			delay = time.Second + time.Duration(rand.Intn(5000))*time.Millisecond
		}
		time.AfterFunc(delay, func() { s.apply(body) })
	}
	<-r.Context().Done()
}

// abort closes the connection of a request without a response.
func abort(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body map[string][]row
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := ""
	for _, list := range body {
		for _, e := range list {
			part = e.Part
			if e.Part != part {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
	}
	for _, e := range append(append([]row{}, body[names["writes"]]...), body[names["removals"]]...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	lock := s.part(part)
	lock.Lock()
	time.Sleep(transactionTime)
	status, response := s.apply(body)
	lock.Unlock()
	time.Sleep(answerTime / 2)
	if s.After != nil && status == http.StatusOK && s.After(part) {
		abort(w)
		return
	}
	reply(w, status, response)
}

func (s *store) apply(body map[string][]row) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	ok := true
	for _, c := range body[names["conditions"]] {
		r, exists := s.rows[key{c.Table, c.Part, c.Key}]
		if exists {
			current = append(current, r)
		}
		if r.Ver != c.Ver {
			ok = false
		}
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.nowMs()}
	}
	s.ver++
	for _, e := range body[names["writes"]] {
		s.set(row{Table: e.Table, Part: e.Part, Key: e.Key, Value: e.Value, Ver: s.ver})
	}
	for _, e := range body[names["removals"]] {
		s.remove(key{e.Table, e.Part, e.Key})
	}
	s.wake()
	return http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.nowMs()}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	var found []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			found = append(found, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": orEmpty(found), "hasMore": more, "ver": ver, "nowMs": s.nowMs()})
}

func orEmpty(rows []row) []row {
	if rows == nil {
		return []row{}
	}
	return rows
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var found []row
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Ver > after })
		for _, c := range s.changes[first:] {
			if c.Table == q.Get("table") {
				found = append(found, c)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": found, "ver": ver, "nowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, http.StatusOK, map[string]any{"rows": []row{}, "ver": ver, "nowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
