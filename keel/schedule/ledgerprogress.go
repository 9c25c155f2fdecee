package schedule

import (
	"time"

	"samphirekeel.example/keel/event"
)

// ledgerLogInterval is the interval between log lines about the ledger.
const ledgerLogInterval = 500 * time.Millisecond

// ledgerProgress measures how long changes wait until they are stored.
type ledgerProgress struct {
	loggedAt time.Duration
	// stored counts the stored jobs since the last log line, and longest is the longest wait among them.
	stored  int
	longest time.Duration
}

// logProgress logs the progress of the ledger periodically while there are changes.
func (l *ledgerWriter) logProgress(now time.Duration) {
	p := &l.progress
	if now-p.loggedAt < ledgerLogInterval {
		return
	}
	waiting, oldest := l.waiting(now)
	if waiting == 0 && p.stored == 0 {
		return
	}
	l.s.Log.Write(event.LedgerProgress, event.Fields{
		"stored": p.stored, "longest_ms": p.longest.Milliseconds(), "waiting": waiting, "oldest_ms": oldest.Milliseconds(), "commit_ms": l.latency.Milliseconds(),
	})
	p.loggedAt, p.stored, p.longest = now, 0, 0
}

// waiting returns the number of jobs whose changes aren't stored, and the longest wait of one of them.
func (l *ledgerWriter) waiting(now time.Duration) (int, time.Duration) {
	count, oldest := 0, time.Duration(0)
	for _, b := range l.inFlight {
		count += len(b.jobs)
		for _, since := range b.since {
			oldest = max(oldest, now-since)
		}
	}
	for _, jobs := range [][]*job{l.urgent, l.normal} {
		for _, j := range jobs {
			if j.dirty {
				count++
				oldest = max(oldest, now-j.dirtySince)
			}
		}
	}
	return count, oldest
}
