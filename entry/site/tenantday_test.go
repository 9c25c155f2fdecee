package site

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/tenant"
	"samphirekeel.example/keel/work"
	"samphirekeel.example/platform/platformtest"
)

// applyTime is the time within which an entry that can check the configuration applies a new version, as the strictest
// deployment states it, and a margin for a check that was just made.
const applyTime = 2*time.Second + maxConfigAge

// dayTenants are the tenants of a day, and what the checks need to know of their keys.
type dayTenants struct {
	mu sync.Mutex
	// withdrawn reports whether a tenant's key is withdrawn, and changed is when that last changed.
	withdrawn []bool
	changed   []time.Time
}

// tenantKey returns the key of the tenant with the number.
func tenantKey(number int) string { return fmt.Sprint("key-of-tenant-", number) }

func tenantName(number int) string { return fmt.Sprint("t", number) }

// tenantOf returns the number of the tenant whose job has the ID.
func (p *dayRun) tenantOf(id string) int {
	n, _ := strconv.ParseUint(id, 16, 64)
	return int(n) % p.day.Tenants
}

// accessTo returns the access of the job's tenant, or that of another tenant.
func (p *dayRun) accessTo(id string, foreign bool) tenant.Access {
	if p.day.Tenants == 0 {
		return tenant.Access{}
	}
	number := p.tenantOf(id)
	if foreign {
		number = (number + 1) % p.day.Tenants
	}
	return tenant.Access{Restricted: true, Tenant: tenantName(number)}
}

// setTenants puts the tenants with keys that aren't withdrawn into the configuration; putConfig stores it.
func (p *dayRun) setTenants() {
	p.dayTenants.mu.Lock()
	defer p.dayTenants.mu.Unlock()
	var tenants []platformtest.Tenant
	for i := range p.day.Tenants {
		if len(p.dayTenants.withdrawn) <= i {
			p.dayTenants.withdrawn = append(p.dayTenants.withdrawn, false)
			p.dayTenants.changed = append(p.dayTenants.changed, time.Now())
		}
		t := platformtest.Tenant{Name: tenantName(i), Weight: float64(i + 1)}
		if !p.dayTenants.withdrawn[i] {
			t.Keys = []string{tenantKey(i)}
		}
		tenants = append(tenants, t)
	}
	p.mu.Lock()
	p.tenants = tenants
	p.mu.Unlock()
}

// withdrawKey withdraws the key of a tenant, by its number, for the duration of the fault.
func (p *dayRun) withdrawKey(_ *dayFault, target string, length time.Duration) {
	number, err := strconv.Atoi(target)
	if err != nil || number >= p.day.Tenants {
		p.t.Errorf("no tenant %q", target)
		return
	}
	for _, withdrawn := range []bool{true, false} {
		p.dayTenants.mu.Lock()
		p.dayTenants.withdrawn[number], p.dayTenants.changed[number] = withdrawn, time.Now()
		p.dayTenants.mu.Unlock()
		p.setTenants()
		p.putConfig()
		if withdrawn {
			time.Sleep(length)
		}
	}
}

// authoriseJob sends the key of the job's tenant to the entry and returns the caller, and false if the entry refuses it. A
// response by a version that was replaced more than applyTime ago is an error, unless the entry says that it can't tell.
func (p *dayRun) authoriseJob(e *process, job *work.Job) (caller, bool) {
	if p.day.Tenants == 0 {
		return caller{}, true
	}
	number := p.tenantOf(job.ID)
	current := e.site.configCurrent()
	config := e.site.config.Load()
	q := config.QueueByName(job.Queue)
	if q == nil {
		return caller{}, false
	}
	var header fasthttp.RequestHeader
	header.Set(fasthttp.HeaderAuthorization, "Token "+tenantKey(number))
	from, err := e.site.authorise(checkedConfig{config, current}, q, &header)
	if e.killed.Load() {
		return caller{}, false
	}
	p.dayTenants.mu.Lock()
	withdrawn, since := p.dayTenants.withdrawn[number], time.Since(p.dayTenants.changed[number])
	p.dayTenants.mu.Unlock()
	switch {
	case err == nil && current && withdrawn && since > applyTime:
		p.t.Errorf("entry %s takes a key that was withdrawn %s ago", e.name, since)
	case fault.IsKind(err, fault.Unauthorized) && !withdrawn && since > applyTime:
		p.t.Errorf("entry %s refuses a key that was added %s ago", e.name, since)
	}
	return from, err == nil
}

// checkForeign queries the state of a job for another tenant, and fails the test if it gets one.
func (p *dayRun) checkForeign(ctx context.Context, e *process, id string) {
	if p.day.Tenants < 2 {
		return
	}
	state, _, err := e.site.jobState(ctx, p.accessTo(id, true), id)
	if err == nil && !e.killed.Load() {
		p.t.Errorf("job %s is shown as %s to another tenant", id, state)
	}
}

// TestDrawnTenantDays plays days on which keys are withdrawn and added again beside failures of the leader, the store and the
// operator's table.
func TestDrawnTenantDays(t *testing.T) { playDrawn(t, "testdata/drawn_tenants.json") }
