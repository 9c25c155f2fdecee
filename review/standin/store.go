package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the store in the pages.
const (
	maxRowBytes    = 65536
	maxEntries     = 100
	maxCommitBytes = 1 << 20
	maxPageRows    = 500
	maxPageBytes   = 1 << 20
	answerTime     = 4 * time.Millisecond
	commitTime     = 8 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type tablePart struct{ table, part string }

type storedRow struct {
	value   string
	version uint64
}

type change struct {
	key     rowKey
	value   string
	version uint64
	deleted bool
}

// store is a stand-in for the platform's store.
type store struct {
	mu   sync.Mutex
	rows map[rowKey]storedRow
	// keys holds the keys of the rows of each table and part in their order.
	keys map[tablePart][]string
	// old and oldKeys hold the rows that are never changed.
	old     map[rowKey]storedRow
	oldKeys map[tablePart][]string
	history []change
	version uint64
	changed chan struct{}
	began   time.Time
	parts   map[string]*sync.Mutex
	// mode is "" while the store works, or "silent" or "busy" while it is down; slow multiplies the time of its answers.
	mode string
	slow int
	// rejected counts the commits that were rejected because a row was too large.
	rejected int
}

func newStore() *store {
	return &store{rows: make(map[rowKey]storedRow), keys: make(map[tablePart][]string), changed: make(chan struct{}), began: time.Now(), parts: make(map[string]*sync.Mutex), slow: 1}
}

func (s *store) setMode(mode string, slow int) {
	s.mu.Lock()
	s.mode, s.slow = mode, slow
	s.mu.Unlock()
}

func (s *store) state() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.slow
}

func (s *store) now() float64 { return float64(time.Since(s.began).Milliseconds()) }

// put writes a row on behalf of the operator or of a worker. It fails while the store is down.
func (s *store) put(table, key string, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != "" {
		return false
	}
	s.version++
	s.apply(rowKey{table, "", key}, base64.StdEncoding.EncodeToString(encoded), false)
	s.notify()
	return true
}

