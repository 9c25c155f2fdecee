package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/tenant"
	"samphirekeel.example/keel/work"
)

// tenantConfig returns a configuration like newConfig's with the tenants, and records these as in force for the checker.
func (b *testbed) tenantConfig(version uint64, tenants []tenant.Tenant, pools ...string) *queue.Config {
	config := newConfig(version, pools...)
	config.Tenants = tenant.NewSet()
	for _, t := range tenants {
		config.Tenants.Add(t, nil)
	}
	b.checker.ConfigTime = 3 * time.Second
	b.checker.SetTenants(config.Tenants)
	return config
}

// cores returns a tenant with a cap on processor capacity and a weight that no test exceeds.
func cores(name string, n int64) tenant.Tenant {
	return tenant.Tenant{Name: name, Weight: 1000, Cap: tenant.Cap{MilliCores: 1000 * n}}
}

// tenantJob returns a job of the tenant with one step of one-core tasks.
func tenantJob(number int, name string, count int, estimate time.Duration) *work.Job {
	j := singleStepJob(fmt.Sprintf("%016x", 0xb000+number), "p", count, estimate)
	j.Tenant = name
	return j
}

// Guards against starts above a tenant's cap, against a tenant under its cap that waits for one at its cap, and against capped work
// that isn't started again when room comes.
func TestCapHoldsAndOthersDontWait(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.addInstance("m2")
		b.startEpochWith(1, b.tenantConfig(1, []tenant.Tenant{cores("large", 8), cores("small", 8)}, "p"))
		time.Sleep(500 * time.Millisecond)
		for n := range 10 {
			b.submit(tenantJob(n, "large", 8, 500*time.Millisecond), 500*time.Millisecond)
		}
		b.submit(tenantJob(10, "small", 8, 500*time.Millisecond), 500*time.Millisecond)
		time.Sleep(900 * time.Millisecond)
		assert.Equal(t, b.stateOf(10), work.Completed)
		assert.Equal(t, b.checker.PeakUse("large"), int64(8000))
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, b.waitCauses()[waitCap] > 0, true, "%v", b.waitCauses())
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.countJobs(work.Completed), 11)
		assert.Equal(t, b.checker.PeakUse("large"), int64(8000))
	})
}

func (b *testbed) stateOf(number int) work.State {
	var state work.State
	b.onLoop(func() { state, _ = b.s.State(fmt.Sprintf("%016x", 0xb000+number)) })
	return state
}

func TestShapesAtTheCap(t *testing.T) {
	gang := func(j *work.Job) { j.Steps[0].Gang = true }
	size := func(milliCores int64) func(*work.Job) {
		return func(j *work.Job) { j.Steps[0].Size.MilliCores = milliCores }
	}
	tests := []struct {
		name    string
		count   int
		shape   func(*work.Job)
		peak    int64
		outcome work.State
	}{
		{"a gang that fits starts as a whole", 8, gang, 8000, work.Completed},
		{"a gang above the cap waits for another cap, and no other job for it", 9, gang, 7000, work.Queued},
		{"a task as large as the cap isn't starved by small ones", 1, size(8000), 8000, work.Completed},
		{"a task above the cap runs by itself", 1, size(9000), 9000, work.Completed},
		{"a wide step runs in waves", 40, func(*work.Job) {}, 8000, work.Completed},
		{"best-effort tasks count with their processor time", 16, func(j *work.Job) { j.Steps[0].BestEffort = true }, 8000, work.Completed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstance("m1")
				b.addInstance("m2")
				b.startEpochWith(1, b.tenantConfig(1, []tenant.Tenant{cores("large", 8)}, "p"))
				time.Sleep(500 * time.Millisecond)
				b.submit(tenantJob(0, "large", 4, 300*time.Millisecond), 300*time.Millisecond)
				shaped := tenantJob(1, "large", test.count, 300*time.Millisecond)
				test.shape(shaped)
				b.submit(shaped, 300*time.Millisecond)
				for n := range 10 {
					b.submit(tenantJob(2+n, "large", 1, 300*time.Millisecond), 300*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(4 * time.Second)
				assert.Equal(t, b.stateOf(1), test.outcome)
				assert.Equal(t, b.checker.PeakUse("large"), test.peak, "peak")
				if test.outcome != work.Completed {
					raised := b.tenantConfig(2, []tenant.Tenant{cores("large", 16)}, "p")
					b.onLoop(func() { b.s.SetConfig(raised) })
					time.Sleep(2 * time.Second)
					assert.Equal(t, b.stateOf(1), work.Completed)
				}
			})
		})
	}
}

// Guards against starts after a cap has fallen below what runs.
func TestCapFallsWhileFull(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.checker.ConfigTime = 0
		b.addInstance("m1")
		b.startEpochWith(1, b.tenantConfig(1, []tenant.Tenant{cores("large", 16)}, "p"))
		time.Sleep(500 * time.Millisecond)
		for n := range 12 {
			b.submit(tenantJob(n, "large", 4, time.Second), time.Second+time.Duration(n)*50*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, b.checker.PeakUse("large"), int64(16000))
		fallen := b.tenantConfig(2, []tenant.Tenant{cores("large", 3)}, "p")
		b.checker.ConfigTime = 0
		b.onLoop(func() { b.s.SetConfig(fallen) })
		time.Sleep(20 * time.Second)
		assert.Equal(t, b.countJobs(work.Completed), 12)
	})
}

