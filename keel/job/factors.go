package job

import "samphirekeel.example/keel/platform"

const (
	// perMille is the factor 1 in thousandths.
	perMille = 1000
	// decayPerTask is the most by which a task that used less lowers a factor, in thousandths of the factor.
	decayPerTask = 50
)

// UsageFactors is the ratio of used to declared size of a service's tasks in each dimension, in thousandths; 0 means
// unknown.
type UsageFactors struct {
	MilliCores int64
	MemoryMB   int64
}

// Observe returns the factors after a task that declared and used these sizes: raised at once to the task's ratio,
// lowered gradually, and limited to lowest and highest, both in thousandths.
func (f UsageFactors) Observe(declared, used platform.Size, lowest, highest int64) UsageFactors {
	return UsageFactors{
		MilliCores: adjustFactor(f.MilliCores, declared.MilliCores, used.MilliCores, lowest, highest),
		MemoryMB:   adjustFactor(f.MemoryMB, declared.MemoryMB, used.MemoryMB, lowest, highest),
	}
}

func adjustFactor(factor, declared, used, lowest, highest int64) int64 {
	if factor == 0 {
		factor = perMille
	}
	if declared <= 0 {
		return factor
	}
	ratio := used * perMille / declared
	next := max(ratio, factor-factor*decayPerTask/perMille)
	return max(lowest, min(next, highest))
}

// Apply returns the size to reserve for a job that declares the size; accelerators are reserved as declared.
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
