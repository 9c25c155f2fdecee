package emulator

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/table"
)

// Outage is a kind of store outage.
type Outage string

// The kinds of outage.
const (
	// NoOutage means that there is no outage.
	NoOutage Outage = ""
	// Busy rejects calls at once; they have no effect.
	Busy Outage = "busy"
	// Reset resets the connection of calls; they have no effect, but their outcome is unknown to the caller.
	Reset Outage = "reset"
	// Silent never responds to calls; they have no effect.
	Silent Outage = "silent"
	// Lost applies a share of the writes and loses their responses; all other calls work.
	Lost Outage = "lost"
	// Late applies a share of the writes seconds later and loses their responses; all other calls work.
	Late Outage = "late"
)

const (
	// responseTime is the time that a response takes, commitTime the time that a partition takes for each transaction.
	responseTime = 4 * time.Millisecond
	commitTime   = 8 * time.Millisecond
	// maxPageRows is the maximum number of rows in a page.
	maxPageRows = 500
	// maxTxnEntries is the maximum number of conditions, writes and removals in a transaction.
	maxTxnEntries = 100
	// maxTxnBytes is the maximum size of the values in a transaction, in base64.
	maxTxnBytes = 1 << 20
	// defaultRowBytes is the initial value of Store.RowBytes.
	defaultRowBytes = 65536
	// affectedShare is the share of the writes that an outage of kind Lost or Late affects.
	affectedShare = 0.35
	// minLateDelay and maxLateDelay are the limits of the delay of a late write.
	minLateDelay = time.Second
	maxLateDelay = 6 * time.Second
)

// StoreFault is an outage or slowdown of the store for some callers and partitions.
type StoreFault struct {
	Outage Outage
	// Callers lists the affected entries; empty means all.
	Callers []string
	// Partitions lists the partitions whose writes are affected; empty means all reads and writes.
	Partitions []string
	// Tables lists the tables whose reads are affected, and no writes; empty means all.
	Tables []string
	// SlowFactor is the factor by which calls take longer; 0 means 1.
	SlowFactor int
}

// Store is the emulated transactional store; its methods are safe for concurrent use.
type Store struct {
	// RowBytes is the maximum size of a row's value; it is set before the store is used.
	RowBytes int

	mu     sync.Mutex
	random *rand.Rand
	rows   map[table.Key]table.Row
	// changes is the history of all changes after the version compacted.
	changes   []table.Row
	compacted uint64
	version   uint64
	createdAt time.Time
	// idleFrom is the time at which a partition has finished its queued transactions.
	idleFrom     map[string]time.Time
	activeFaults map[*StoreFault]bool
	// heldUp holds the delays of HoldUp by the name of the row.
	heldUp map[string]time.Duration
	// changed is closed at the next change.
	changed chan struct{}
	// Reads and Writes count the page reads and the queued transactions.
	Reads, Writes int
}

// NewStore returns an empty store whose faults are drawn from random.
func NewStore(random *rand.Rand) *Store {
	return &Store{
		RowBytes: defaultRowBytes, random: random, rows: make(map[table.Key]table.Row), createdAt: time.Now(), idleFrom: make(map[string]time.Time),
		activeFaults: make(map[*StoreFault]bool), heldUp: make(map[string]time.Duration), changed: make(chan struct{}),
	}
}

// Inject activates a fault until Clear is called with the same pointer.
func (s *Store) Inject(fault *StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFaults[fault] = true
}

// Clear deactivates a fault that Inject activated.
func (s *Store) Clear(fault *StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.activeFaults, fault)
}

// DropHistory discards the history of changes, so that feeds from earlier versions fail with kind HistoryGone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.compacted = nil, s.version
	s.wakeLocked()
}

// Client returns a client for calls from the named entry.
func (s *Store) Client(caller string) *table.Store {
	return &table.Store{
		Commit: func(ctx context.Context, txn table.Txn) (table.Result, error) { return s.commit(ctx, caller, txn) },
		Read:   func(ctx context.Context, r table.Range) (table.Page, error) { return s.read(ctx, caller, r) },
		Feed: func(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
			return s.feed(ctx, caller, name, after, wait)
		},
	}
}

// affects reports whether the fault affects a call for a partition of a table; a write may be of several tables.
func (f *StoreFault) affects(caller, table, partition string, write bool) bool {
	switch {
	case len(f.Callers) > 0 && !slices.Contains(f.Callers, caller):
		return false
	case len(f.Partitions) > 0 && (!write || !slices.Contains(f.Partitions, partition)):
		return false
	}
	return len(f.Tables) == 0 || !write && slices.Contains(f.Tables, table)
}

// outageFor returns the outage and the slowdown factor that affect a call.
func (s *Store) outageFor(caller, table, partition string, write bool) (Outage, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outage, slow := NoOutage, 1
	for t := range s.activeFaults {
		if !t.affects(caller, table, partition, write) {
			continue
		}
		if t.Outage != NoOutage {
			outage = t.Outage
		}
		slow = max(slow, t.SlowFactor)
	}
	return outage, slow
}

// applyOutage returns the error of a call that the outage prevents; it returns true and a delay for a write that must
// be applied after the delay and whose response must be lost.
func (s *Store) applyOutage(ctx context.Context, outage Outage, write bool) (bool, time.Duration, error) {
	unavailable := fault.New(fault.PlatformUnavailable, "emulated outage: %s", outage)
	switch outage {
	case Busy:
		return false, 0, unavailable.WithOutcome(fault.NotRun)
	case Reset:
		return false, 0, unavailable.WithOutcome(fault.Unknown)
	case Silent:
		<-ctx.Done()
		return false, 0, unavailable.WithOutcome(fault.Unknown)
	}
	if outage == NoOutage || !write || s.randomFloat() >= affectedShare {
		return false, 0, nil
	}
	delay := time.Duration(0)
	if outage == Late {
		delay = minLateDelay + time.Duration(s.randomFloat()*float64(maxLateDelay-minLateDelay))
	}
	return true, delay, nil
}

