package platform

// Plus returns the sum of two sizes.
func (s Size) Plus(other Size) Size {
	return Size{
		MilliCores:   s.MilliCores + other.MilliCores,
		MemoryMB:     s.MemoryMB + other.MemoryMB,
		Accelerators: s.Accelerators + other.Accelerators,
	}
}

// Fits reports whether the size is at most capacity in every dimension.
func (s Size) Fits(capacity Size) bool {
	return s.MilliCores <= capacity.MilliCores && s.MemoryMB <= capacity.MemoryMB && s.Accelerators <= capacity.Accelerators
}
