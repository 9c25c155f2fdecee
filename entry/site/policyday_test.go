package site

import (
	"time"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/queue"
)

// dayPolicy is the placement policy of a day's queues.
type dayPolicy struct {
	Base      duration `json:"base"`
	PerWorker duration `json:"per_worker"`
	Validity  duration `json:"validity"`
	// Allowed is the share of the workers on which a step may run.
	Allowed float64 `json:"allowed"`
	// MaxAbandoned is the largest share of the calls that the service may handle after the caller has given them up.
	MaxAbandoned float64 `json:"abandoned"`
}

// buildPolicy adds the day's policy service, if it has one.
func (p *dayRun) buildPolicy() {
	if p.day.Policy == nil {
		return
	}
	d := p.day.Policy
	timing := queue.PolicyTiming{BaseTime: time.Duration(d.Base), TimePerWorker: time.Duration(d.PerWorker), TicketValidity: time.Duration(d.Validity)}
	p.fleet.Policy = emulator.NewPolicyService(timing, d.Allowed)
}

// slowPolicy makes the policy service slow for the duration of the fault.
func (p *dayRun) slowPolicy(f *dayFault, _ string, length time.Duration) {
	p.fleet.Policy.SetSlow(f.SlowFactor)
	time.Sleep(length)
	p.fleet.Policy.SetSlow(1)
}

// silencePolicy makes the policy service not answer for the duration of the fault.
func (p *dayRun) silencePolicy(_ *dayFault, _ string, length time.Duration) {
	p.fleet.Policy.SetSilent(true)
	time.Sleep(length)
	p.fleet.Policy.SetSilent(false)
}

// checkPolicy checks that the policy service was not kept busy with calls that nobody waited for.
func (p *dayRun) checkPolicy() {
	if p.fleet.Policy == nil {
		return
	}
	calls := p.fleet.Policy.Calls()
	p.t.Logf("policy %+v", calls)
	awaited := calls.Handled - calls.Abandoned
	p.checkFraction("of the calls to the policy service were awaited", awaited, calls.Handled, 1-p.day.Policy.MaxAbandoned)
	if calls.Rejected > 0 {
		p.t.Errorf("the policy service rejected %d calls because too many were waiting", calls.Rejected)
	}
}
