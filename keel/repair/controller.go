package repair

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/rowset"
	"samphirekeel.example/keel/wave"
)

// DutyName is the name of the duty whose holder reconciles the inventory.
const DutyName = "repair"

// callTimeout bounds one call to the platform.
const callTimeout = 3 * time.Second

// followUpDelay is the time from a committed step to the next decision.
const followUpDelay = 100 * time.Millisecond

// Controller reconciles the inventory while this entry holds the duty; its methods must be called on the control loop.
type Controller struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	View    *fleet.View
	Usage   wave.Usage
	// Interval is the time between two decisions.
	Interval time.Duration
	// Refresh triggers another read of the control rows.
	Refresh func()

	committing bool
	// listChanges is the change counter of the instance list as of the last update of downSince.
	listChanges uint64
	// cleanPass is the state of the last decision if it found nothing to do and nothing to wait for.
	cleanPass cleanPass
	// committedVersion is the version of the last commit, which the view must have reached before the next decision.
	committedVersion uint64
	// downSince holds the time at which this entry first saw an instance listed as down, by key.
	downSince map[string]time.Time
}

// Start schedules the reconciliation; it must be called on the control loop.
func (c *Controller) Start() {
	c.downSince = make(map[string]time.Time)
	c.Loop.Every(c.Interval, c.reconcile)
}

func (c *Controller) reconcile() {
	c.trackDown()
	lease, ok := c.Session.Holds(DutyName)
	if !ok || c.committing || c.View.Through() < c.committedVersion || c.cleanPass.upToDate(c.View) {
		return
	}
	snapshot := NewSnapshot(c.View, c.annotator())
	step := Decide(snapshot)
	if !step.Empty() {
		c.commit(lease, step)
		return
	}
	if len(c.downSince) == 0 && snapshot.allInService() {
		c.cleanPass = newCleanPass(c.View)
	}
}

// trackDown updates downSince. It runs on every entry, so that a new holder of the duty has the times.
func (c *Controller) trackDown() {
	if c.listChanges == c.View.InstanceList().Changes() {
		return
	}
	c.listChanges = c.View.InstanceList().Changes()
	for key, listing := range c.View.InstanceList().All {
		_, known := c.downSince[key]
		switch {
		case listing.Liveness != platform.Down:
			delete(c.downSince, key)
		case !known:
			c.downSince[key] = time.Now()
		}
	}
}

// annotator returns a function that adds the reports of entries and the time down to a member.
func (c *Controller) annotator() func(*Member) {
	blocked := make(map[string]bool)
	inUse := make(map[string]bool)
	for heartbeat := range c.View.Heartbeats().All {
		for key, n := range heartbeat.InFlight {
			inUse[key] = inUse[key] || n > 0
		}
	}
	return func(m *Member) {
		dataCentre := m.Value.DataCentre
		_, known := blocked[dataCentre]
		if !known {
			blocked[dataCentre] = c.Usage.BlockedReason(dataCentre) != ""
		}
		m.Blocked = blocked[dataCentre]
		m.InUse = inUse[m.Key()]
		since, down := c.downSince[m.Key()]
		if down {
			m.DownAge = time.Since(since)
		}
	}
}

// Transaction returns the transaction that applies the step to the rows of the view.
func Transaction(view *fleet.View, step Step) platform.Txn {
	txn := platform.Txn{Token: platform.NewToken()}
	for _, change := range step.Changes {
		key := change.Next.Key()
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: change.Before.Version()})
		txn.Writes = append(txn.Writes, rowset.Write(key, change.Next))
	}
	for _, name := range slices.Sorted(maps.Keys(step.Pools)) {
		row := pool.Find(view.Pools(), name)
		txn.Conditions = append(txn.Conditions, row.Condition())
		txn.Writes = append(txn.Writes, row.Write(step.Pools[name]))
	}
	return txn
}

func (c *Controller) commit(lease duty.Lease, step Step) {
	c.committing = true
	txn := Transaction(c.View, step)
	txn.Conditions = append(txn.Conditions, lease.Condition)
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (platform.CommitResult, error) { return c.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			c.committing = false
			c.Refresh()
			if err != nil {
				return
			}
			c.committedVersion = result.Version
			c.logStep(step)
			c.Loop.After(followUpDelay, c.reconcile)
		})
}

// logStep logs the changes and repairs of a committed step.
func (c *Controller) logStep(step Step) {
	for _, change := range step.Changes {
		c.Log.Write(change.Event, change.Fields)
	}
	for _, name := range step.Repaired {
		after := step.Pools[name]
		before := pool.Find(c.View.Pools(), name).Value
		c.Log.Write(event.PoolRowRepaired, event.Fields{
			"pool": name, "members": before.Members, "counted": after.Members, "permits": len(after.Permits),
		})
	}
}
