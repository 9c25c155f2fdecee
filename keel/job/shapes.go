package job

import (
	"slices"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
)

// InstanceSizes is the immutable list of the different sizes of instances by pool.
type InstanceSizes struct {
	byPool map[string][]platform.Size
}

// NewInstanceSizes returns the sizes of the instances.
func NewInstanceSizes(inventory *instance.Inventory) *InstanceSizes {
	shapes := &InstanceSizes{byPool: make(map[string][]platform.Size)}
	for found := range inventory.All {
		pool, size := found.Value.Pool, found.Value.Size
		if !slices.Contains(shapes.byPool[pool], size) {
			shapes.byPool[pool] = append(shapes.byPool[pool], size)
		}
	}
	return shapes
}

// Check fails with kind JobNeverFits, naming a dimension and the largest available, if the size fits on no instance
// that the pool has or could get from the spare pool. It lets pass what can't be told yet.
func (s *InstanceSizes) Check(pool string, size platform.Size) error {
	if s == nil {
		return nil
	}
	available := slices.Concat(s.byPool[pool], s.byPool[instance.SparePool])
	var largest platform.Size
	for _, shape := range available {
		if size.Fits(shape) {
			return nil
		}
		largest = largestOf(largest, shape)
	}
	if len(available) == 0 {
		return nil
	}
	switch {
	case size.MilliCores > largest.MilliCores:
		return neverFits("milli_cores", size.MilliCores, largest.MilliCores)
	case size.MemoryMB > largest.MemoryMB:
		return neverFits("memory_mb", size.MemoryMB, largest.MemoryMB)
	case size.Accelerators > largest.Accelerators:
		return neverFits("accelerators", size.Accelerators, largest.Accelerators)
	}
	return fault.New(fault.JobNeverFits, "no instance has %s milli_cores/memory_mb/accelerators together", sizeText(size))
}

func neverFits(dimension string, asked, largest int64) error {
	return fault.New(fault.JobNeverFits, "%s: %d asked, the largest instance has %d", dimension, asked, largest)
}
