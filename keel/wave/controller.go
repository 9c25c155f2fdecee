package wave

import (
	"context"
	"fmt"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
)

// DutyName is the name of the duty that runs waves.
const DutyName = "wave"

// callTimeout bounds one call of the platform.
const callTimeout = 3 * time.Second

// maxChanges bounds the instances in one transaction.
const maxChanges = 100

// putBackDelay is the time for which an instance that was put back isn't chosen again.
const putBackDelay = time.Minute

// Usage answers what entries and workers say of an instance.
type Usage struct {
	// BusyReason says why the instance isn't known to be free of requests, empty if it is.
	BusyReason func(found instance.Versioned) string
	// BlockedReason says why no instance of the data centre may begin to leave, empty if they may.
	BlockedReason func(dataCentre string) string
	// IdleConditions reads which of the instances run no task, with the conditions under which that stays so.
	IdleConditions func(ctx context.Context, keys []string) (map[string][]platform.Condition, error)
}

// Controller runs the waves while this entry holds the duty; it belongs to the control loop.
type Controller struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	View    View
	Usage   Usage
	// Interval is the time between two looks at the waves.
	Interval time.Duration
	// Refresh makes the entry read the control rows again soon.
	Refresh func()

	epoch  uint64
	memory map[string]*memory
	// busy holds the keys of the rows with a transaction under way.
	busy map[string]bool
	// seen holds, by the key of a row, the version that the view must reach before the next decision.
	seen  map[string]uint64
	waits map[string]bool
}

// memory is what this entry remembers of one instance that is out, which no row holds.
type memory struct {
	state instance.State
	since time.Time
	// unused is set when nothing was asked of the platform for the instance since this entry drained it.
	unused    bool
	tried     bool
	accepted  time.Time
	seenDown  bool
	rebooting bool
	putBack   time.Time
	idle      []platform.Condition
	reading   bool
}

// Start begins looking at the waves; it is called on the loop.
func (c *Controller) Start() {
	c.forget()
	c.Loop.Every(c.Interval, c.step)
}

// forget drops what was remembered under an earlier hold of the duty.
func (c *Controller) forget() {
	c.memory = make(map[string]*memory)
	c.busy = make(map[string]bool)
	c.seen = make(map[string]uint64)
	c.waits = make(map[string]bool)
}

func (c *Controller) step() {
	hold, ok := c.Session.Holds(DutyName)
	if !ok {
		return
	}
	if hold.Epoch != c.epoch {
		c.forget()
		c.epoch = hold.Epoch
	}
	for _, s := range Survey(c.View, c.fill) {
		c.stepPool(hold, s)
	}
	for found := range c.View.Waves().All {
		c.stepWave(hold, found)
	}
}

// fill completes a member with what this entry remembers and hears of it.
func (c *Controller) fill(member *Member) {
	key := member.Key()
	m := c.memory[key]
	if m == nil && member.Value.State == instance.Held {
		member.Blocked = c.Usage.BlockedReason(member.Value.DataCentre)
		return
	}
	if m == nil {
		m = &memory{}
		c.memory[key] = m
	}
	if m.state != member.Value.State {
		*m = memory{state: member.Value.State, since: time.Now(), unused: m.unused && m.state == instance.Leaving, putBack: m.putBack}
	}
	member.Age = time.Since(m.since)
	member.Tried = m.tried || !m.unused
	member.Accepted = !m.accepted.IsZero()
	m.seenDown = m.seenDown || member.Accepted && member.Line.Liveness == platform.Down
	member.SeenDown = m.seenDown
	member.AcceptedAge = time.Since(m.accepted)
	switch member.Value.State {
	case instance.Held:
		c.fillHeld(member, m)
	case instance.Leaving:
		c.fillLeaving(member, m)
	}
}

func (c *Controller) fillHeld(member *Member, m *memory) {
	member.Blocked = c.Usage.BlockedReason(member.Value.DataCentre)
	if time.Since(m.putBack) >= putBackDelay {
		delete(c.memory, member.Key())
		return
	}
	if member.Blocked == "" {
		member.Blocked = "put back a short while ago"
	}
}

