package fleet

import (
	"github.com/cockroachdb/errors"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/pool"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/watch"
	"samphirekeel.example/keel/wave"
)

// Prefix is the key prefix of the control rows, which every entry keeps a copy of.
const Prefix = "c/"

// View is one entry's view of the fleet; it belongs to the control loop.
type View struct {
	cache      *watch.Cache
	inventory  *instance.Inventory
	pools      *pool.Directory
	settings   *settings.State
	waves      *wave.Directory
	list       *instance.List
	heartbeats *Heartbeats
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		cache:      watch.New(Prefix),
		inventory:  instance.NewInventory(),
		pools:      pool.NewDirectory(),
		settings:   settings.NewState(),
		waves:      wave.NewDirectory(),
		list:       instance.NewList(),
		heartbeats: NewHeartbeats(),
	}
}

// Cache returns the copy of the control rows.
func (v *View) Cache() *watch.Cache { return v.cache }

// Through returns the table version up to which the copy of the control rows is complete.
func (v *View) Through() uint64 { return v.cache.Through() }

// Inventory returns the instances.
func (v *View) Inventory() *instance.Inventory { return v.inventory }

// Pools returns the pools.
func (v *View) Pools() *pool.Directory { return v.pools }

// Settings returns the settings tree and the versions of its rows.
func (v *View) Settings() *settings.State { return v.settings }

// Waves returns the maintenance waves.
func (v *View) Waves() *wave.Directory { return v.waves }

// InstanceList returns the instance list.
func (v *View) InstanceList() *instance.List { return v.list }

// Heartbeats returns the newest heartbeats of the entries.
func (v *View) Heartbeats() *Heartbeats { return v.heartbeats }

// Apply applies the result of a scan of the control rows after a version, and reports whether any row changed. Rows that
// can't be decoded, for example those of a later build, keep their earlier values and are joined in the error.
func (v *View) Apply(after uint64, result platform.ScanResult) (bool, error) {
	changed := v.cache.Apply(after, result)
	if len(changed) == 0 {
		return false, nil
	}
	_, inventoryErr := v.inventory.Update(changed)
	_, poolsErr := v.pools.Update(changed)
	_, wavesErr := v.waves.Update(changed)
	next, settingsErr := v.settings.Update(changed)
	v.settings = next
	return true, errors.Join(inventoryErr, poolsErr, wavesErr, settingsErr)
}
