package emulator

import (
	"time"

	"samphirekeel.example/keel/tenant"
	"samphirekeel.example/keel/work"
)

// tenantUse is what the running tasks of the tenants use on all workers.
type tenantUse struct {
	versions []tenantsVersion
	running  map[string]tenant.Cap
	// peaks holds the highest use of processor capacity by tenant.
	peaks map[string]int64
}

// tenantsVersion is the tenants of one version of the configuration, in force from a time on.
type tenantsVersion struct {
	tenants *tenant.Set
	since   time.Time
}

// SetTenants records a new version of the tenants; the earlier one may be in force for ConfigTime longer.
func (c *Checker) SetTenants(tenants *tenant.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.versions = append(c.use.versions, tenantsVersion{tenants, time.Now()})
}

// PeakUse returns the highest use of processor capacity by the tenant's tasks so far, in milli-cores.
func (c *Checker) PeakUse(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.peaks[name]
}

// addUse records the start of a task, and reports it if it brings what the tenant has running above its cap, with the overage,
// by more than one task. Of the versions that may be in force the highest cap counts.
func (c *Checker) addUse(j *jobRecord, step *work.Step, id work.TaskID) {
	name := j.job.Tenant
	if name == "" {
		return
	}
	if c.use.running == nil {
		c.use.running, c.use.peaks = make(map[string]tenant.Cap), make(map[string]int64)
	}
	before := c.use.running[name]
	used := before.Plus(tenant.Cap(step.Size))
	c.use.running[name] = used
	c.use.peaks[name] = max(c.use.peaks[name], used.MilliCores)
	limited := false
	for i, v := range c.use.versions {
		if i+1 < len(c.use.versions) && time.Since(c.use.versions[i+1].since) > c.ConfigTime {
			continue
		}
		found := v.tenants.ByName(name)
		if found == nil {
			continue
		}
		limited = true
		if c.withOverage(found.Cap).Room(before).Holds(tenant.Cap{}) {
			return
		}
	}
	if limited {
		c.reportLocked("%s starts while tenant %s has %+v running, more than its cap allows", id, name, before)
	}
}

func (c *Checker) withOverage(limit tenant.Cap) tenant.Cap {
	scale := func(n int64) int64 { return int64(float64(n) * (1 + c.CapOverage)) }
	return tenant.Cap{MilliCores: scale(limit.MilliCores), MemoryMB: scale(limit.MemoryMB), Accelerators: scale(limit.Accelerators)}
}

// removeUse records the end of a run of a task.
func (c *Checker) removeUse(j *jobRecord, step *work.Step) {
	if j.job.Tenant != "" {
		c.use.running[j.job.Tenant] = c.use.running[j.job.Tenant].Minus(tenant.Cap(step.Size))
	}
}

// TenantOf returns the name of the tenant of a submitted job, empty if there is none.
func (c *Checker) TenantOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return ""
	}
	return j.job.Tenant
}
