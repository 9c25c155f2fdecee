package schedule

import "samphirekeel.example/keel/tenant"

// checkTenants compares what is counted for each tenant with its runs and with its inherited jobs.
func (b *testbed) checkTenants() {
	used, unseen, capped := make(map[*tenantState]tenant.Cap), make(map[*tenantState]tenant.Cap), make(map[*tenantState]int)
	for _, w := range b.s.workers {
		for _, r := range w.runs {
			t := b.s.caps.byName[b.tenantOf(r)]
			if t != nil && r.awaitingEndSince == 0 {
				used[t] = used[t].Plus(tenant.Cap(r.task.step.spec.Size))
			}
		}
	}
	for _, j := range b.s.jobs {
		if j.open() && j.tenant != nil {
			unseen[j.tenant] = unseen[j.tenant].Plus(j.entry.unseen)
			if j.entry.capped.job != nil && !j.isTooLarge() {
				capped[j.tenant]++
			}
		}
	}
	b.checkShares()
	for _, t := range b.s.caps.byName {
		if t.used != used[t] || t.unseen != unseen[t] || t.capped.Len() != capped[t] {
			b.t.Errorf("tenant %s: %+v used, %+v unseen, %d jobs capped; %+v, %+v, %d by its jobs", t.name, t.used, t.unseen, t.capped.Len(), used[t], unseen[t], capped[t])
		}
	}
}

// tenantOf returns the name of the tenant that submitted the run's job.
func (b *testbed) tenantOf(r *run) string { return b.checker.TenantOf(r.task.job().ID) }

// checkShares compares the number of jobs that each tenant has in a pool with the pool's jobs.
func (b *testbed) checkShares() {
	for _, p := range b.s.pools {
		jobs := make(map[*tenantState]int)
		for j := range p.jobs {
			if j.tenant != nil && !j.LongRunning() {
				jobs[j.tenant]++
			}
		}
		for t, share := range p.shares {
			if share.jobs != jobs[t] {
				b.t.Errorf("pool %s: %d jobs of tenant %s, %d by its jobs", p.name, share.jobs, t.name, jobs[t])
			}
		}
	}
}
