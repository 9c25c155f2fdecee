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

// callTimeout bounds one call to the platform.
const callTimeout = 3 * time.Second

// maxChanges is the largest number of instances changed in one transaction.
const maxChanges = 100

// reselectDelay is the time for which an instance whose removal was cancelled isn't selected again.
const reselectDelay = time.Minute

// Usage holds the functions that report what entries and workers know about the use of an instance.
type Usage struct {
	// BusyReason returns why the instance may still have requests in flight, empty if it has none.
	BusyReason func(row instance.Versioned) string
	// BlockedReason returns why no instance of the data centre may start leaving, empty if instances may.
	BlockedReason func(dataCentre string) string
	// IdleConditions reads which of the instances with the keys run no task, with the transaction conditions that
	// make a commit fail if that has changed.
	IdleConditions func(ctx context.Context, keys []string) (map[string][]platform.Condition, error)
}

// Controller runs the waves while this entry holds the duty; its methods must be called on the control loop.
type Controller struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	View    View
	Usage   Usage
	// Interval is the time between two reconciliations.
	Interval time.Duration
	// Refresh triggers another read of the control rows.
	Refresh func()

	epoch uint64
	// local holds the local state by the key of the instance's row.
	local map[string]*localState
	// inFlight holds the keys of the rows with a transaction in flight.
	inFlight map[string]bool
	// committedVersion holds, by the key of a row, the version of the last commit, which the view must have reached
	// before the next decision about that row.
	committedVersion map[string]uint64
	// loggedWaits holds the pools and wait reasons that were logged already.
	loggedWaits map[string]bool
}

// localState is what this entry has observed and requested for one instance that is out of service; it isn't stored.
type localState struct {
	state      instance.State
	stateSince time.Time
	// noPriorRequest is set if this entry drained the instance itself, so that no earlier holder of the duty can have
	// requested its reboot.
	noPriorRequest     bool
	rebootRequested    bool
	acceptedAt         time.Time
	seenDown           bool
	requestInFlight    bool
	removalCancelledAt time.Time
	idleConditions     []platform.Condition
	readingIdle        bool
}

// Start schedules the reconciliation of the waves; it must be called on the control loop.
func (c *Controller) Start() {
	c.resetLocalState()
	c.Loop.Every(c.Interval, c.reconcile)
}

// resetLocalState drops the state of an earlier epoch of the duty.
func (c *Controller) resetLocalState() {
	c.local = make(map[string]*localState)
	c.inFlight = make(map[string]bool)
	c.committedVersion = make(map[string]uint64)
	c.loggedWaits = make(map[string]bool)
}

func (c *Controller) reconcile() {
	lease, ok := c.Session.Holds(DutyName)
	if !ok {
		return
	}
	if lease.Epoch != c.epoch {
		c.resetLocalState()
		c.epoch = lease.Epoch
	}
	for _, s := range Snapshots(c.View, c.annotate) {
		c.reconcilePool(lease, s)
	}
	for row := range c.View.Waves().All {
		c.finishWave(lease, row)
	}
}

// annotate adds this entry's local state and the reports of other entries to a member.
func (c *Controller) annotate(member *Member) {
	key := member.Key()
	local := c.local[key]
	if local == nil && member.Value.State == instance.InService {
		member.Blocked = c.Usage.BlockedReason(member.Value.DataCentre)
		return
	}
	if local == nil {
		local = &localState{}
		c.local[key] = local
	}
	if local.state != member.Value.State {
		*local = localState{state: member.Value.State, stateSince: time.Now(),
			noPriorRequest: local.noPriorRequest && local.state == instance.Leaving, removalCancelledAt: local.removalCancelledAt}
	}
	member.StateAge = time.Since(local.stateSince)
	member.RebootRequested = local.rebootRequested || !local.noPriorRequest
	member.RebootAccepted = !local.acceptedAt.IsZero()
	local.seenDown = local.seenDown || member.RebootAccepted && member.Listing.Liveness == platform.Down
	member.SeenDown = local.seenDown
	member.RebootAcceptedAge = time.Since(local.acceptedAt)
	switch member.Value.State {
	case instance.InService:
		c.annotateInService(member, local)
	case instance.Leaving:
		c.annotateLeaving(member, local)
	}
}

