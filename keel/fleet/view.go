package fleet

import (
	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/watch"
	"samphirekeel.example/keel/wave"
)

// Prefix is the prefix of the control rows that every entry keeps a copy of.
const Prefix = "c/"

// View is the fleet as one entry knows it; it belongs to the control loop.
type View struct {
	cache     *watch.Cache
	inventory *instance.Inventory
	pools     *pool.Directory
	settings  *settings.State
	waves     *wave.Directory
	list      *instance.List
	words     *Heartbeats
}

// NewView returns a view that knows nothing yet.
func NewView() *View {
	return &View{
		cache:     watch.New(Prefix),
		inventory: instance.NewInventory(),
		pools:     pool.NewDirectory(),
		settings:  settings.NewState(),
		waves:     wave.NewDirectory(),
		list:      instance.NewList(),
		words:     NewHeartbeats(),
	}
}

// Cache returns the copy of the control rows.
func (v *View) Cache() *watch.Cache { return v.cache }

// Through returns the version of the table up to which the rows are known.
func (v *View) Through() uint64 { return v.cache.Through() }

// Inventory returns the instances.
func (v *View) Inventory() *instance.Inventory { return v.inventory }

// Pools returns the pools.
func (v *View) Pools() *pool.Directory { return v.pools }

// Settings returns the tree of settings and the versions of its rows.
func (v *View) Settings() *settings.State { return v.settings }

// Waves returns the maintenance waves.
func (v *View) Waves() *wave.Directory { return v.waves }

// List returns the instance list.
func (v *View) List() *instance.List { return v.list }

// Heartbeats returns what the peers last said.
func (v *View) Heartbeats() *Heartbeats { return v.words }

// Apply takes in the answer to a scan of the control rows after a version, and reports whether it brought news.
func (v *View) Apply(after uint64, result platform.ScanResult) (bool, error) {
	news := v.cache.Apply(after, result)
	if len(news) == 0 {
		return false, nil
	}
	_, err := v.inventory.Update(news)
	if err != nil {
		return true, err
	}
	_, err = v.pools.Update(news)
	if err != nil {
		return true, err
	}
	_, err = v.waves.Update(news)
	if err != nil {
		return true, err
	}
	v.settings, err = v.settings.Update(news)
	return true, err
}