// fillLeaving asks whether tasks run on the instance once no request does.
func (c *Controller) fillLeaving(member *Member, m *memory) {
	member.Busy = c.Usage.BusyReason(member.Versioned)
	member.Idle = m.idle
	if member.Busy == "" && m.idle == nil {
		member.Busy = "tasks run on it, or their rows are being read"
	}
}

func (c *Controller) stepPool(hold duty.Lease, s Situation) {
	key := s.Pool.Key()
	if c.busy[key] || c.View.Through() < c.seen[key] {
		return
	}
	c.readIdle(s)
	decision := Decide(s)
	c.reportWaits(s.Pool.Value.Name, decision.Waits)
	for _, member := range decision.Reboots {
		c.reboot(hold, s, member)
	}
	if len(decision.Changes) > 0 {
		c.commitChanges(hold, s, decision)
	}
}

// readIdle reads in one call which leaving instances of the pool run no task.
func (c *Controller) readIdle(s Situation) {
	var keys []string
	for _, member := range s.Members {
		m := c.memory[member.Key()]
		if member.Value.State != instance.Leaving || m.idle != nil || m.reading || c.Usage.BusyReason(member.Versioned) != "" {
			continue
		}
		m.reading = true
		keys = append(keys, member.Key())
	}
	if len(keys) == 0 {
		return
	}
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (map[string][]platform.Condition, error) {
			return c.Usage.IdleConditions(ctx, keys)
		},
		func(idle map[string][]platform.Condition, _ error) {
			for _, key := range keys {
				m := c.memory[key]
				if m == nil {
					continue
				}
				m.reading = false
				m.idle = idle[key]
			}
		})
}

// reportWaits logs each reason for which instances of the pool wait when it first comes up.
func (c *Controller) reportWaits(name string, waits []Wait) {
	for _, wait := range waits {
		id := name + " " + wait.Reason
		if !c.waits[id] {
			c.waits[id] = true
			c.Log.Write(event.WaveWaiting, event.Fields{"pool": name, "reason": wait.Reason, "instances": wait.Instances})
		}
	}
}

// reboot asks the platform for the reboot of a drained instance.
func (c *Controller) reboot(hold duty.Lease, s Situation, member Member) {
	key := member.Key()
	m := c.memory[key]
	if m.rebooting {
		return
	}
	m.rebooting, m.tried = true, true
	by := s.Pool.Value.Down[key].By
	request := platform.InstanceRequest{
		// The same instance, wave and boot give the same token, whoever holds the duty.
		Fence:    hold.Fence(fmt.Sprintf("%s/%s/%d", by, key, member.Value.Boot)),
		Instance: member.Value.ID,
	}
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (platform.Empty, error) {
			// This entry may have been paused since the decision.
			if !time.Now().Before(hold.Until) {
				return platform.Empty{}, fault.New(fault.Conflict, "the duty's lease may have run out")
			}
			return platform.Empty{}, c.Client.Reboot(ctx, request)
		},
		func(_ platform.Empty, err error) {
			m.rebooting = false
			if err != nil {
				c.refused("reboot of "+key, err)
				return
			}
			m.accepted = time.Now()
			c.Log.Write(event.WaveInstanceRebooted, event.Fields{"wave": by, "instance": key})
		})
}

// commitChanges writes the decision in one transaction; what is too much for one is decided again after it.
func (c *Controller) commitChanges(hold duty.Lease, s Situation, decision Decision) {
	changes, txn := Transaction(s, decision)
	c.commit(hold, s.Pool.Key(), txn, func() {
		for _, change := range changes {
			c.committed(s.Pool.Value.Name, change)
		}
	}, func() {
		for _, change := range changes {
			// A task may have been found on the instance after all.
			if m := c.memory[change.Member.Key()]; m != nil {
				m.idle = nil
			}
		}
	})
}

