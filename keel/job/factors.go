package job

import "samphirekeel.example/keel/platform"

const (
	// perMille is a factor of one.
	perMille = 1000
	// decayPerTask is the part of a factor by which one task that used less lowers it, in thousandths.
	decayPerTask = 50
)

// UsageFactors says how much of each dimension a service's tasks use of what they declare, in thousandths.
type UsageFactors struct {
	MilliCores int64
	MemoryMB   int64
}

// Observe returns the factors after a task that declared one size and used another: raised at once to what was used,
// lowered in small steps, and never above most or below least, both in thousandths.
func (f UsageFactors) Observe(declared, used platform.Size, least, most int64) UsageFactors {
	return UsageFactors{
		MilliCores: adjustFactor(f.MilliCores, declared.MilliCores, used.MilliCores, least, most),
		MemoryMB:   adjustFactor(f.MemoryMB, declared.MemoryMB, used.MemoryMB, least, most),
	}
}

func adjustFactor(factor, declared, used, least, most int64) int64 {
	if factor == 0 {
		factor = perMille
	}
	if declared <= 0 {
		return factor
	}
	seen := used * perMille / declared
	next := max(seen, factor-factor*decayPerTask/perMille)
	return max(least, min(next, most))
}

// Apply returns the size that is to be held for a declared one; accelerators are held as declared.
func (f UsageFactors) Apply(declared platform.Size) platform.Size {
	return platform.Size{
		MilliCores:   scaleByFactor(f.MilliCores, declared.MilliCores),
		MemoryMB:     scaleByFactor(f.MemoryMB, declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}

func scaleByFactor(factor, declared int64) int64 {
	if factor == 0 {
		return declared
	}
	return max(1, (declared*factor+perMille-1)/perMille)
}
