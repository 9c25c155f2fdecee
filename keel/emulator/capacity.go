package emulator

import (
	"time"

	"samphirekeel.example/keel/work"
)

// pastCapacity is a capacity that a worker had until a time.
type pastCapacity struct {
	size  work.Size
	until time.Time
}

// SetCapacity sets the capacity of the present workers of the instances to a share of what the instances have. The workers'
// registrations show it from the next heartbeat on; the instance list goes on showing what the instances have.
func (f *Fleet) SetCapacity(share float64, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, inst := range f.withWorkersLocked(ids) {
		w := inst.worker
		w.past = append(w.past, pastCapacity{size: w.capacity, until: time.Now()})
		w.capacity = work.Size{
			MilliCores:   int64(share * float64(inst.capacity.MilliCores)),
			MemoryMB:     int64(share * float64(inst.capacity.MemoryMB)),
			Accelerators: int64(share * float64(inst.capacity.Accelerators)),
		}
	}
}

// knownTime is the time within which a scheduler has to know a worker's capacity.
func (w *Worker) knownTime() time.Duration { return w.fleet.Times.Contact + w.fleet.Times.Heartbeat }

// largestCapacity returns the largest capacity that the worker has had within knownTime, which limits starts.
func (w *Worker) largestCapacity() work.Size {
	return w.recentCapacity(func(a, b int64) int64 { return max(a, b) })
}

// smallestCapacity returns the smallest capacity that the worker has had within knownTime, which counts as room for tasks
// that wait.
func (w *Worker) smallestCapacity() work.Size {
	return w.recentCapacity(func(a, b int64) int64 { return min(a, b) })
}

// recentCapacity combines the capacities that the worker has had within knownTime.
func (w *Worker) recentCapacity(combine func(a, b int64) int64) work.Size {
	size := w.capacity
	for _, past := range w.past {
		if time.Since(past.until) <= w.knownTime() {
			size.MilliCores = combine(size.MilliCores, past.size.MilliCores)
			size.MemoryMB = combine(size.MemoryMB, past.size.MemoryMB)
			size.Accelerators = combine(size.Accelerators, past.size.Accelerators)
		}
	}
	return size
}
