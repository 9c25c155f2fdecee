package schedule

import (
	"fmt"
	"io"
	"testing"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/ledger"
	"samphirekeel.example/keel/provider"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/keel/worker"
)

// BenchmarkWave measures one look at a wave of 8,000 instances, on each of which a task of one long-running job and three short
// tasks run: the order of the pending instances (order), and which of them are blocked, with none and with all of them blocked.
func BenchmarkWave(b *testing.B) {
	const instances = 8000
	b.Run("order", func(b *testing.B) {
		s, w := newWaveBenchmark(instances, 1)
		for b.Loop() {
			w.pending(s)
		}
	})
	for _, budget := range []int{0, 1} {
		b.Run(fmt.Sprintf("blocked_budget_%d", budget), func(b *testing.B) {
			s, w := newWaveBenchmark(instances, budget)
			pending := w.pending(s)
			for b.Loop() {
				s.updateBlocked(w, pending, s.Now())
			}
		})
	}
}

// newWaveBenchmark returns a scheduler with a wave of instances. With a budget of 1 all of them can be freed.
func newWaveBenchmark(instances, budget int) (*Scheduler, *wave) {
	s := &Scheduler{
		Config: queue.NewConfig(1, nil, []queue.Pool{{Name: "p"}}, queue.Limits{}), LeaseValid: func() bool { return true }, Log: event.New(io.Discard, false),
		Now: func() time.Duration { return time.Hour }, jobs: make(map[string]*job), pools: make(map[string]*pool),
		workers: make(map[string]*workerState), workerOf: make(map[string]*workerState),
	}
	s.fleet.init()
	w := &wave{
		Wave: provider.Wave{Number: 1, DeadlineSeconds: 600, MaxConcurrent: instances}, seenAt: time.Hour, progress: ledger.WaveProgress{},
		cordoned: make(map[string]bool),
	}
	p := s.pool("p")
	lasting := &job{Job: singleStepJob("00000000000000a1", "p", instances, 0), pool: p, occurrences: make([]*occurrence, 1)}
	step := &lasting.Steps[0]
	step.LongRunning, step.HasDisruptionBudget, step.DisruptionBudget = true, true, budget
	short := &job{Job: singleStepJob("00000000000000a2", "p", 3*instances, time.Second), pool: p, occurrences: make([]*occurrence, 1)}
	long, shorts := s.occurrence(lasting, 0).steps[0].tasks, s.occurrence(short, 0).steps[0].tasks
	for n := range instances {
		id := fmt.Sprintf("m%05d", n)
		worker := s.ensureWorker(worker.Registration{ID: id, Instance: id, Capacity: work.Size{MilliCores: 16000, MemoryMB: 32768}})
		s.workerOf[id], s.fleet.instances[id] = worker, provider.Instance{ID: id, Pool: "p", State: provider.Up}
		w.Instances = append(w.Instances, id)
		r := s.addRun(long[n], worker, 1)
		r.confirmedAt, r.percent = time.Hour-time.Minute, servingPercent
		for i := range 3 {
			s.addRun(shorts[3*n+i], worker, 1).confirmedAt = time.Hour
		}
	}
	return s, w
}
