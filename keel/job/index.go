package job

import (
	"math/bits"

	"samphirekeel.example/keel/platform"
)

// levelCount is the number of levels for free cores and for free memory; a row of cells has a bit for each in a uint64.
const levelCount = 64

// maxCellCandidates limits how many workers of one cell the first pass of Find compares.
const maxCellCandidates = 24

// Candidate is a worker in an Index, with its capacity and what is free of it.
type Candidate struct {
	// Name is the key of the instance's row.
	Name     string
	Rack     string
	Capacity platform.Size
	Free     platform.Size
	// cell is the index into Index.cells, and offset the position within that cell.
	cell   int
	offset int
}

// Index finds the best fit for a job among the workers of a pool; it is not safe for concurrent use.
//
// Workers are grouped into cells by free accelerators, level of free cores and level of free memory. The cells with
// the same number of accelerators and the same level of cores form a row.
type Index struct {
	byName map[string]*Candidate
	// levelSize is the capacity of one level.
	levelSize platform.Size
	// cells has the workers by row and level of memory: the index of a cell is row*levelCount + level.
	cells [][]*Candidate
	// occupied has one bitmap per row, with a bit set for each level of memory whose cell isn't empty.
	occupied []uint64
}

// NewIndex returns an empty index for workers whose capacity is at most largest in each dimension.
func NewIndex(largest platform.Size) *Index {
	classes := int(largest.Accelerators) + 1
	return &Index{
		byName: make(map[string]*Candidate),
		levelSize: platform.Size{
			MilliCores: max(1, (largest.MilliCores+levelCount-1)/levelCount),
			MemoryMB:   max(1, (largest.MemoryMB+levelCount-1)/levelCount),
		},
		cells:    make([][]*Candidate, classes*levelCount*levelCount),
		occupied: make([]uint64, classes*levelCount),
	}
}

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.byName) }

// Get returns the worker with the name, and false if the index has none.
func (x *Index) Get(name string) (*Candidate, bool) {
	candidate, ok := x.byName[name]
	return candidate, ok
}

// Put adds the worker or replaces its entry.
func (x *Index) Put(name, rack string, capacity, free platform.Size) {
	x.Remove(name)
	candidate := &Candidate{Name: name, Rack: rack, Capacity: capacity, Free: free}
	x.byName[name] = candidate
	x.insert(candidate)
}

// Remove deletes the worker, if the index has it.
func (x *Index) Remove(name string) {
	candidate, ok := x.byName[name]
	if !ok {
		return
	}
	x.extract(candidate)
	delete(x.byName, name)
}

// Allocate subtracts the size from the worker's free capacity; a negative size returns capacity to it.
func (x *Index) Allocate(name string, size platform.Size) {
	candidate, ok := x.byName[name]
	if !ok {
		return
	}
	x.extract(candidate)
	candidate.Free = subtract(candidate.Free, size)
	x.insert(candidate)
}

func subtract(a, b platform.Size) platform.Size {
	return platform.Size{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryMB:     a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

func levelOf(amount, levelSize int64) int {
	return int(max(0, min(amount/levelSize, levelCount-1)))
}

// cellOf returns the row and the level of memory for a free capacity; negative amounts count as 0.
func (x *Index) cellOf(free platform.Size) (row, memory int) {
	class := int(max(0, min(free.Accelerators, int64(len(x.occupied)/levelCount-1))))
	return class*levelCount + levelOf(free.MilliCores, x.levelSize.MilliCores), levelOf(free.MemoryMB, x.levelSize.MemoryMB)
}

func (x *Index) insert(candidate *Candidate) {
	row, memory := x.cellOf(candidate.Free)
	candidate.cell = row*levelCount + memory
	candidate.offset = len(x.cells[candidate.cell])
	x.cells[candidate.cell] = append(x.cells[candidate.cell], candidate)
	x.occupied[row] |= 1 << memory
}

func (x *Index) extract(candidate *Candidate) {
	cell := x.cells[candidate.cell]
	last := len(cell) - 1
	cell[candidate.offset] = cell[last]
	cell[candidate.offset].offset = candidate.offset
	cell[last] = nil
	x.cells[candidate.cell] = cell[:last]
	if last == 0 {
		x.occupied[candidate.cell/levelCount] &^= 1 << (candidate.cell % levelCount)
	}
}

// Find returns the best fit among the workers for which usable, if not nil, returns true, and false if no worker fits.
//
// Workers with fewer free accelerators come first, so that jobs without accelerators leave them free. Among workers
// with the same number of free accelerators, the best fit has the least free capacity left over, where cores and memory
// count as shares of the largest worker.
func (x *Index) Find(size platform.Size, usable func(*Candidate) bool) (*Candidate, bool) {
	classes := len(x.occupied) / levelCount
	for class := int(size.Accelerators); class < classes; class++ {
		found := x.findInClass(class, size, usable, maxCellCandidates)
		if found == nil {
			// Cells at the size's own levels also hold workers that are too small, which may have used up the limit.
			found = x.findInClass(class, size, usable, len(x.byName))
		}
		if found != nil {
			return found, true
		}
	}
	return nil, false
}

// findInClass returns the best fit among the workers with class accelerators free, or nil; it compares at most
// limit workers per cell. It skips cells in which no worker can score less than the best one found.
func (x *Index) findInClass(class int, size platform.Size, usable func(*Candidate) bool, limit int) *Candidate {
	lowest := levelOf(size.MemoryMB, x.levelSize.MemoryMB)
	var best *Candidate
	var bestScore int64
	for cores := levelOf(size.MilliCores, x.levelSize.MilliCores); cores < levelCount; cores++ {
		row := class*levelCount + cores
		mask := x.occupied[row] >> lowest << lowest
		for mask != 0 {
			memory := bits.TrailingZeros64(mask)
			mask &= mask - 1
			if best != nil && x.minScore(size, cores, memory) >= bestScore {
				break
			}
			found, score := x.findInCell(row*levelCount+memory, size, usable, limit)
			if found != nil && (best == nil || score < bestScore) {
				best, bestScore = found, score
			}
		}
		if best != nil && x.minScore(size, cores+1, lowest) >= bestScore {
			break
		}
	}
	return best
}

// minScore returns the lowest score that a worker with these levels of cores and memory can have.
func (x *Index) minScore(size platform.Size, cores, memory int) int64 {
	free := platform.Size{MilliCores: int64(cores) * x.levelSize.MilliCores, MemoryMB: int64(memory) * x.levelSize.MemoryMB}
	return x.score(size, free)
}

// score returns the free capacity left over after placing the size, in 1024ths of a level; the lowest is the best fit.
func (x *Index) score(size, free platform.Size) int64 {
	rest := subtract(free, size)
	return rest.MilliCores<<10/x.levelSize.MilliCores + rest.MemoryMB<<10/x.levelSize.MemoryMB
}

func (x *Index) findInCell(cell int, size platform.Size, usable func(*Candidate) bool, limit int) (*Candidate, int64) {
	var best *Candidate
	var bestScore int64
	candidates := x.cells[cell]
	for _, candidate := range candidates[:min(limit, len(candidates))] {
		if !size.Fits(candidate.Free) || usable != nil && !usable(candidate) {
			continue
		}
		score := x.score(size, candidate.Free)
		if best == nil || score < bestScore || score == bestScore && candidate.Name < best.Name {
			best, bestScore = candidate, score
		}
	}
	return best, bestScore
}