// annotateInService sets Blocked for an instance in service whose removal was cancelled less than reselectDelay ago.
func (c *Controller) annotateInService(member *Member, local *localState) {
	member.Blocked = c.Usage.BlockedReason(member.Value.DataCentre)
	if time.Since(local.removalCancelledAt) >= reselectDelay {
		delete(c.local, member.Key())
		return
	}
	if member.Blocked == "" {
		member.Blocked = "removal was cancelled less than a minute ago"
	}
}

// annotateLeaving sets Busy until the instance has neither requests nor tasks.
func (c *Controller) annotateLeaving(member *Member, local *localState) {
	member.Busy = c.Usage.BusyReason(member.Versioned)
	member.IdleConditions = local.idleConditions
	if member.Busy == "" && local.idleConditions == nil {
		member.Busy = "tasks run on it, or their rows are being read"
	}
}

func (c *Controller) reconcilePool(lease duty.Lease, s Snapshot) {
	key := s.Pool.Key()
	if c.inFlight[key] || c.View.Through() < c.committedVersion[key] {
		return
	}
	c.readIdle(s)
	decision := Decide(s)
	c.logWaits(s.Pool.Value.Name, decision.Waits)
	for _, member := range decision.Reboots {
		c.reboot(lease, s, member)
	}
	if len(decision.Changes) > 0 {
		c.commitChanges(lease, s, decision)
	}
}

// readIdle reads, in one call for the pool, which of its leaving instances run no task.
func (c *Controller) readIdle(s Snapshot) {
	var keys []string
	for _, member := range s.Members {
		local := c.local[member.Key()]
		if member.Value.State != instance.Leaving || local.idleConditions != nil || local.readingIdle ||
			c.Usage.BusyReason(member.Versioned) != "" {
			continue
		}
		local.readingIdle = true
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
				local := c.local[key]
				if local == nil {
					continue
				}
				local.readingIdle = false
				local.idleConditions = idle[key]
			}
		})
}

// logWaits logs each reason for which instances of the pool wait, once.
func (c *Controller) logWaits(poolName string, waits []Wait) {
	for _, wait := range waits {
		id := poolName + " " + wait.Reason
		if !c.loggedWaits[id] {
			c.loggedWaits[id] = true
			c.Log.Write(event.WaveWaiting, event.Fields{"pool": poolName, "reason": wait.Reason, "instances": wait.Instances})
		}
	}
}

// reboot requests the reboot of a drained instance from the platform.
func (c *Controller) reboot(lease duty.Lease, s Snapshot, member Member) {
	key := member.Key()
	local := c.local[key]
	if local.requestInFlight {
		return
	}
	local.requestInFlight, local.rebootRequested = true, true
	waveID := s.Pool.Value.Permits[key].RequestedBy
	request := platform.InstanceRequest{
		// The token depends only on the instance, wave and boot, so a later holder's retry has the same token.
		Fence:    lease.Fence(fmt.Sprintf("%s/%s/%d", waveID, key, member.Value.Boot)),
		Instance: member.Value.ID,
	}
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (platform.Empty, error) {
			// The process may have been paused since the decision.
			if !time.Now().Before(lease.Until) {
				return platform.Empty{}, fault.New(fault.Conflict, "the duty's lease may have expired; reboot not requested")
			}
			return platform.Empty{}, c.Client.Reboot(ctx, request)
		},
		func(_ platform.Empty, err error) {
			local.requestInFlight = false
			if err != nil {
				c.logFailure("reboot of "+key, err)
				return
			}
			local.acceptedAt = time.Now()
			c.Log.Write(event.WaveInstanceRebooted, event.Fields{"wave": waveID, "instance": key})
		})
}

// commitChanges commits the decision in one transaction; changes beyond maxChanges are left to the next decision.
func (c *Controller) commitChanges(lease duty.Lease, s Snapshot, decision Decision) {
	changes, txn := Transaction(s, decision)
	c.commit(lease, s.Pool.Key(), txn, func() {
		for _, change := range changes {
			c.recordChange(s.Pool.Value.Name, change)
		}
	}, func() {
		for _, change := range changes {
			// The commit may have failed because a task was placed on the instance: read its tasks again.
			if local := c.local[change.Member.Key()]; local != nil {
				local.idleConditions = nil
			}
		}
	})
}

