package job

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphirekeel.example/keel/platform"
)

const (
	testLowest  = 500
	testHighest = 4000
)

func drawTaskSize(t *rapid.T, name string) platform.Size {
	return platform.Size{
		MilliCores: rapid.Int64Range(1, 64000).Draw(t, name+" cores"),
		MemoryMB:   rapid.Int64Range(1, 1<<18).Draw(t, name+" memory"),
	}
}

func TestFactorsRiseAtOnceAndDecayGradually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var factors UsageFactors
		for range rapid.IntRange(1, 40).Draw(t, "tasks") {
			declared, used := drawTaskSize(t, "declared"), drawTaskSize(t, "used")
			before := factors
			factors = factors.Observe(declared, used, testLowest, testHighest)
			assert.Assert(t, factors.MilliCores >= testLowest && factors.MilliCores <= testHighest)
			assert.Assert(t, factors.MemoryMB >= testLowest && factors.MemoryMB <= testHighest)
			if used.MilliCores*perMille/declared.MilliCores < testHighest {
				assert.Assert(t, factors.Apply(declared).MilliCores >= used.MilliCores-declared.MilliCores/perMille-1)
			}
			if before.MilliCores > testLowest*2 {
				assert.Assert(t, factors.MilliCores >= before.MilliCores*9/10, "factor dropped from %d to %d after one task", before.MilliCores, factors.MilliCores)
			}
		}
	})
}

func TestZeroFactorsReserveTheDeclaredSize(t *testing.T) {
	declared := platform.Size{MilliCores: 1500, MemoryMB: 700, Accelerators: 2}
	assert.Equal(t, UsageFactors{}.Apply(declared), declared)
}