func (s *Store) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *Store) commit(ctx context.Context, caller string, txn table.Txn) (table.Result, error) {
	partition := partitionOf(txn)
	outage, slow := s.outageFor(caller, "", partition, true)
	lost, delay, err := s.applyOutage(ctx, outage, true)
	if err != nil {
		return table.Result{}, err
	}
	err = s.checkSize(txn)
	if err != nil {
		return table.Result{}, err
	}
	heldUp, ok := s.takeHoldUp(txn)
	if ok {
		lost, delay = true, heldUp
	}
	if !sleep(ctx, s.queueDelay(partition, slow)) {
		// The request was already sent, so the store applies it although the caller has given up.
		_, _ = s.apply(txn)
		return table.Result{}, fault.New(fault.PlatformUnavailable, "emulated response after the deadline").WithOutcome(fault.Unknown)
	}
	if lost {
		time.AfterFunc(delay, func() { _, _ = s.apply(txn) })
		<-ctx.Done()
		return table.Result{}, fault.New(fault.PlatformUnavailable, "emulated response lost").WithOutcome(fault.Unknown)
	}
	return s.apply(txn)
}

// checkSize fails with kind Internal if the transaction or one of its rows exceeds a limit.
func (s *Store) checkSize(txn table.Txn) error {
	size := 0
	for _, w := range txn.Writes {
		if len(w.Value) > s.RowBytes {
			return fault.New(fault.Internal, "row %s of table %s too large: %d bytes", w.Name, w.Table, len(w.Value)).WithOutcome(fault.NotRun)
		}
		size += base64.StdEncoding.EncodedLen(len(w.Value))
	}
	if txn.Size() > maxTxnEntries || size > maxTxnBytes {
		return fault.New(fault.Internal, "transaction too large: %d entries, %d bytes", txn.Size(), size).WithOutcome(fault.NotRun)
	}
	return nil
}

// partitionOf returns the partition of a transaction's rows.
func partitionOf(txn table.Txn) string {
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

// queueDelay queues a transaction behind the earlier ones of its partition and returns the time until its response.
func (s *Store) queueDelay(partition string, slow int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Writes++
	now := time.Now()
	start := s.idleFrom[partition]
	if start.Before(now) {
		start = now
	}
	end := start.Add(commitTime * time.Duration(slow))
	s.idleFrom[partition] = end
	return end.Sub(now) + responseTime*time.Duration(slow)
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
		return table.Result{Version: s.version, Now: time.Since(s.createdAt), Current: present},
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
	return table.Result{Version: s.version, Now: time.Since(s.createdAt)}, nil
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

// Put writes rows without conditions, delay or outage, as the platform or its operator does.
func (s *Store) Put(rows ...table.Write) {
	_, _ = s.apply(table.Txn{Writes: rows})
}

// Remove removes a row without condition, delay or outage, as the platform does.
func (s *Store) Remove(k table.Key) {
	_, _ = s.apply(table.Txn{Removals: []table.Key{k}})
}

// Get returns the current version of a row.
func (s *Store) Get(k table.Key) (table.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[k]
	return row, ok
}

func (s *Store) read(ctx context.Context, caller string, r table.Range) (table.Page, error) {
	outage, slow := s.outageFor(caller, r.Table, r.Partition, false)
	_, _, err := s.applyOutage(ctx, outage, false)
	if err != nil {
		return table.Page{}, err
	}
	if !sleep(ctx, responseTime*time.Duration(slow)) {
		return table.Page{}, fault.New(fault.PlatformUnavailable, "emulated response after the deadline").WithOutcome(fault.Unknown)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Reads++
	page := table.Page{Version: s.version, Now: time.Since(s.createdAt)}
	for k, row := range s.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b table.Row) int { return strings.Compare(a.Name, b.Name) })
	limit := maxPageRows
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
		outage, slow := s.outageFor(caller, name, "", false)
		_, _, err := s.applyOutage(ctx, outage, false)
		if err != nil {
			return table.Changes{}, err
		}
		changes, changed, err := s.changesSince(name, after)
		if err != nil || len(changes.Rows) > 0 || !time.Now().Before(deadline) {
			if !sleep(ctx, responseTime*time.Duration(slow)) {
				return table.Changes{}, fault.New(fault.PlatformUnavailable, "emulated response after the deadline").WithOutcome(fault.Unknown)
			}
			return changes, err
		}
		timer := time.NewTimer(min(time.Until(deadline), feedPollInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return table.Changes{}, fault.New(fault.PlatformUnavailable, "emulated feed request cancelled").WithOutcome(fault.Unknown)
		}
		timer.Stop()
	}
}

// feedPollInterval is the interval at which a waiting feed request checks for new outages.
const feedPollInterval = 200 * time.Millisecond

// changesSince returns the changes of a table after a version, and a channel that is closed at the next change.
func (s *Store) changesSince(name string, after uint64) (table.Changes, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return table.Changes{}, s.changed, fault.New(fault.HistoryGone, "changes after version %d have been discarded", after)
	}
	c := table.Changes{Version: s.version, Now: time.Since(s.createdAt)}
	for _, row := range s.changes {
		if row.Table == name && row.Version > after {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, s.changed, nil
}

// sleep waits for the duration and reports whether it passed before the context ended.
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
