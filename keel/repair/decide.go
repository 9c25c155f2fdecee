package repair

import (
	"slices"
	"time"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
)

// maxChanges is the number of instance changes at which a rule adds no more to a step. A replacement adds two changes
// at once, and repairRows isn't limited.
const maxChanges = 200

// missingPermitDelay is how long an instance is out of service without a permit before repairRows repairs it. No
// transaction of an entry leaves an instance so, only a manual edit of rows, which may still be in progress.
const missingPermitDelay = 10 * time.Second

// inUseFailureFactor multiplies the failure delay for an instance that is listed as down but has requests in flight.
// Requests to a dead instance hang for a while, and the list may be wrong.
const inUseFailureFactor = 6

// decider builds a step.
type decider struct {
	*Snapshot
	step Step
}

// Decide returns the next step, empty if there is nothing to do. It is the step of the first rule that changes
// anything: contradicting rows come first, then failures, then moves, then new instances and their attributes.
func Decide(snapshot *Snapshot) Step {
	for _, rule := range []func(*decider){
		(*decider).repairRows, (*decider).updateHealth, (*decider).replaceFailed, (*decider).completeMoves,
		(*decider).fillPools, (*decider).releaseSurplus, (*decider).adoptUnregistered, (*decider).updateAttributes,
	} {
		d := &decider{Snapshot: snapshot, step: Step{Pools: make(map[string]pool.Record)}}
		rule(d)
		if !d.step.Empty() {
			return d.step
		}
	}
	return Step{}
}

func (d *decider) atLimit() bool { return len(d.step.Changes) >= maxChanges }

// poolRow returns the pool's row with the changes of the step so far.
func (d *decider) poolRow(name string) pool.Record {
	row, touched := d.step.Pools[name]
	if !touched {
		return d.Pools[name].Value
	}
	return row
}

func (d *decider) addChange(m Member, next instance.Record, id event.ID, fields event.Fields) {
	d.step.Changes = append(d.step.Changes, Change{Before: m.Versioned, Next: next, Event: id, Fields: fields})
}

// moveToPool moves an instance from its pool to another in the pools' rows, releases its permit, and returns its new
// row.
func (d *decider) moveToPool(m Member, to string) instance.Record {
	next := m.Value
	source := d.poolRow(m.Value.Pool).Release(m.Key())
	source.Members--
	d.step.Pools[m.Value.Pool] = source
	target := d.poolRow(to)
	target.Members++
	d.step.Pools[to] = target
	next.Pool = to
	return next
}

// repairRows corrects pool rows whose member count or permits don't match their instances.
func (d *decider) repairRows() {
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		row := p.Value
		row.Members = len(p.Members)
		byKey := make(map[string]Member, len(p.Members))
		for _, m := range p.Members {
			byKey[m.Key()] = m
			_, permitted := row.Permits[m.Key()]
			if m.Value.State != instance.InService && !permitted && m.RowAge >= missingPermitDelay {
				row = d.repairMissingPermit(row, m)
			}
		}
		for key := range p.Value.Permits {
			m, exists := byKey[key]
			if !exists || m.Value.State == instance.InService {
				row = row.Release(key)
			}
		}
		if row.Members != p.Value.Members || len(row.Permits) != len(p.Value.Permits) {
			d.step.Pools[name] = row
			d.step.Repaired = append(d.step.Repaired, name)
		}
	}
}

// repairMissingPermit repairs an instance that is out of service without a permit: a leaving one returns to service,
// and any other is marked as failed until the list shows it as live.
func (d *decider) repairMissingPermit(row pool.Record, m Member) pool.Record {
	next := m.Value
	if m.Value.State == instance.Leaving {
		next.State = instance.InService
		d.addChange(m, next, event.PoolInstancePutBack, event.Fields{"pool": row.Name, "instance": m.Key(), "reason": "no permit in the pool's row"})
		d.step.Pools[row.Name] = row
		return row
	}
	next.State = instance.Failed
	d.addChange(m, next, event.PoolInstanceFailed, event.Fields{"pool": row.Name, "instance": m.Key(), "reason": "out of service without a permit"})
	return row.WithFailed(pool.Permit{Instance: m.Key(), Boot: m.Value.Boot})
}