// Transaction returns the changes of the decision that fit into one transaction, and the transaction.
func Transaction(s Snapshot, decision Decision) ([]Change, platform.Txn) {
	changes, record := limitChanges(s.Pool.Value, decision)
	txn := platform.Txn{Token: platform.NewToken(), Conditions: []platform.Condition{s.Pool.Condition()}}
	for _, change := range changes {
		txn.Conditions = append(txn.Conditions, change.Member.Condition())
		if change.Action == Drain {
			txn.Conditions = append(txn.Conditions, change.Member.IdleConditions...)
		}
		txn.Writes = append(txn.Writes, change.Member.Write(change.Next))
	}
	txn.Writes = append(txn.Writes, s.Pool.Write(record))
	return changes, txn
}

// limitChanges returns at most maxChanges changes of the decision and the pool's row after them.
func limitChanges(before pool.Record, decision Decision) ([]Change, pool.Record) {
	if len(decision.Changes) <= maxChanges {
		return decision.Changes, decision.Pool
	}
	changes := decision.Changes[:maxChanges]
	record := before
	for _, change := range changes {
		key := change.Member.Key()
		permit, permitted := decision.Pool.Permits[key]
		record = record.Release(key)
		if permitted {
			record = record.WithPermit(permit)
		}
	}
	return changes, record
}

// recordChange logs a committed change and updates the local state.
func (c *Controller) recordChange(poolName string, change Change) {
	key := change.Member.Key()
	fields := event.Fields{"pool": poolName, "instance": key}
	switch change.Action {
	case Leave:
		fields["reason"] = "wave " + change.Wave
		c.Log.Write(event.PoolPermitGranted, fields)
		c.local[key] = &localState{state: instance.InService, noPriorRequest: true}
	case CancelRemoval:
		fields["reason"] = change.Reason
		c.Log.Write(event.PoolInstancePutBack, fields)
		c.local[key] = &localState{state: change.Member.Value.State, removalCancelledAt: time.Now()}
	case Drain:
		c.Log.Write(event.PoolInstanceDrained, fields)
		c.local[key].noPriorRequest = true
	case Return:
		delete(c.local, key)
		c.Log.Write(event.WaveInstanceReturned, event.Fields{"wave": change.Wave, "instance": key, "boot": change.Next.Boot})
	case MarkFailed:
		delete(c.local, key)
		c.Log.Write(event.WaveInstanceLost, event.Fields{"wave": change.Wave, "instance": key})
	}
}

// finishWave marks a running wave as done once each of its instances is maintained or failed.
func (c *Controller) finishWave(lease duty.Lease, row Versioned) {
	key := row.Key()
	if row.Value.State != Running || c.inFlight[key] || c.View.Through() < c.committedVersion[key] {
		return
	}
	progress := NewProgress(c.View, row)
	if progress.Waiting > 0 || progress.Out > 0 {
		return
	}
	next := row.Value
	next.State = Done
	next.Instances = progress.Done
	next.Lost = progress.LostKeys
	next.EndedMillis = time.Now().UnixMilli()
	txn := platform.Txn{
		Token: platform.NewToken(), Conditions: []platform.Condition{row.Condition()}, Writes: []platform.Write{row.Write(next)},
	}
	c.commit(lease, key, txn, func() {
		c.Log.Write(event.WaveDone, event.Fields{"wave": next.ID, "instances": progress.Done, "lost": progress.Lost})
	}, func() {})
}

// commit runs the transaction on condition that this entry still holds the duty. This entry starts no other transaction
// for the row with the key before the view contains this one.
func (c *Controller) commit(lease duty.Lease, rowKey string, txn platform.Txn, onCommitted, onError func()) {
	c.inFlight[rowKey] = true
	txn.Conditions = append(txn.Conditions, lease.Condition)
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (platform.CommitResult, error) { return c.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			delete(c.inFlight, rowKey)
			c.Refresh()
			if err != nil {
				c.logFailure(rowKey, err)
				onError()
				return
			}
			c.committedVersion[rowKey] = result.Version
			onCommitted()
		})
}

// logFailure logs that a commit or a request for a reboot failed; the next reconciliation decides again.
func (c *Controller) logFailure(subject string, err error) {
	c.Log.Write(event.WaveRefused, event.Fields{"subject": subject, "reason": err.Error()})
}
