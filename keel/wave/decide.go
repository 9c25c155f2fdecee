package wave

import (
	"fmt"
	"slices"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
)

// Action is what a change does to an instance.
type Action string

// The actions of changes.
const (
	// Leave grants a permit and stops new work for the instance.
	Leave Action = "leave"
	// CancelRemoval returns the instance to service before it is rebooted or moved.
	CancelRemoval Action = "put_back"
	// Drain records that the instance has neither requests nor tasks.
	Drain Action = "drain"
	// Return returns a rebooted instance to service.
	Return Action = "return"
	// MarkFailed marks an instance that didn't come back from its reboot as failed.
	MarkFailed Action = "lose"
)

// Change is one change of an instance's row.
type Change struct {
	Action Action
	Member Member
	Next   instance.Record
	// Wave is RequestedBy of the instance's permit: the ID of the wave, or what requested a move.
	Wave   string
	Reason string
}

// Wait is a reason for which instances of a pool make no progress.
type Wait struct {
	Reason    string `json:"reason"`
	Instances int    `json:"instances"`
}

// Decision holds the next changes and reboots for one pool.
type Decision struct {
	// Pool is the pool's row after the changes.
	Pool    pool.Record
	Changes []Change
	// Reboots holds the drained instances to reboot.
	Reboots []Member
	// Waits holds the reasons for which instances wait, in the order in which they were found.
	Waits []Wait
}

// decider builds a decision.
type decider struct {
	Snapshot
	Decision
}

// Decide returns the next decision for the pool; it never takes more instances out of service than the budget allows.
func Decide(s Snapshot) Decision {
	d := &decider{Snapshot: s}
	d.Decision.Pool = s.Pool.Value
	for _, member := range s.Members {
		switch member.Value.State {
		case instance.Drained:
			d.decideDrained(member)
		case instance.Leaving:
			d.decideLeaving(member)
		}
	}
	d.revokeExcess()
	d.grantPermits()
	return d.Decision
}

func (d *decider) addChange(action Action, member Member, state instance.State, waveID, reason string) {
	next := member.Value
	next.State = state
	d.Changes = append(d.Changes, Change{Action: action, Member: member, Next: next, Wave: waveID, Reason: reason})
}

func (d *decider) addWait(reason string) {
	for i := range d.Waits {
		if d.Waits[i].Reason == reason {
			d.Waits[i].Instances++
			return
		}
	}
	d.Waits = append(d.Waits, Wait{reason, 1})
}

// decideDrained decides the next step for an instance that a wave has drained: reboot, return, failure or cancellation.
func (d *decider) decideDrained(member Member) {
	permit, permitted := d.Snapshot.Pool.Value.Permits[member.Key()]
	if !permitted || permit.Reason != pool.ReasonWave {
		return
	}
	switch {
	case rebooted(member, d.ListLag):
		d.returnToService(member, permit.RequestedBy)
	case !member.RebootRequested && !d.waveUnfinished(permit.RequestedBy):
		d.cancelRemoval(member, permit.RequestedBy, "its wave has ended")
	case member.StateAge > d.ReturnTimeout:
		permit.Boot = member.Value.Boot
		d.Decision.Pool = d.Decision.Pool.WithFailed(permit)
		d.addChange(MarkFailed, member, instance.Failed, permit.RequestedBy, fmt.Sprintf("not back in service within %s", d.ReturnTimeout))
	case !member.RebootAccepted:
		d.Reboots = append(d.Reboots, member)
		d.addWait("the platform has not accepted the reboot yet")
	default:
		d.addWait("rebooting")
	}
}

// rebooted reports whether the instance list shows that the instance came back from the requested reboot. The list
// lags, so a higher boot count may come from an earlier restart: it counts only if the list showed the instance as down
// after the platform accepted the request, or once listLag has passed since then.
func rebooted(member Member, listLag time.Duration) bool {
	if member.Listing.Liveness != platform.Live || member.Listing.Boot <= member.Value.Boot {
		return false
	}
	return member.RebootAccepted && (member.SeenDown || member.RebootAcceptedAge > listLag)
}

func (d *decider) returnToService(member Member, waveID string) {
	d.Decision.Pool = d.Decision.Pool.Release(member.Key())
	d.addChange(Return, member, instance.InService, waveID, "")
	next := &d.Changes[len(d.Changes)-1].Next
	next.Boot = member.Listing.Boot
	next.Waves = d.maintainedBy(member, waveID)
}

// maintainedBy returns the IDs of the unfinished waves that have maintained the instance once it is back: those listed
// in its row, the one that requested the reboot, and those that had begun before the instance was drained, which is
// certain if their rows were last written before its row.
func (d *decider) maintainedBy(member Member, waveID string) []string {
	var waves []string
	for _, wave := range d.Waves {
		counted := slices.Contains(member.Value.Waves, wave.Value.ID)
		if counted || wave.Value.ID == waveID || wave.Version() < member.Version() {
			waves = append(waves, wave.Value.ID)
		}
	}
	return waves
}