// updateHealth marks instances that are down as failed and returns failed ones that are live again to service.
func (d *decider) updateHealth() {
	for _, name := range d.sortedPoolNames() {
		p := d.Pools[name]
		for _, m := range p.Members {
			permit := p.Value.Permits[m.Key()]
			switch {
			case d.atLimit():
				return
			case m.shouldFail(p, permit):
				d.markFailed(name, m, permit)
			case m.Value.State == instance.Failed && m.Listing.Liveness == platform.Live:
				d.returnToService(name, m, permit)
			}
		}
	}
}

// shouldFail reports whether the instance is to be marked as failed. While a wave reboots it, the wave's controller
// decides.
func (m Member) shouldFail(p Pool, permit pool.Permit) bool {
	if m.Listing.Liveness != platform.Down || m.Value.State == instance.Failed {
		return false
	}
	if m.Value.State == instance.Drained && permit.Reason == pool.ReasonWave {
		return false
	}
	return m.DownAge >= p.FailureDelay && (!m.InUse || m.DownAge >= inUseFailureFactor*p.FailureDelay)
}

func (d *decider) markFailed(name string, m Member, permit pool.Permit) {
	next := m.Value
	next.State = instance.Failed
	d.step.Pools[name] = d.poolRow(name).WithFailed(pool.Permit{Instance: m.Key(), RequestedBy: permit.RequestedBy, Boot: m.Value.Boot})
	d.addChange(m, next, event.PoolInstanceFailed, event.Fields{"pool": name, "instance": m.Key(), "reason": "instance list reports it as down"})
}

func (d *decider) returnToService(name string, m Member, permit pool.Permit) {
	next := m.Value
	next.State = instance.InService
	next.Boot = m.Listing.Boot
	// The instance missed its return timeout after a wave's reboot and came back late: the wave has maintained it.
	if slices.Contains(d.Waves, permit.RequestedBy) && m.Listing.Boot > permit.Boot && !slices.Contains(next.Waves, permit.RequestedBy) {
		next.Waves = append(slices.Clone(next.Waves), permit.RequestedBy)
	}
	d.step.Pools[name] = d.poolRow(name).Release(m.Key())
	d.addChange(m, next, event.PoolInstanceBack, event.Fields{"pool": name, "instance": m.Key()})
}

// adoptUnregistered adds listed instances without a row to the spare pool.
func (d *decider) adoptUnregistered() {
	for _, listing := range d.Unregistered {
		if listing.Liveness != platform.Live || d.atLimit() {
			continue
		}
		adopted := instance.Record{
			ID: listing.ID, DataCentre: listing.DataCentre, Rack: listing.Rack, Address: listing.Address, Size: listing.Size,
			Slots: listing.Slots, Connections: listing.Connections,
			Pool: instance.SparePool, State: instance.InService, Boot: listing.Boot,
		}
		spare := d.poolRow(instance.SparePool)
		spare.Members++
		d.step.Pools[instance.SparePool] = spare
		d.addChange(Member{}, adopted, event.PoolInstanceAdopted, event.Fields{"instance": adopted.Key()})
	}
}

// updateAttributes copies addresses, racks, sizes and capacities from the instance list to the rows.
func (d *decider) updateAttributes() {
	for _, name := range d.sortedPoolNames() {
		for _, m := range d.Pools[name].Members {
			next := m.Value
			listing := m.Listing
			next.Address, next.Rack, next.Size = listing.Address, listing.Rack, listing.Size
			next.Slots, next.Connections = listing.Slots, listing.Connections
			same := next.Address == m.Value.Address && next.Rack == m.Value.Rack && next.Size == m.Value.Size &&
				next.Slots == m.Value.Slots && next.Connections == m.Value.Connections
			if !m.Listed || same || d.atLimit() {
				continue
			}
			d.addChange(m, next, event.PoolInstanceChanged, event.Fields{"instance": m.Key()})
		}
	}
}