// Guards against a new leader that starts work of a tenant at its cap while a worker that it hasn't heard still runs some, and
// against work that then waits for longer than until the worker is heard.
func TestLeaderKilledAtTheCap(t *testing.T) {
	for _, tenants := range [][]tenant.Tenant{{cores("large", 12)}, {cores("large", 24)}} {
		t.Run(fmt.Sprint(tenants[0].Cap.MilliCores), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				b.addInstanceIn("m1", "a")
				b.addInstanceIn("m2", "b")
				b.startEpochWith(1, b.tenantConfig(1, tenants, "p"))
				time.Sleep(500 * time.Millisecond)
				for n := range 6 {
					j := tenantJob(n, "large", 4, 4*time.Second)
					j.Home = string(rune('a' + n%2))
					b.submit(j, 4*time.Second)
				}
				time.Sleep(time.Second)
				b.fleet.SetUnreachable(true, "m2")
				b.onLoop(b.s.End)
				b.startEpochWith(2, b.tenantConfig(2, tenants, "p"))
				time.Sleep(500 * time.Millisecond)
				for n := range 6 {
					j := tenantJob(6+n, "large", 4, 500*time.Millisecond)
					j.Home = "a"
					b.submit(j, 500*time.Millisecond)
				}
				time.Sleep(1500 * time.Millisecond)
				b.fleet.SetUnreachable(false, "m2")
				time.Sleep(12 * time.Second)
				assert.Equal(t, b.countJobs(work.Completed), 12)
			})
		})
	}
}

// Guards against starts above the cap when workers carry out orders late.
func TestOrdersCarriedOutLateAtTheCap(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withTestbed(t, func(b *testbed) {
				random := rand.New(rand.NewPCG(seed, 7))
				for n := range 4 {
					b.addInstance(fmt.Sprintf("m%d", n))
				}
				b.startEpochWith(1, b.tenantConfig(1, []tenant.Tenant{cores("large", 10), cores("small", 5)}, "p"))
				time.Sleep(500 * time.Millisecond)
				b.fleet.SetLateShare(0.3)
				for n := range 30 {
					b.submit(tenantJob(n, []string{"large", "large", "small"}[n%3], 1+random.IntN(8), 400*time.Millisecond), 400*time.Millisecond)
					time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				}
				b.fleet.SetLateShare(0)
				time.Sleep(30 * time.Second)
				assert.Equal(t, b.countJobs(work.Completed), 30)
			})
		})
	}
}

// Guards against a leader without a configuration that starts work of tenants, whose caps it doesn't know, and against tenants that
// a configuration no longer has whose work is stuck.
func TestTenantsOfOtherConfigurations(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		config := b.tenantConfig(1, []tenant.Tenant{cores("large", 4)}, "p")
		b.startEpochWith(1, nil)
		time.Sleep(500 * time.Millisecond)
		j := tenantJob(0, "large", 8, 300*time.Millisecond)
		j.Terms = config.Terms(config.QueueByName("p"))
		b.submit(j, 300*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, b.starts(), 0)
		b.onLoop(func() { b.s.SetConfig(config) })
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.stateOf(0), work.Completed)
		newer := tenantJob(1, "new", 8, 300*time.Millisecond)
		newer.Terms = config.Terms(config.QueueByName("p"))
		newer.Terms.Version = 2
		b.submit(newer, 300*time.Millisecond)
		time.Sleep(time.Second)
		assert.Equal(t, b.stateOf(1), work.Queued)
		second := b.tenantConfig(2, []tenant.Tenant{cores("new", 4)}, "p")
		b.onLoop(func() { b.s.SetConfig(second) })
		b.submit(tenantJob(2, "large", 8, 300*time.Millisecond), 300*time.Millisecond)
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.countJobs(work.Completed), 3)
		assert.Equal(t, b.checker.PeakUse("large"), int64(4000), "a tenant that the configuration lacks keeps its last cap")
	})
}

// Guards against a gang that waits for room that the tenant's long-running tasks never leave, and holds back all jobs behind it.
func TestHeadThatCannotStartHoldsBackNone(t *testing.T) {
	withTestbed(t, func(b *testbed) {
		b.addInstance("m1")
		b.startEpochWith(1, b.tenantConfig(1, []tenant.Tenant{cores("large", 8)}, "p"))
		time.Sleep(500 * time.Millisecond)
		lasting := tenantJob(0, "large", 4, 0)
		lasting.Steps[0].LongRunning = true
		b.submit(lasting, 0)
		time.Sleep(500 * time.Millisecond)
		gang := tenantJob(1, "large", 5, 300*time.Millisecond)
		gang.Steps[0].Gang = true
		b.submit(gang, 300*time.Millisecond)
		for n := range 10 {
			b.submit(tenantJob(2+n, "large", 3, 300*time.Millisecond), 300*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, b.countJobs(work.Completed), 10)
		assert.Equal(t, b.checker.PeakUse("large"), int64(8000))
		b.onLoop(func() { b.s.Cancel(lasting.ID, func() {}) })
		b.checker.Cancelled(lasting.ID)
		time.Sleep(2 * time.Second)
		assert.Equal(t, b.stateOf(1), work.Completed)
	})
}

func TestOwedRate(t *testing.T) {
	tests := []struct {
		name      string
		perSecond float64
		interval  time.Duration
		jobs      int
		owed      int
	}{
		{"as many as owed", 20, 50 * time.Millisecond, 200, 200},
		{"a burst", 20, 0, 100, 40},
		{"a burst of a small tenant", 1, 0, 100, 10},
		{"eight times the rate for ten seconds", 10, 12500 * time.Microsecond, 800, 119},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var rate owedRate
			owed := 0
			for n := range test.jobs {
				if rate.take(time.Hour+time.Duration(n)*test.interval, test.perSecond) {
					owed++
				}
			}
			assert.Equal(t, owed, test.owed)
		})
	}
}
