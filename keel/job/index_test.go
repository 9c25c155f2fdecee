package job

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/platform"
)

const perRack = 20

var plainWorker = platform.Size{MilliCores: 32000, MemoryMB: 64 << 10}

func acceleratorWorker() platform.Size {
	return platform.Size{MilliCores: 32000, MemoryMB: 128 << 10, Accelerators: 2}
}

// newWorkers returns slots of which one half has accelerators.
func newWorkers(n int) []*Candidate {
	slots := make([]*Candidate, 0, n)
	for i := range n {
		size := plainWorker
		if i%2 == 1 {
			size = acceleratorWorker()
		}
		slots = append(slots, &Candidate{Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%d", i/perRack), Capacity: size, Free: size})
	}
	return slots
}

func newIndexOf(slots []*Candidate) *Index {
	index := NewIndex(acceleratorWorker())
	for _, slot := range slots {
		index.Put(slot.Name, slot.Rack, slot.Capacity, slot.Free)
	}
	return index
}

// drawSize returns the size of a job: many small ones, some that want much memory, some with an accelerator.
func drawSize(random *rand.Rand) platform.Size {
	cores := []int64{500, 1000, 2000, 4000, 8000, 12000, 20000}[random.IntN(7)]
	size := platform.Size{MilliCores: cores, MemoryMB: cores * (1 + random.Int64N(4)) / 2}
	if random.IntN(5) == 0 {
		size.Accelerators = 1
	}
	return size
}

func TestFindFindsAWorkerWheneverOneFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := newWorkers(rapid.IntRange(1, 60).Draw(t, "workers"))
		for _, slot := range slots {
			slot.Free = platform.Size{
				MilliCores:   rapid.Int64Range(0, slot.Capacity.MilliCores).Draw(t, "cores"),
				MemoryMB:     rapid.Int64Range(0, slot.Capacity.MemoryMB).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, slot.Capacity.Accelerators).Draw(t, "accelerators"),
			}
		}
		index := newIndexOf(slots)
		size := platform.Size{
			MilliCores:   rapid.Int64Range(0, 33000).Draw(t, "want cores"),
			MemoryMB:     rapid.Int64Range(0, 129<<10).Draw(t, "want memory"),
			Accelerators: rapid.Int64Range(0, 3).Draw(t, "want accelerators"),
		}
		found, ok := index.Find(size, nil)
		assert.Equal(t, ok, firstFitting(slots, size) != nil)
		if ok {
			assert.Assert(t, size.Fits(found.Free))
			assertBest(t, index, slots, size, found)
		}
	})
}

func firstFitting(slots []*Candidate, size platform.Size) *Candidate {
	for _, slot := range slots {
		if size.Fits(slot.Free) {
			return slot
		}
	}
	return nil
}

// assertBest holds the worker found to the best of all in turn.
func assertBest(t *rapid.T, index *Index, slots []*Candidate, size platform.Size, found *Candidate) {
	for _, slot := range slots {
		if !size.Fits(slot.Free) {
			continue
		}
		assert.Assert(t, slot.Free.Accelerators >= found.Free.Accelerators, "%s leaves accelerators", slot.Name)
		if slot.Free.Accelerators == found.Free.Accelerators {
			assert.Assert(t, index.score(size, slot.Free) >= index.score(size, found.Free), "%s fits better", slot.Name)
		}
	}
}

func TestIndexFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := newWorkers(8)
		index := newIndexOf(slots)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 60 {
			slot := slots[random.IntN(len(slots))]
			switch size := drawSize(random); {
			case random.IntN(8) == 0:
				index.Put(slot.Name, slot.Rack, slot.Capacity, slot.Free)
			case size.Fits(slot.Free):
				slot.Free = subtract(slot.Free, size)
				index.Allocate(slot.Name, size)
			default:
				index.Allocate(slot.Name, subtract(slot.Free, slot.Capacity))
				slot.Free = slot.Capacity
			}
		}
		for _, slot := range slots {
			held, ok := index.Get(slot.Name)
			assert.Assert(t, ok)
			assert.Equal(t, held.Free, slot.Free)
		}
		size := drawSize(random)
		_, ok := index.Find(size, nil)
		assert.Equal(t, ok, firstFitting(slots, size) != nil)
	})
}

// fillShare places jobs until the first refusal and returns the share of the processors that is placed.
func fillShare(n int, seed uint64, place func(platform.Size) bool) float64 {
	random := rand.New(rand.NewPCG(seed, 2))
	var placed int64
	for {
		size := drawSize(random)
		if !place(size) {
			return float64(placed) / float64(int64(n)*plainWorker.MilliCores)
		}
		placed += size.MilliCores
	}
}

func TestBestFitPlacesMoreThanFirstFitBeforeTheFirstRefusal(t *testing.T) {
	const runs = 20
	for _, n := range []int{50, 700} {
		best, first := compareFill(n, runs)
		assert.Assert(t, best > first, "%d workers: best fit %.3f, first fit %.3f", n, best, first)
	}
}

func compareFill(n, runs int) (best, first float64) {
	for seed := range runs {
		index := newIndexOf(newWorkers(n))
		best += fillShare(n, uint64(seed), func(size platform.Size) bool {
			slot, ok := index.Find(size, nil)
			if ok {
				index.Allocate(slot.Name, size)
			}
			return ok
		})
		first += fillShare(n, uint64(seed), (&firstFit{slots: newWorkers(n)}).place)
	}
	return best / float64(runs), first / float64(runs)
}

func BenchmarkFillBeforeFirstRefusal(b *testing.B) {
	for _, n := range []int{50, 700, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var best, first float64
			for range b.N {
				best, first = compareFill(n, 5)
			}
			b.ReportMetric(best*100, "best_%")
			b.ReportMetric(first*100, "first_%")
		})
	}
}

// BenchmarkPlace measures one placement on workers that are kept about 80% full.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{50, 700, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPlace(b, n) })
	}
}

type heldJob struct {
	worker string
	size   platform.Size
}

func benchmarkPlace(b *testing.B, n int) {
	index := newIndexOf(newWorkers(n))
	random := rand.New(rand.NewPCG(1, 3))
	var held []heldJob
	var used int64
	step := func() {
		size := drawSize(random)
		slot, ok := index.Find(size, nil)
		if ok {
			index.Allocate(slot.Name, size)
			held = append(held, heldJob{slot.Name, size})
			used += size.MilliCores
		}
		for used > int64(n)*plainWorker.MilliCores*8/10 {
			at := random.IntN(len(held))
			gone := held[at]
			held[at] = held[len(held)-1]
			held = held[:len(held)-1]
			index.Allocate(gone.worker, subtract(platform.Size{}, gone.size))
			used -= gone.size.MilliCores
		}
	}
	for range n * 20 {
		step()
	}
	b.ResetTimer()
	for range b.N {
		step()
	}
}

// BenchmarkPlaceRefused measures a job that no worker can hold although many nearly can.
func BenchmarkPlaceRefused(b *testing.B) {
	for _, n := range []int{50, 700, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			slots := newWorkers(n)
			for _, slot := range slots {
				slot.Free = platform.Size{MilliCores: 3999, MemoryMB: 4000}
			}
			index := newIndexOf(slots)
			for range b.N {
				_, ok := index.Find(platform.Size{MilliCores: 4000, MemoryMB: 4000}, nil)
				assert.Assert(b, !ok)
			}
		})
	}
}
