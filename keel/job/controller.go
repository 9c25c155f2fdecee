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

// callTimeout bounds one call of the platform; a call may take effect this much after it was made.
const callTimeout = 3 * time.Second

// Controller places the jobs of the pools whose duties this entry holds; it belongs to the control loop.
type Controller struct {
	Client  *platform.Client
	Loop    *control.Loop
	Log     *event.Log
	Session *duty.Session
	View    *fleet.View
	Metrics *Metrics
	// Interval is the time between two looks at a pool's rows if no peer tells of news.
	Interval time.Duration

	shards map[string]*shard
}

// Start begins looking; it is called on the loop.
func (c *Controller) Start() {
	c.shards = make(map[string]*shard)
	c.Loop.Every(c.Interval, c.step)
}

// DutyNames returns the name of the duty of each pool; it is called on the loop.
func (c *Controller) DutyNames() []string {
	var names []string
	for _, path := range c.View.Settings().Tree.Below("", settings.LevelPool) {
		names = append(names, DutyName(string(path)))
	}
	return names
}

func (c *Controller) step() {
	held := make(map[string]bool)
	for _, path := range c.View.Settings().Tree.Below("", settings.LevelPool) {
		pool := string(path)
		s := c.shard(pool)
		if s != nil {
			held[pool] = true
			s.step()
		}
	}
	for pool := range c.shards {
		if !held[pool] {
			delete(c.shards, pool)
		}
	}
	c.Metrics.setHeld(len(held))
}

// shard returns the state of a pool whose duty this entry holds, and nil for another pool.
func (c *Controller) shard(pool string) *shard {
	hold, ok := c.Session.Holds(DutyName(pool))
	if !ok {
		return nil
	}
	s := c.shards[pool]
	if s == nil || s.epoch != hold.Epoch {
		s = newShard(c, pool, hold.Epoch)
		c.shards[pool] = s
	}
	return s
}

// ScanPool makes this entry read the pool's rows at once if it holds the pool's duty; it is called on the loop.
func (c *Controller) ScanPool(pool string) {
	s := c.shard(pool)
	if s != nil {
		s.scanAgain()
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