func (s *store) apply(k rowKey, value string, deleted bool) {
	in := tablePart{k.table, k.part}
	i, known := slices.BinarySearch(s.keys[in], k.key)
	switch {
	case !deleted:
		s.rows[k] = storedRow{value: value, version: s.version}
		if !known {
			s.keys[in] = slices.Insert(s.keys[in], i, k.key)
		}
	case known:
		delete(s.rows, k)
		s.keys[in] = slices.Delete(s.keys[in], i, i+1)
	}
	s.history = append(s.history, change{key: k, value: value, version: s.version, deleted: deleted})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, slow := s.state()
	switch mode {
	case "silent":
		// Nothing is done, and the call gets no response.
		<-r.Context().Done()
		return
	case "busy":
		http.Error(w, "{}", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == wire("commit") {
		time.Sleep(time.Duration(slow)*(answerTime+commitTime) - commitTime)
	} else {
		time.Sleep(time.Duration(slow) * answerTime)
	}
	switch r.URL.Path {
	case wire("commit"):
		s.commit(w, r)
	case wire("read"):
		s.read(w, r)
	case wire("feed"):
		s.feed(w, r)
	case wire("parts"):
		s.listParts(w, r)
	default:
		http.NotFound(w, r)
	}
}

type wireEntry struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value string `json:"value"`
	Ver   uint64 `json:"ver"`
}

func (e wireEntry) rowKey() rowKey { return rowKey{e.Table, e.Part, e.Key} }

func (s *store) partition(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

// commit applies a transaction; the transactions of a partition follow one another.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var fields map[string]json.RawMessage
	err := json.NewDecoder(r.Body).Decode(&fields)
	if err != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	var conditions, writes, removals []wireEntry
	for name, into := range map[string]*[]wireEntry{"conditions": &conditions, "writes": &writes, "removals": &removals} {
		raw, ok := fields[wire(name)]
		if ok && json.Unmarshal(raw, into) != nil {
			http.Error(w, "{}", http.StatusBadRequest)
			return
		}
	}
	all := append(append(append([]wireEntry{}, conditions...), writes...), removals...)
	size := 0
	for _, e := range all {
		size += len(e.Value)
		if e.Part != all[0].Part {
			http.Error(w, `{"error":"several parts"}`, http.StatusBadRequest)
			return
		}
	}
	for _, e := range append(append([]wireEntry{}, writes...), removals...) {
		if e.Table == "op" || e.Table == "servers" {
			http.Error(w, "{}", http.StatusForbidden)
			return
		}
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil || len(value) > maxRowBytes {
			s.mu.Lock()
			s.rejected++
			s.mu.Unlock()
			http.Error(w, `{"error":"row too large"}`, http.StatusBadRequest)
			return
		}
	}
	if len(all) == 0 || len(all) > maxEntries || size > maxCommitBytes {
		http.Error(w, `{"error":"transaction too large"}`, http.StatusBadRequest)
		return
	}
	p := s.partition(all[0].Part)
	p.Lock()
	time.Sleep(commitTime)
	s.mu.Lock()
	var current []map[string]any
	holds := true
	for _, c := range conditions {
		existing, ok := s.rows[c.rowKey()]
		if existing.version != c.Ver {
			holds = false
		}
		if ok {
			current = append(current, encodeRow(c.rowKey(), existing.value, existing.version, false))
		}
	}
	if holds {
		s.version++
		for _, e := range writes {
			s.apply(e.rowKey(), e.Value, false)
		}
		for _, e := range removals {
			_, ok := s.rows[e.rowKey()]
			if ok {
				s.apply(e.rowKey(), "", true)
			}
		}
		s.notify()
	}
	version, mode := s.version, s.mode
	s.mu.Unlock()
	p.Unlock()
	if mode == "silent" {
		<-r.Context().Done()
		return
	}
	if holds {
		respond(w, http.StatusOK, map[string]any{"ver": version, "nowMs": s.now()})
		return
	}
	respond(w, http.StatusPreconditionFailed, map[string]any{"ver": version, "nowMs": s.now(), "rows": current})
}

func encodeRow(k rowKey, value string, version uint64, deleted bool) map[string]any {
	encoded := map[string]any{"table": k.table, "part": k.part, "key": k.key, "ver": version}
	if deleted {
		encoded["tombstone"] = true
	} else {
		encoded["value"] = value
	}
	return encoded
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	in := tablePart{q.Get("table"), q.Get("part")}
	names, oldNames := inRange(s.keys[in], q.Get("from"), q.Get("to")), inRange(s.oldKeys[in], q.Get("from"), q.Get("to"))
	rows, size, more := []map[string]any{}, 0, false
	for len(names)+len(oldNames) > 0 {
		if len(rows) >= limit || size > maxPageBytes-maxRowBytes*2 {
			more = true
			break
		}
		k := rowKey{table: in.table, part: in.part}
		var r storedRow
		if len(oldNames) == 0 || len(names) > 0 && names[0] < oldNames[0] {
			k.key, names = names[0], names[1:]
			r = s.rows[k]
		} else {
			k.key, oldNames = oldNames[0], oldNames[1:]
			r = s.old[k]
		}
		rows = append(rows, encodeRow(k, r.value, r.version, false))
		size += len(r.value)
	}
	version := s.version
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": more, "ver": version, "nowMs": s.now()})
}

// inRange returns the names from the first to before the second one, which may be empty.
func inRange(names []string, from, to string) []string {
	first, _ := slices.BinarySearch(names, from)
	end := len(names)
	if to != "" {
		end, _ = slices.BinarySearch(names, to)
	}
	return names[min(first, end):end]
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	found := make(map[string]bool)
	for k := range s.rows {
		if k.table == q.Get("table") && k.part > q.Get("after") {
			found[k.part] = true
		}
	}
	s.mu.Unlock()
	parts := []string{}
	for part := range found {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	respond(w, http.StatusOK, map[string]any{"parts": parts, "hasMore": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := []map[string]any{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].version > after })
		version := s.version
		for _, c := range s.history[first:] {
			if c.key.table == q.Get("table") {
				rows = append(rows, encodeRow(c.key, c.value, c.version, c.deleted))
			}
		}
		changed, mode := s.changed, s.mode
		s.mu.Unlock()
		if mode == "silent" {
			<-r.Context().Done()
			return
		}
		if len(rows) > 0 {
			respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			mode, _ = s.state()
			if mode == "silent" {
				<-r.Context().Done()
				return
			}
			respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "nowMs": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// rejectedCommits returns the number of transactions that were rejected for a row over the limit.
func (s *store) rejectedCommits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// copyEnded adds n copies, under other IDs, of the rows that the system has written for jobs that have ended, as n further
// jobs would leave them. It returns the number of rows of the given jobs and of those that were added.
func (s *store) copyEnded(ids []string, n int, newID func() string) (before, added int) {
	type source struct {
		key   rowKey
		value string
	}
	byJob := make(map[string][]source)
	s.mu.Lock()
	for k, r := range s.rows {
		value, err := base64.StdEncoding.DecodeString(r.value)
		if err == nil && slices.Contains(ids, k.key) {
			byJob[k.key] = append(byJob[k.key], source{k, string(value)})
			before++
		}
	}
	version := s.version
	s.mu.Unlock()
	// All is prepared before the store is locked, so that it answers as usual meanwhile.
	old := make(map[rowKey]storedRow, 2*n)
	keys := make(map[tablePart][]string)
	for i := range n {
		from, id := ids[i%len(ids)], newID()
		for _, row := range byJob[from] {
			k := row.key
			k.key = id
			old[k] = storedRow{value: base64.StdEncoding.EncodeToString([]byte(strings.ReplaceAll(row.value, from, id))), version: version}
			in := tablePart{k.table, k.part}
			keys[in] = append(keys[in], id)
		}
	}
	for _, names := range keys {
		slices.Sort(names)
	}
	s.mu.Lock()
	s.old, s.oldKeys = old, keys
	s.mu.Unlock()
	return before, len(old)
}
