package tenant

import "math"

// noLimit is the room in a dimension without a limit, half of the largest number so that sums don't overflow.
const noLimit = math.MaxInt64 / 2

// Plus returns the sum of both.
func (c Cap) Plus(o Cap) Cap {
	return Cap{c.MilliCores + o.MilliCores, c.MemoryMB + o.MemoryMB, c.Accelerators + o.Accelerators}
}

// Minus returns the difference of both, which may be negative.
func (c Cap) Minus(o Cap) Cap {
	return Cap{c.MilliCores - o.MilliCores, c.MemoryMB - o.MemoryMB, c.Accelerators - o.Accelerators}
}

// Times returns n times the amount.
func (c Cap) Times(n int64) Cap { return Cap{c.MilliCores * n, c.MemoryMB * n, c.Accelerators * n} }

// Holds reports whether o fits into c in every dimension, of which none is without a limit.
func (c Cap) Holds(o Cap) bool {
	return o.MilliCores <= c.MilliCores && o.MemoryMB <= c.MemoryMB && o.Accelerators <= c.Accelerators
}

// Least returns the lower of both in each dimension.
func (c Cap) Least(o Cap) Cap {
	return Cap{min(c.MilliCores, o.MilliCores), min(c.MemoryMB, o.MemoryMB), min(c.Accelerators, o.Accelerators)}
}

// Room returns what may be used in addition to what is used. It is negative where more is used than the cap allows.
func (c Cap) Room(used Cap) Cap {
	return Cap{room(c.MilliCores, used.MilliCores), room(c.MemoryMB, used.MemoryMB), room(c.Accelerators, used.Accelerators)}
}

func room(limit, used int64) int64 {
	if limit == 0 {
		return noLimit
	}
	return limit - used
}

// DominantShare returns the highest used fraction of the cap over the dimensions with a limit (Ghodsi et al., Dominant
// Resource Fairness, NSDI 2011).
func (c Cap) DominantShare(used Cap) float64 {
	return max(
		fraction(used.MilliCores, c.MilliCores), fraction(used.MemoryMB, c.MemoryMB), fraction(used.Accelerators, c.Accelerators),
	)
}

func fraction(used, limit int64) float64 {
	if limit <= 0 || used <= 0 {
		return 0
	}
	return float64(used) / float64(limit)
}
