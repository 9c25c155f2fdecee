package emulator

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

// Outage is how the store treats calls.
type Outage string

// The kinds of outage.
const (
	// Fine answers as usual.
	Fine Outage = ""
	// Busy refuses at once and does nothing.
	Busy Outage = "busy"
	// Reset breaks the connection and does nothing.
	Reset Outage = "reset"
	// Silent never answers and does nothing.
	Silent Outage = "silent"
	// Lost does a part of the writes and never answers them.
	Lost Outage = "lost"
	// Late does a part of the writes seconds later and never answers them.
	Late Outage = "late"
)

const (
	// answerTime is how long an answer takes, txTime what a transaction adds.
	answerTime = 4 * time.Millisecond
	txTime     = 8 * time.Millisecond
	// pageRows bounds the rows of one answer.
	pageRows = 500
	// txEntries bounds the entries of a transaction.
	txEntries = 100
	// lostShare is the part of the writes that an outage of kind Lost or Late concerns.
	lostShare = 0.35
	// lateLeast and lateMost bound the delay of a late write.
	lateLeast = time.Second
	lateMost  = 6 * time.Second
)

// Trouble is an outage as it concerns some callers and parts.
type Trouble struct {
	Outage Outage
	// Callers lists the entries that are concerned, none for all.
	Callers []string
	// Parts lists the parts whose writes are concerned, none for all calls.
	Parts []string
	// Slow multiplies the time of all answers, 0 for 1.
	Slow int
}

// Store is the transactional store.
type Store struct {
	mu      sync.Mutex
	random  *rand.Rand
	rows    map[table.Key]table.Row
	changes []table.Row
	// forgotten is the version up to which changes are no longer known.
	forgotten uint64
	version   uint64
	began     time.Time
	free      map[string]time.Time
	troubles  map[*Trouble]bool
	changed   chan struct{}
	// Reads and Writes count the calls.
	Reads, Writes int
}

// NewStore returns an empty store whose faults are drawn from random.
func NewStore(random *rand.Rand) *Store {
	return &Store{
		random: random, rows: make(map[table.Key]table.Row), began: time.Now(), free: make(map[string]time.Time),
		troubles: make(map[*Trouble]bool), changed: make(chan struct{}),
	}
}

// Begin puts a trouble in force until End.
func (s *Store) Begin(t *Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles[t] = true
}

// End ends a trouble.
func (s *Store) End(t *Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.troubles, t)
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.forgotten = nil, s.version
	s.wakeLocked()
}

// Client returns the store as the named entry calls it.
func (s *Store) Client(caller string) *table.Store {
	return &table.Store{
		Commit: func(ctx context.Context, txn table.Txn) (table.Result, error) { return s.commit(ctx, caller, txn) },
		Read:   func(ctx context.Context, r table.Range) (table.Page, error) { return s.read(ctx, caller, r) },
		Feed: func(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
			return s.feed(ctx, caller, name, after, wait)
		},
	}
}

// trouble returns the outage and the slowness that a call meets.
func (s *Store) trouble(caller, part string, write bool) (Outage, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outage, slow := Fine, 1
	for t := range s.troubles {
		if len(t.Callers) > 0 && !slices.Contains(t.Callers, caller) || len(t.Parts) > 0 && (!write || !slices.Contains(t.Parts, part)) {
			continue
		}
		if t.Outage != Fine {
			outage = t.Outage
		}
		slow = max(slow, t.Slow)
	}
	return outage, slow
}

// meet fails a call as the outage has it; it returns true for a write that is done but not answered, with its delay.
func (s *Store) meet(ctx context.Context, outage Outage, write bool) (bool, time.Duration, error) {
	away := fault.New(fault.PlatformUnavailable, "emulated outage: %s", outage)
	switch outage {
	case Busy:
		return false, 0, away.WithOutcome(fault.NotRun)
	case Reset:
		return false, 0, away.WithOutcome(fault.Unknown)
	case Silent:
		<-ctx.Done()
		return false, 0, away.WithOutcome(fault.Unknown)
	}
	if outage == Fine || !write || s.draw() >= lostShare {
		return false, 0, nil
	}
	delay := time.Duration(0)
	if outage == Late {
		delay = lateLeast + time.Duration(s.draw()*float64(lateMost-lateLeast))
	}
	return true, delay, nil
}

func (s *Store) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *Store) commit(ctx context.Context, caller string, txn table.Txn) (table.Result, error) {
	part := partOf(txn)
	outage, slow := s.trouble(caller, part, true)
	lost, delay, err := s.meet(ctx, outage, true)
	if err != nil {
		return table.Result{}, err
	}
	if txn.Size() > txEntries {
		return table.Result{}, fault.New(fault.Internal, "a transaction of %d entries", txn.Size()).WithOutcome(fault.NotRun)
	}
	if !sleep(ctx, s.queue(part, slow)) {
		// The call was under way; it is carried out although nobody waits for it.
		_, _ = s.apply(txn)
		return table.Result{}, fault.New(fault.PlatformUnavailable, "emulated answer too late").WithOutcome(fault.Unknown)
	}
	if lost {
		time.AfterFunc(delay, func() { _, _ = s.apply(txn) })
		<-ctx.Done()
		return table.Result{}, fault.New(fault.PlatformUnavailable, "emulated answer lost").WithOutcome(fault.Unknown)
	}
	return s.apply(txn)
}

