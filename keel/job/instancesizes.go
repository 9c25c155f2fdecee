package job

import (
	"slices"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
)

// InstanceSizes is the set of distinct instance sizes of each pool; it is immutable.
type InstanceSizes struct {
	byPool map[string][]platform.Size
}

// NewInstanceSizes returns the instance sizes in the inventory.
func NewInstanceSizes(inventory *instance.Inventory) *InstanceSizes {
	sizes := &InstanceSizes{byPool: make(map[string][]platform.Size)}
	for found := range inventory.All {
		pool, size := found.Value.Pool, found.Value.Size
		if !slices.Contains(sizes.byPool[pool], size) {
			sizes.byPool[pool] = append(sizes.byPool[pool], size)
		}
	}
	return sizes
}

// Check fails with kind JobNeverFits, with the dimension and the largest available, if the size fits on no instance
// that the pool has or could get from the spare pool. It accepts any size if s is nil or no instances are known.
func (s *InstanceSizes) Check(pool string, size platform.Size) error {
	if s == nil {
		return nil
	}
	available := slices.Concat(s.byPool[pool], s.byPool[instance.SparePool])
	var largest platform.Size
	for _, instanceSize := range available {
		if size.Fits(instanceSize) {
			return nil
		}
		largest = maxSize(largest, instanceSize)
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
