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

// DutyName is the name of the duty that keeps the inventory true.
const DutyName = "repair"

// callTimeout bounds one call of the platform.
const callTimeout = 3 * time.Second

// nextDelay is the time after a step at which the next one is looked for.
const nextDelay = 100 * time.Millisecond

// Controller keeps the inventory true while this entry holds the duty; it belongs to the control loop.
type Controller struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	View    *fleet.View
	Usage   wave.Usage
	// Interval is the time between two looks.
	Interval time.Duration
	// Refresh makes the entry read the control rows again soon.
	Refresh func()

	working bool
	// watched is the state of the list that down was last brought up to date with.
	watched uint64
	// rest is what the last decision was made from, if it found nothing to do and nothing to wait for.
	rest rest
	// seen is the version that the view must reach before the next decision.
	seen uint64
	// down holds since when the list has shown an instance as down, by key.
	down map[string]time.Time
}

// Start begins looking; it is called on the loop.
func (c *Controller) Start() {
	c.down = make(map[string]time.Time)
	c.Loop.Every(c.Interval, c.step)
}

func (c *Controller) step() {
	c.watchList()
	hold, ok := c.Session.Holds(DutyName)
	if !ok || c.working || c.View.Through() < c.seen || c.rest.holds(c.View) {
		return
	}
	surveyed := Survey(c.View, c.filler())
	step := Next(surveyed)
	if !step.Empty() {
		c.commit(hold, step)
		return
	}
	if len(c.down) == 0 && surveyed.settled() {
		c.rest = restFrom(c.View)
	}
}

// watchList notes since when instances are shown as down, on every entry, so that a new holder of the duty knows.
func (c *Controller) watchList() {
	if c.watched == c.View.List().Changes() {
		return
	}
	c.watched = c.View.List().Changes()
	for key, line := range c.View.List().All {
		_, known := c.down[key]
		switch {
		case line.Liveness != platform.Down:
			delete(c.down, key)
		case !known:
			c.down[key] = time.Now()
		}
	}
}

// filler returns what completes a member with what entries say.
func (c *Controller) filler() func(*Member) {
	blocked := make(map[string]bool)
	inUse := make(map[string]bool)
	for beat := range c.View.Words().All {
		for key, n := range beat.Busy {
			inUse[key] = inUse[key] || n > 0
		}
	}
	return func(m *Member) {
		dataCentre := m.Value.DataCentre
		_, asked := blocked[dataCentre]
		if !asked {
			blocked[dataCentre] = c.Usage.BlockedReason(dataCentre) != ""
		}
		m.Blocked = blocked[dataCentre]
		m.InUse = inUse[m.Key()]
		since, down := c.down[m.Key()]
		if down {
			m.DownAge = time.Since(since)
		}
	}
}

// Transaction returns the transaction of the step.
func Transaction(view *fleet.View, step Step) platform.Txn {
	txn := platform.Txn{Token: platform.NewToken()}
	for _, change := range step.Changes {
		key := change.Next.Key()
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: change.Before.Version()})
		txn.Writes = append(txn.Writes, rowset.Write(key, change.Next))
	}
	for _, name := range slices.Sorted(maps.Keys(step.Pools)) {
		found := pool.Find(view.Pools(), name)
		txn.Conditions = append(txn.Conditions, found.Condition())
		txn.Writes = append(txn.Writes, found.Write(step.Pools[name]))
	}
	return txn
}

func (c *Controller) commit(hold duty.Lease, step Step) {
	c.working = true
	txn := Transaction(c.View, step)
	txn.Conditions = append(txn.Conditions, hold.Condition)
	control.Call(c.Loop, callTimeout,
		func(ctx context.Context) (platform.CommitResult, error) { return c.Client.Commit(ctx, txn) },
		func(result platform.CommitResult, err error) {
			c.working = false
			c.Refresh()
			if err != nil {
				return
			}
			c.seen = result.Version
			c.report(step)
			c.Loop.After(nextDelay, c.step)
		})
}

// report logs what took effect.
func (c *Controller) report(step Step) {
	for _, change := range step.Changes {
		c.Log.Write(change.Event, change.Fields)
	}
	for _, name := range step.Repaired {
		row := step.Pools[name]
		before := pool.Find(c.View.Pools(), name).Value
		c.Log.Write(event.PoolRowRepaired, event.Fields{
			"pool": name, "members": before.Members, "counted": row.Members, "permits": len(row.Down),
		})
	}
}