// Transaction returns the changes of the decision that fit into one transaction, and that transaction.
func Transaction(s Situation, decision Decision) ([]Change, platform.Txn) {
	changes, after := bounded(s.Pool.Value, decision)
	txn := platform.Txn{Token: platform.NewToken(), Conditions: []platform.Condition{s.Pool.Condition()}}
	for _, change := range changes {
		txn.Conditions = append(txn.Conditions, change.Member.Condition())
		if change.Action == Drain {
			txn.Conditions = append(txn.Conditions, change.Member.Idle...)
		}
		txn.Writes = append(txn.Writes, change.Member.Write(change.Next))
	}
	txn.Writes = append(txn.Writes, s.Pool.Write(after))
	return changes, txn
}

// bounded returns the first changes of the decision and the pool's row after just these.
func bounded(before pool.Record, decision Decision) ([]Change, pool.Record) {
	if len(decision.Changes) <= maxChanges {
		return decision.Changes, decision.Pool
	}
	changes := decision.Changes[:maxChanges]
	after := before
	for _, change := range changes {
		key := change.Member.Key()
		permit, permitted := decision.Pool.Down[key]
		after = after.Release(key)
		if permitted {
			after = after.With(permit)
		}
	}
	return changes, after
}

// committed logs a change that took effect and remembers what no row holds.
func (c *Controller) committed(name string, change Change) {
	key := change.Member.Key()
	fields := event.Fields{"pool": name, "instance": key}
	switch change.Action {
	case Leave:
		fields["reason"] = "wave " + change.Wave
		c.Log.Write(event.PoolPermitGranted, fields)
		c.memory[key] = &memory{state: instance.Held, unused: true}
	case PutBack:
		fields["reason"] = change.Reason
		c.Log.Write(event.PoolInstancePutBack, fields)
		c.memory[key] = &memory{state: change.Member.Value.State, putBack: time.Now()}
	case Drain:
		c.Log.Write(event.PoolInstanceDrained, fields)
		c.memory[key].unused = true
	case Return:
		delete(c.memory, key)
		c.Log.Write(event.WaveInstanceReturned, event.Fields{"wave": change.Wave, "instance": key, "boot": change.Next.Boot})
	case Lose:
		delete(c.memory, key)
		c.Log.Write(event.WaveInstanceLost, event.Fields{"wave": change.Wave, "instance": key})
	}
}

// stepWave ends a wave whose instances are all maintained or failed.
func (c *Controller) stepWave(hold duty.Lease, found Versioned) {
	key := found.Key()
	if found.Value.State != Running || c.busy[key] || c.View.Through() < c.seen[key] {
		return
	}
	progress := NewProgress(c.View, found)
	if progress.Waiting > 0 || progress.Out > 0 {
		return
	}
	next := found.Value
	next.State = Done
	next.Instances = progress.Done
	next.Lost = progress.LostKeys
	next.EndedMillis = time.Now().UnixMilli()
	txn := platform.Txn{
		Token: platform.NewToken(), Conditions: []platform.Condition{found.Condition()}, Writes: []platform.Write{found.Write(next)},
	}
	c.commit(hold, key, txn, func() {
		c.Log.Write(event.WaveDone, event.Fields{"wave": next.ID, "instances": progress.Done, "lost": progress.Lost})
	}, func() {})
}

// commit writes under the duty; subject is the key of the row that no other transaction of this entry touches meanwhile.
func (c *Controller) commit(hold duty.Lease, subject string, txn platform.Txn, done, failed func()) {
	c.busy[subject] = true
	txn.Conditions = append(txn.Conditions, hold.Condition)
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (platform.CommitResult, error) { return c.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			delete(c.busy, subject)
			c.Refresh()
			if err != nil {
				c.refused(subject, err)
				failed()
				return
			}
			c.seen[subject] = result.Version
			done()
		})
}

func (c *Controller) refused(subject string, err error) {
	c.Log.Write(event.WaveRefused, event.Fields{"subject": subject, "reason": err.Error()})
}
