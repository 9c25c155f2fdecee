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

// newWorkers returns n idle workers, every second one with accelerators.
func newWorkers(n int) []*Candidate {
	workers := make([]*Candidate, 0, n)
	for i := range n {
		size := plainWorker
		if i%2 == 1 {
			size = acceleratorWorker()
		}
		workers = append(workers, &Candidate{Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%d", i/perRack), Capacity: size, Free: size})
	}
	return workers
}

func newIndexOf(workers []*Candidate) *Index {
	index := NewIndex(acceleratorWorker())
	for _, candidate := range workers {
		index.Put(candidate.Name, candidate.Rack, candidate.Capacity, candidate.Free)
	}
	return index
}

// drawSize returns the size of a random job; most are small, some need much memory, a fifth need an accelerator.
func drawSize(random *rand.Rand) platform.Size {
	cores := []int64{500, 1000, 2000, 4000, 8000, 12000, 20000}[random.IntN(7)]
	size := platform.Size{MilliCores: cores, MemoryMB: cores * (1 + random.Int64N(4)) / 2}
	if random.IntN(5) == 0 {
		size.Accelerators = 1
	}
	return size
}

func TestFindReturnsTheBestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := newWorkers(rapid.IntRange(1, 60).Draw(t, "workers"))
		for _, candidate := range workers {
			candidate.Free = platform.Size{
				MilliCores:   rapid.Int64Range(0, candidate.Capacity.MilliCores).Draw(t, "cores"),
				MemoryMB:     rapid.Int64Range(0, candidate.Capacity.MemoryMB).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, candidate.Capacity.Accelerators).Draw(t, "accelerators"),
			}
		}
		index := newIndexOf(workers)
		size := platform.Size{
			MilliCores:   rapid.Int64Range(0, 33000).Draw(t, "want cores"),
			MemoryMB:     rapid.Int64Range(0, 129<<10).Draw(t, "want memory"),
			Accelerators: rapid.Int64Range(0, 3).Draw(t, "want accelerators"),
		}
		found, ok := index.Find(size, nil)
		assert.Equal(t, ok, firstFitting(workers, size) != nil)
		if ok {
			assert.Assert(t, size.Fits(found.Free))
			assertBest(t, index, workers, size, found)
		}
	})
}

func firstFitting(workers []*Candidate, size platform.Size) *Candidate {
	for _, candidate := range workers {
		if size.Fits(candidate.Free) {
			return candidate
		}
	}
	return nil
}

// assertBest compares the worker found with every worker that the size fits on.
func assertBest(t *rapid.T, index *Index, workers []*Candidate, size platform.Size, found *Candidate) {
	for _, candidate := range workers {
		if !size.Fits(candidate.Free) {
			continue
		}
		assert.Assert(t, candidate.Free.Accelerators >= found.Free.Accelerators, "%s has fewer free accelerators", candidate.Name)
		if candidate.Free.Accelerators == found.Free.Accelerators {
			assert.Assert(t, index.score(size, candidate.Free) >= index.score(size, found.Free), "%s fits better", candidate.Name)
		}
	}
}

func TestIndexAfterPutAndAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := newWorkers(8)
		index := newIndexOf(workers)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 60 {
			candidate := workers[random.IntN(len(workers))]
			switch size := drawSize(random); {
			case random.IntN(8) == 0:
				index.Put(candidate.Name, candidate.Rack, candidate.Capacity, candidate.Free)
			case size.Fits(candidate.Free):
				candidate.Free = subtract(candidate.Free, size)
				index.Allocate(candidate.Name, size)
			default:
				index.Allocate(candidate.Name, subtract(candidate.Free, candidate.Capacity))
				candidate.Free = candidate.Capacity
			}
		}
		for _, candidate := range workers {
			indexed, ok := index.Get(candidate.Name)
			assert.Assert(t, ok)
			assert.Equal(t, indexed.Free, candidate.Free)
		}
		size := drawSize(random)
		_, ok := index.Find(size, nil)
		assert.Equal(t, ok, firstFitting(workers, size) != nil)
	})
}

// fillShare places random jobs until one doesn't fit and returns the share of all cores that is then in use.
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

func TestBestFitFillsMoreThanFirstFit(t *testing.T) {
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
			candidate, ok := index.Find(size, nil)
			if ok {
				index.Allocate(candidate.Name, size)
			}
			return ok
		})
		first += fillShare(n, uint64(seed), (&firstFit{workers: newWorkers(n)}).place)
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

// BenchmarkPlace measures one placement on workers of which about 80% of the cores are in use.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{50, 700, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPlace(b, n) })
	}
}

type placedJob struct {
	worker string
	size   platform.Size
}

func benchmarkPlace(b *testing.B, n int) {
	index := newIndexOf(newWorkers(n))
	random := rand.New(rand.NewPCG(1, 3))
	var placed []placedJob
	var used int64
	step := func() {
		size := drawSize(random)
		candidate, ok := index.Find(size, nil)
		if ok {
			index.Allocate(candidate.Name, size)
			placed = append(placed, placedJob{candidate.Name, size})
			used += size.MilliCores
		}
		for used > int64(n)*plainWorker.MilliCores*8/10 {
			at := random.IntN(len(placed))
			removed := placed[at]
			placed[at] = placed[len(placed)-1]
			placed = placed[:len(placed)-1]
			index.Allocate(removed.worker, subtract(platform.Size{}, removed.size))
			used -= removed.size.MilliCores
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

// BenchmarkPlaceRefused measures the search for a job that needs slightly more cores than every worker has free.
func BenchmarkPlaceRefused(b *testing.B) {
	for _, n := range []int{50, 700, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			workers := newWorkers(n)
			for _, candidate := range workers {
				candidate.Free = platform.Size{MilliCores: 3999, MemoryMB: 4000}
			}
			index := newIndexOf(workers)
			for range b.N {
				_, ok := index.Find(platform.Size{MilliCores: 4000, MemoryMB: 4000}, nil)
				assert.Assert(b, !ok)
			}
		})
	}
}
