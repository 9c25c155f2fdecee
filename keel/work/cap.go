package work

import (
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/tenant"
)

// CheckCap fails with kind JobNeverFits if a task of the job, or a whole gang, is larger than its tenant may have running.
func (j *Job) CheckCap(t *tenant.Tenant) error {
	if t == nil {
		return nil
	}
	room := t.Cap.Room(tenant.Cap{})
	for i := range j.Steps {
		step := &j.Steps[i]
		n := int64(1)
		if step.Gang {
			n = int64(step.Count)
		}
		if !room.Holds(tenant.Cap(step.Size).Times(n)) {
			return fault.New(fault.JobNeverFits, "steps[%d]: %d x %d milli-cores, %d MB and %d accelerators at once, more than the tenant's cap of %d, %d and %d (0: no limit)",
				i, n, step.Size.MilliCores, step.Size.MemoryMB, step.Size.Accelerators, t.Cap.MilliCores, t.Cap.MemoryMB, t.Cap.Accelerators)
		}
	}
	return nil
}
