package schedule

import (
	"fmt"
	"testing"
	"time"

	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// BenchmarkWaits measures a report of 8,000 waiting tasks in a pool of 1,100 workers with room, none of which has the
// tasks' label.
func BenchmarkWaits(b *testing.B) {
	s := &Scheduler{
		Config: queue.NewConfig(1, nil, []queue.Pool{{Name: "p"}}, queue.Limits{}), LeaseValid: func() bool { return true },
		Now: func() time.Duration { return time.Hour }, jobs: make(map[string]*job), pools: make(map[string]*pool),
		workers: make(map[string]*workerState), unheard: make(map[string]*workerState),
	}
	p := s.pool("p")
	for n := range 1100 {
		w := s.ensureWorker(worker.Registration{ID: fmt.Sprint(n), DataCentre: fmt.Sprint(n % 5), Capacity: work.Size{MilliCores: 16000, MemoryMB: 32768}})
		w.registered, w.fenced, w.rostered = true, true, true
		p.workers[w] = true
	}
	for n := range 1000 {
		j := &job{Job: singleStepJob(fmt.Sprintf("%016x", n), "p", 8, time.Second), pool: p, queue: &queue.Queue{Name: "p", Pool: "p"}}
		j.Steps[0].Label = "missing"
		j.occurrences = make([]*occurrence, 1)
		s.jobs[j.ID] = j
		s.updateReadySteps(s.occurrence(j, 0))
		for _, t := range j.occurrences[0].steps[0].tasks {
			t.readySince = time.Minute
		}
	}
	for b.Loop() {
		s.collectWaits(time.Hour)
	}
}
