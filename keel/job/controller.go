package job

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirekeel.example/keel/control"
	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

// callTimeout limits a platform call; a call may take effect up to this long after it was made.
const callTimeout = 3 * time.Second

// Controller schedules the jobs of the pools whose duties this entry holds; it is used on the control loop only.
type Controller struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	View    *fleet.View
	Metrics *Metrics
	// Interval is the time between two scans of a pool's rows when no peer notifies this entry of changes.
	Interval time.Duration

	// schedulers has one scheduler for each pool whose duty this entry holds.
	schedulers map[string]*poolScheduler
}

// Start starts polling the pools' rows; it is called on the loop.
func (c *Controller) Start() {
	c.schedulers = make(map[string]*poolScheduler)
	c.Loop.Every(c.Interval, c.pollPools)
}

// DutyNames returns the duty names of all pools; it is called on the loop.
func (c *Controller) DutyNames() []string {
	var names []string
	for _, path := range c.View.Settings().Tree.Below("", settings.LevelPool) {
		names = append(names, DutyName(string(path)))
	}
	return names
}

func (c *Controller) pollPools() {
	held := make(map[string]bool)
	for _, path := range c.View.Settings().Tree.Below("", settings.LevelPool) {
		pool := string(path)
		s := c.scheduler(pool)
		if s != nil {
			held[pool] = true
			s.poll()
		}
	}
	for pool := range c.schedulers {
		if !held[pool] {
			delete(c.schedulers, pool)
		}
	}
	c.Metrics.setPoolsHeld(len(held))
}

// scheduler returns the scheduler of the pool, a new one in each epoch of the pool's duty, or nil if this entry doesn't
// hold the duty.
func (c *Controller) scheduler(pool string) *poolScheduler {
	lease, ok := c.Session.Holds(DutyName(pool))
	if !ok {
		return nil
	}
	s := c.schedulers[pool]
	if s == nil || s.epoch != lease.Epoch {
		s = newPoolScheduler(c, pool, lease.Epoch)
		c.schedulers[pool] = s
	}
	return s
}

// ScanPool scans the pool's rows without waiting for Interval, if this entry holds the pool's duty; it is called on the
// loop.
func (c *Controller) ScanPool(pool string) {
	s := c.scheduler(pool)
	if s != nil {
		s.requestScan()
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
