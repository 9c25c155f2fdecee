package site

import (
	"maps"
	"slices"
	"sync"
	"time"

	"samphirekeel.example/keel/leader"
)

const (
	// maxAdvisers bounds the entries that an entry remembers from their offers; a few suffice to find one that the store serves.
	maxAdvisers = 16
	// adviserAge is the time after its last offer from which an entry is no longer asked.
	adviserAge = 30 * time.Second
)

// advisers are the entries that an entry which the store rejects may ask who leads now: those that have offered themselves
// as relays while it led. Its methods may be called from any goroutine.
type advisers struct {
	mu sync.Mutex
	// offered holds the time of the last offer by address.
	offered map[string]time.Duration
	turn    int
}

// record records the offer of the entry at the address.
func (a *advisers) record(address string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.offered == nil {
		a.offered = make(map[string]time.Duration)
	}
	maps.DeleteFunc(a.offered, func(_ string, at time.Duration) bool { return now-at > adviserAge })
	_, known := a.offered[address]
	if known || len(a.offered) < maxAdvisers {
		a.offered[address] = now
	}
}

// next returns the addresses by turns, empty if there is none.
func (a *advisers) next() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.offered) == 0 {
		return ""
	}
	a.turn++
	return slices.Sorted(maps.Keys(a.offered))[a.turn%len(a.offered)]
}

// currentLeader returns the record of the leader. While the store rejects this entry, so that it can't read who leads, that is a
// later one that another entry has told it.
func (s *Entry) currentLeader() leader.Record {
	record, told := s.lease.Leader(), s.toldLeader.Load()
	if told != nil && told.Epoch > record.Epoch && s.storeUnavailable.Load() {
		return *told
	}
	return record
}

// recordTold records the leader that another entry knows.
func (s *Entry) recordTold(record leader.Record) {
	if record.Holder != "" && record.Address != "" && record.Epoch > s.currentLeader().Epoch {
		s.toldLeader.Store(&record)
	}
}

// operatorSource returns the address to which the next request for the operator's rows goes, empty if there is none. It is the leader's,
// unless the last request failed or its response didn't show that the rows are current; then the leader by this entry's own
// reading and the advisers follow by turns. It is called on the loop.
func (s *Entry) operatorSource() string {
	var sources []string
	for _, record := range []leader.Record{s.currentLeader(), s.lease.Leader()} {
		if record.Holder != "" && record.Holder != s.Settings.Name && !slices.Contains(sources, record.Address) {
			sources = append(sources, record.Address)
		}
	}
	adviser := s.advisers.next()
	if adviser != "" && !slices.Contains(sources, adviser) {
		sources = append(sources, adviser)
	}
	if len(sources) == 0 {
		return ""
	}
	return sources[s.sourceTurn%len(sources)]
}

// recordOperatorResponse applies the response of another entry to a request for the operator's rows; it is called on the loop.
func (s *Entry) recordOperatorResponse(address string, sent time.Duration, response operatorRowsResponse, err error) {
	if err != nil {
		s.sourceTurn++
		return
	}
	s.applyOperatorRows(response.Rows)
	s.recordTold(response.Leader)
	current := false
	if response.AgeMillis != nil {
		age := time.Duration(*response.AgeMillis) * time.Millisecond
		s.recordConfigCheck(sent - age)
		current = age < maxConfigAge
	}
	if !current {
		s.sourceTurn++
	}
	if current || address == s.lease.Leader().Address {
		s.lastLeaderResponse.Store(int64(s.Now()))
	}
}