// decideLeaving marks a leaving instance as drained once it is unused, or cancels its removal.
func (d *decider) decideLeaving(member Member) {
	permit, permitted := d.Snapshot.Pool.Value.Permits[member.Key()]
	switch {
	case !permitted:
		d.cancelRemoval(member, "", "no permit in the pool's row")
	case permit.Reason == pool.ReasonWave && !d.waveUnfinished(permit.RequestedBy):
		d.cancelRemoval(member, permit.RequestedBy, "its wave has ended")
	case member.StateAge > d.DrainTimeout:
		d.cancelRemoval(member, permit.RequestedBy, "still in use after "+d.DrainTimeout.String()+": "+member.Busy)
	case member.Busy != "":
		d.addWait(member.Busy)
	default:
		d.addChange(Drain, member, instance.Drained, permit.RequestedBy, "")
		next := &d.Changes[len(d.Changes)-1].Next
		// The instance may have restarted for other reasons since its row was written.
		next.Boot = max(member.Value.Boot, member.Listing.Boot)
	}
}

func (d *decider) waveUnfinished(id string) bool {
	return slices.ContainsFunc(d.Waves, func(wave Versioned) bool { return wave.Value.ID == id })
}

func (d *decider) cancelRemoval(member Member, waveID, reason string) {
	d.Decision.Pool = d.Decision.Pool.Release(member.Key())
	d.addChange(CancelRemoval, member, instance.InService, waveID, reason)
}

// revokeExcess cancels planned removals whose instances aren't down yet while more are out of service than the budget
// allows.
func (d *decider) revokeExcess() {
	excess := d.Decision.Pool.Excess(d.Limits)
	for _, member := range d.Members {
		if excess == 0 {
			return
		}
		permit, permitted := d.Decision.Pool.Permits[member.Key()]
		if !permitted || !revocable(member, permit) {
			continue
		}
		d.Changes = slices.DeleteFunc(d.Changes, func(c Change) bool { return c.Member.Key() == member.Key() })
		d.Reboots = slices.DeleteFunc(d.Reboots, func(m Member) bool { return m.Key() == member.Key() })
		d.cancelRemoval(member, permit.RequestedBy, "the pool has more instances out of service than its budget allows")
		excess--
	}
}

// revocable reports whether the removal can still be cancelled, which it can't once a reboot may have been requested.
func revocable(member Member, permit pool.Permit) bool {
	switch {
	case permit.Reason == pool.ReasonFailure:
		return false
	case member.Value.State == instance.Leaving:
		return true
	default:
		return member.Value.State == instance.Drained && (permit.Reason == pool.ReasonMove || !member.RebootRequested)
	}
}

// grantPermits starts the removal of as many instances as the budget allows.
func (d *decider) grantPermits() {
	var candidates []Member
	inService, notFailed := make(map[string]int), make(map[string]int)
	notLive := 0
	for _, member := range d.Members {
		if member.Value.State != instance.Failed {
			notFailed[member.Value.DataCentre]++
		}
		if member.Value.State != instance.InService {
			continue
		}
		if member.Listing.Liveness != platform.Live {
			// It has no permit yet, but counts as out of service against the budget.
			notLive++
			continue
		}
		inService[member.Value.DataCentre]++
		if d.nextWave(member) != "" {
			candidates = append(candidates, member)
		}
	}
	candidates = d.dropBlocked(candidates)
	headroom := max(0, d.Decision.Pool.RemainingBudget(d.Limits)-notLive)
	selected := selectCandidates(candidates, headroom, inService, notFailed)
	for _, member := range selected {
		waveID := d.nextWave(member)
		permit := pool.Permit{Instance: member.Key(), Reason: pool.ReasonWave, RequestedBy: waveID, Boot: member.Value.Boot}
		granted, err := d.Decision.Pool.Grant(d.Limits, permit)
		if err != nil {
			break
		}
		d.Decision.Pool = granted
		d.addChange(Leave, member, instance.Leaving, waveID, "")
	}
	d.addBudgetWait(len(candidates)-len(selected), headroom-len(selected), notLive)
}

// nextWave returns the ID of the first running wave that has yet to maintain the instance, empty if there is none.
func (d *decider) nextWave(member Member) string {
	for _, wave := range d.Waves {
		if wave.Value.State == Running && !slices.Contains(member.Value.Waves, wave.Value.ID) {
			return wave.Value.ID
		}
	}
	return ""
}

// dropBlocked returns the candidates that may start leaving and adds a wait for each of the others.
func (d *decider) dropBlocked(candidates []Member) []Member {
	return slices.DeleteFunc(candidates, func(member Member) bool {
		if member.Blocked != "" {
			d.addWait(member.Blocked)
		}
		return member.Blocked != ""
	})
}

// addBudgetWait adds the reason for which candidates were not selected.
func (d *decider) addBudgetWait(waiting, headroom, notLive int) {
	if waiting == 0 {
		return
	}
	reason := "the last instance of the pool in service in its data centre stays until another is back"
	if headroom <= 0 {
		reason = fmt.Sprintf("budget of %d", d.Decision.Pool.AllowedUnavailable(d.Limits))
		if d.Limits.Reserve > 0 {
			reason += fmt.Sprintf(", %d of it kept for failures", d.Limits.Reserve)
		}
		failed := notLive
		for _, permit := range d.Decision.Pool.Permits {
			if permit.Reason == pool.ReasonFailure {
				failed++
			}
		}
		if failed > 0 {
			reason += fmt.Sprintf(", %d failed", failed)
		}
	}
	d.Waits = append(d.Waits, Wait{reason, waiting})
}