func partOf(txn table.Txn) string {
	switch {
	case len(txn.Writes) > 0:
		return txn.Writes[0].Partition
	case len(txn.Removals) > 0:
		return txn.Removals[0].Partition
	case len(txn.Conditions) > 0:
		return txn.Conditions[0].Partition
	}
	return ""
}

// queue returns how long a transaction takes behind the earlier ones of its part.
func (s *Store) queue(part string, slow int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes++
	now := time.Now()
	start := s.free[part]
	if start.Before(now) {
		start = now
	}
	end := start.Add(txTime * time.Duration(slow))
	s.free[part] = end
	return end.Sub(now) + answerTime*time.Duration(slow)
}

func (s *Store) apply(txn table.Txn) (table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []table.Row
	failed := false
	for _, c := range txn.Conditions {
		row := s.rows[c.Key]
		if row.Version != c.Version {
			failed = true
		}
		if row.Version != 0 {
			present = append(present, row)
		}
	}
	if failed {
		return table.Result{Version: s.version, Now: time.Since(s.began), Current: present},
			fault.New(fault.Conflict, "a condition of the transaction does not hold")
	}
	s.version++
	for _, w := range txn.Writes {
		s.putLocked(table.Row{Key: w.Key, Value: w.Value, Version: s.version})
	}
	for _, k := range txn.Removals {
		s.putLocked(table.Row{Key: k, Version: s.version, Deleted: true})
	}
	s.wakeLocked()
	return table.Result{Version: s.version, Now: time.Since(s.began)}, nil
}

func (s *Store) putLocked(row table.Row) {
	if row.Deleted {
		delete(s.rows, row.Key)
	} else {
		s.rows[row.Key] = row
	}
	s.changes = append(s.changes, row)
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes rows as the platform or its operator does.
func (s *Store) Put(rows ...table.Write) {
	_, _ = s.apply(table.Txn{Writes: rows})
}

// Remove removes a row as the platform does.
func (s *Store) Remove(k table.Key) {
	_, _ = s.apply(table.Txn{Removals: []table.Key{k}})
}

// Get returns a row as it stands.
func (s *Store) Get(k table.Key) (table.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[k]
	return row, ok
}

func (s *Store) read(ctx context.Context, caller string, r table.Range) (table.Page, error) {
	outage, slow := s.trouble(caller, r.Partition, false)
	_, _, err := s.meet(ctx, outage, false)
	if err != nil {
		return table.Page{}, err
	}
	if !sleep(ctx, answerTime*time.Duration(slow)) {
		return table.Page{}, fault.New(fault.PlatformUnavailable, "emulated answer too late").WithOutcome(fault.Unknown)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Reads++
	page := table.Page{Version: s.version, Now: time.Since(s.began)}
	for k, row := range s.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b table.Row) int { return strings.Compare(a.Name, b.Name) })
	limit := pageRows
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	if len(page.Rows) > limit {
		page.Rows, page.More = page.Rows[:limit], true
	}
	return page, nil
}

func (s *Store) feed(ctx context.Context, caller, name string, after uint64, wait time.Duration) (table.Changes, error) {
	deadline := time.Now().Add(wait)
	for {
		outage, slow := s.trouble(caller, "", false)
		_, _, err := s.meet(ctx, outage, false)
		if err != nil {
			return table.Changes{}, err
		}
		changes, changed, err := s.since(name, after)
		if err != nil || len(changes.Rows) > 0 || !time.Now().Before(deadline) {
			if !sleep(ctx, answerTime*time.Duration(slow)) {
				return table.Changes{}, fault.New(fault.PlatformUnavailable, "emulated answer too late").WithOutcome(fault.Unknown)
			}
			return changes, err
		}
		timer := time.NewTimer(min(time.Until(deadline), feedLook))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return table.Changes{}, fault.New(fault.PlatformUnavailable, "emulated question ended").WithOutcome(fault.Unknown)
		}
		timer.Stop()
	}
}

// feedLook is how often a waiting question meets the outages that began meanwhile.
const feedLook = 200 * time.Millisecond

func (s *Store) since(name string, after uint64) (table.Changes, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return table.Changes{}, s.changed, fault.New(fault.HistoryGone, "changes after %d are no longer known", after)
	}
	c := table.Changes{Version: s.version, Now: time.Since(s.began)}
	for _, row := range s.changes {
		if row.Table == name && row.Version > after {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, s.changed, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
