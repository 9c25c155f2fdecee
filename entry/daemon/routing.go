package daemon

import (
	"strings"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/route"
	"samphirekeel.example/keel/settings"
)

const (
	routeInterval = 500 * time.Millisecond
	// reachableAge is the maximum age of a heartbeat that shows that its data centre is reachable.
	reachableAge = 2 * time.Second
	// leavingReportAge is the maximum age of a peer's report that an instance is leaving.
	leavingReportAge = 10 * time.Minute
)

// refreshRoutes gives the router the state of peers, the instance list and the draining instances of the settings.
func (d *Daemon) refreshRoutes() {
	state := route.ClusterState{
		Entries:  map[string]int64{d.Config.DataCentre: 1},
		InFlight: make(map[string]int64),
	}
	reported := make(map[string]bool)
	for heartbeat, age := range d.view.Heartbeats().All {
		if heartbeat.Incarnation == d.session.Self.Incarnation || age > leavingReportAge {
			continue
		}
		for _, key := range heartbeat.Leaving {
			reported[key] = true
		}
		if age > reachableAge {
			continue
		}
		state.Entries[heartbeat.DataCentre]++
		for key, n := range heartbeat.InFlight {
			state.InFlight[key] += n
		}
	}
	drained := drainedBySettings(d.view.Settings().Tree)
	state.LeavingReason = func(key string) string {
		listing, listed := d.view.InstanceList().Get(key)
		switch {
		case listed && listing.Liveness != platform.Live:
			return route.LeavingList
		case drained[key[strings.LastIndexByte(key, '/')+1:]]:
			return route.LeavingSettings
		case reported[key]:
			return route.LeavingPeer
		}
		return ""
	}
	d.router.Refresh(state, d.view.Inventory())
}

// drainedBySettings returns the identifiers of the instances that are listed as draining in the settings of any pool.
func drainedBySettings(tree *settings.Tree) map[string]bool {
	drained := make(map[string]bool)
	for _, path := range tree.Below("", settings.LevelPool) {
		for _, id := range strings.Split(tree.String(path, settings.Draining), ",") {
			drained[strings.TrimSpace(id)] = true
		}
	}
	return drained
}

// instanceKeys returns the keys of the instance rows among the rows.
func instanceKeys(rows []platform.Row) []string {
	var keys []string
	for _, row := range rows {
		if strings.HasPrefix(row.Key, instance.Prefix) {
			keys = append(keys, row.Key)
		}
	}
	return keys
}
