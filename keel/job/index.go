package job

import (
	"math/bits"

	"samphirekeel.example/keel/platform"
)

// levelCount is the number of steps into which free processors and free memory are divided; a row of them fits a word.
const levelCount = 64

// maxCellCandidates bounds the candidates that are compared in one cell.
const maxCellCandidates = 24

// Candidate is one worker as placement sees it.
type Candidate struct {
	// Name is the key of the instance's row.
	Name     string
	Rack     string
	Capacity platform.Size
	Free     platform.Size
	// at is the slot's cell and its place in it.
	cell   int
	offset int
}

// Index finds the worker whose free capacity exceeds a job's size the least; it belongs to one goroutine.
//
// Workers are sorted into cells by free accelerators, free processors and free memory. For each number of
// accelerators and level of processors, a word has a bit for each level of memory that has a worker.
type Index struct {
	byName map[string]*Candidate
	// levelSize is the capacity of one level.
	levelSize platform.Size
	cells     [][]*Candidate
	occupied  []uint64
}

// NewIndex returns an empty index of workers that are at most as large as largest.
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

// Get returns the worker with the name, and false if there is none.
func (x *Index) Get(name string) (*Candidate, bool) {
	slot, ok := x.byName[name]
	return slot, ok
}

// Put adds a worker or replaces what is known of it.
func (x *Index) Put(name, rack string, capacity, free platform.Size) {
	x.Remove(name)
	slot := &Candidate{Name: name, Rack: rack, Capacity: capacity, Free: free}
	x.byName[name] = slot
	x.insert(slot)
}

// Remove drops a worker.
func (x *Index) Remove(name string) {
	slot, ok := x.byName[name]
	if !ok {
		return
	}
	x.extract(slot)
	delete(x.byName, name)
}

// Allocate subtracts the size from the worker's free capacity; a negative size gives it back.
func (x *Index) Allocate(name string, size platform.Size) {
	slot, ok := x.byName[name]
	if !ok {
		return
	}
	x.extract(slot)
	slot.Free = subtract(slot.Free, size)
	x.insert(slot)
}

func subtract(a, b platform.Size) platform.Size {
	return platform.Size{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryMB:     a.MemoryMB - b.MemoryMB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

func levelOf(amount, unit int64) int {
	return int(max(0, min(amount/unit, levelCount-1)))
}

// cellOf returns the cell of a free capacity; a negative amount counts as none.
func (x *Index) cellOf(free platform.Size) (row, memory int) {
	class := int(max(0, min(free.Accelerators, int64(len(x.occupied)/levelCount-1))))
	return class*levelCount + levelOf(free.MilliCores, x.levelSize.MilliCores), levelOf(free.MemoryMB, x.levelSize.MemoryMB)
}

func (x *Index) insert(slot *Candidate) {
	row, memory := x.cellOf(slot.Free)
	slot.cell = row*levelCount + memory
	slot.offset = len(x.cells[slot.cell])
	x.cells[slot.cell] = append(x.cells[slot.cell], slot)
	x.occupied[row] |= 1 << memory
}

func (x *Index) extract(slot *Candidate) {
	cell := x.cells[slot.cell]
	last := len(cell) - 1
	cell[slot.offset] = cell[last]
	cell[slot.offset].offset = slot.offset
	cell[last] = nil
	x.cells[slot.cell] = cell[:last]
	if last == 0 {
		x.occupied[slot.cell/levelCount] &^= 1 << (slot.cell % levelCount)
	}
}

// Find returns the worker that the size fits best and that usable allows, and false if there is none.
//
// Workers with fewer free accelerators come first, so that a job without accelerators leaves them free. Among
// these the least free capacity is left over, the free processors and memory counted as shares of the largest worker.
func (x *Index) Find(size platform.Size, usable func(*Candidate) bool) (*Candidate, bool) {
	classes := len(x.occupied) / levelCount
	for class := int(size.Accelerators); class < classes; class++ {
		found := x.findInClass(class, size, usable, maxCellCandidates)
		if found == nil {
			// The cells on the border of the size hold workers that fit and others that don't.
			found = x.findInClass(class, size, usable, len(x.byName))
		}
		if found != nil {
			return found, true
		}
	}
	return nil, false
}

// findInClass compares, for each level of processors, the cell with the least memory that can hold the size.
func (x *Index) findInClass(class int, size platform.Size, usable func(*Candidate) bool, limit int) *Candidate {
	low := levelOf(size.MemoryMB, x.levelSize.MemoryMB)
	var best *Candidate
	var bestScore int64
	for cores := levelOf(size.MilliCores, x.levelSize.MilliCores); cores < levelCount; cores++ {
		row := class*levelCount + cores
		mask := x.occupied[row] >> low << low
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
		if best != nil && x.minScore(size, cores+1, low) >= bestScore {
			break
		}
	}
	return best
}

// minScore returns the least score that a worker of the cell can have.
func (x *Index) minScore(size platform.Size, cores, memory int) int64 {
	free := platform.Size{MilliCores: int64(cores) * x.levelSize.MilliCores, MemoryMB: int64(memory) * x.levelSize.MemoryMB}
	return x.score(size, free)
}

// score returns what is left over of a free capacity, in 1024ths of a level.
func (x *Index) score(size, free platform.Size) int64 {
	left := subtract(free, size)
	return left.MilliCores<<10/x.levelSize.MilliCores + left.MemoryMB<<10/x.levelSize.MemoryMB
}

func (x *Index) findInCell(cell int, size platform.Size, usable func(*Candidate) bool, limit int) (*Candidate, int64) {
	var best *Candidate
	var bestScore int64
	candidates := x.cells[cell]
	for _, slot := range candidates[:min(limit, len(candidates))] {
		if !size.Fits(slot.Free) || usable != nil && !usable(slot) {
			continue
		}
		score := x.score(size, slot.Free)
		if best == nil || score < bestScore || score == bestScore && slot.Name < best.Name {
			best, bestScore = slot, score
		}
	}
	return best, bestScore
}
