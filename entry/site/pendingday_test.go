package site

import (
	"context"
	"time"
)

const (
	// pendingInterval is the interval between two queries of the numbers of pending jobs.
	pendingInterval = 500 * time.Millisecond
	// maxPendingAge is the age from which an accepted job that hasn't begun must be counted: callers see an accepted job within 3 s,
	// and a number may be 2 s old.
	maxPendingAge = 5 * time.Second
	// contactTime is the time without a fault from which an entry's responses are checked.
	contactTime = 3 * time.Second
)

// disruptsStore holds the kinds of faults that keep entries from the store, or end all of them.
var disruptsStore = map[string]bool{"kill_all": true, "cut": true, "store": true}

// storeFaults tells since when no fault has disrupted the store.
type storeFaults struct {
	active int
	ended  time.Time
}

// storeFaultBegan records the start of a fault that disrupts the store, storeFaultEnded its end.
func (p *dayRun) storeFaultBegan() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeFaults.active++
}

func (p *dayRun) storeFaultEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeFaults.active--
	p.storeFaults.ended = time.Now()
}

// isStoreCalm reports whether no fault has disrupted the store for contactTime.
func (p *dayRun) isStoreCalm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeFaults.active == 0 && time.Since(p.storeFaults.ended) > contactTime
}

// watchPending queries each undisturbed entry for the number of pending jobs of each queue until the day ends.
func (p *dayRun) watchPending(end time.Time) {
	readySince := make(map[*process]time.Time)
	for time.Now().Before(end) {
		time.Sleep(pendingInterval)
		for _, name := range p.entryNames() {
			e := p.entry(name)
			if e == nil || !e.site.ready() {
				delete(readySince, e)
				continue
			}
			if readySince[e].IsZero() {
				readySince[e] = time.Now()
			}
			if time.Since(readySince[e]) > contactTime && p.isStoreCalm() {
				p.queryPending(e)
			}
		}
	}
}

// queryPending queries an entry for the number of pending jobs of each queue and checks the responses.
func (p *dayRun) queryPending(e *process) {
	for pool := range p.day.Pools {
		queue := "q-" + pool
		asked := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		shown, _, err := e.site.pendingJobs(ctx, queue)
		cancel()
		if err == nil && !e.killed.Load() && p.isStoreCalm() {
			p.checker.CheckPending(queue, e.name, shown, asked, maxPendingAge)
		}
	}
}
