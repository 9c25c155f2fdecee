package work

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/tenant"
)

func TestJobAboveItsTenantsCapIsRefused(t *testing.T) {
	limited := &tenant.Tenant{Name: "a", Cap: tenant.Cap{MilliCores: 8000, MemoryMB: 100}}
	tests := []struct {
		name    string
		tenant  *tenant.Tenant
		step    Step
		refused bool
	}{
		{"no tenant", nil, Step{Count: 1, Size: Size{MilliCores: 9000}}, false},
		{"a task as large as the cap", limited, Step{Count: 1, Size: Size{MilliCores: 8000, MemoryMB: 100, Accelerators: 4}}, false},
		{"a task above the cap", limited, Step{Count: 1, Size: Size{MilliCores: 8001}}, true},
		{"too much memory", limited, Step{Count: 1, Size: Size{MemoryMB: 101}}, true},
		{"a wide step", limited, Step{Count: 100, Size: Size{MilliCores: 1000}}, false},
		{"a wide gang", limited, Step{Count: 9, Size: Size{MilliCores: 1000}, Gang: true}, true},
		{"a gang that fits", limited, Step{Count: 8, Size: Size{MilliCores: 1000}, Gang: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			job := Job{Steps: []Step{{Count: 1}, test.step}}
			assert.Equal(t, fault.IsKind(job.CheckCap(test.tenant), fault.JobNeverFits), test.refused)
		})
	}
}
