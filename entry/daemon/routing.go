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
	// freshWord is the age up to which a heartbeat shows that its data centre can be reached.
	freshWord = 2 * time.Second
	// leavingWord is the age up to which a peer's word that an instance is leaving holds.
	leavingWord = 10 * time.Minute
)

// refreshRoutes tells routing what peers, instance list and settings say.
func (d *Daemon) refreshRoutes() {
	word := route.ClusterState{
		Entries:  map[string]int64{d.Config.DataCentre: 1},
		InFlight: make(map[string]int64),
	}
	told := make(map[string]bool)
	for beat, age := range d.view.Heartbeats().All {
		if beat.Incarnation == d.session.Self.Incarnation || age > leavingWord {
			continue
		}
		for _, key := range beat.Leaving {
			told[key] = true
		}
		if age > freshWord {
			continue
		}
		word.Entries[beat.DataCentre]++
		for key, n := range beat.InFlight {
			word.InFlight[key] += n
		}
	}
	drained := drainedBySettings(d.view.Settings().Tree)
	word.LeavingReason = func(key string) string {
		line, listed := d.view.List().Get(key)
		switch {
		case listed && line.Liveness != platform.Live:
			return route.LeavingList
		case drained[key[strings.LastIndexByte(key, '/')+1:]]:
			return route.LeavingSettings
		case told[key]:
			return route.LeavingPeer
		}
		return ""
	}
	d.router.Refresh(word, d.view.Inventory())
}

// drainedBySettings returns the identifiers of the instances that some pool's settings drain.
func drainedBySettings(tree *settings.Tree) map[string]bool {
	drained := make(map[string]bool)
	for _, path := range tree.Below("", settings.LevelPool) {
		for _, id := range strings.Split(tree.String(path, settings.Draining), ",") {
			drained[strings.TrimSpace(id)] = true
		}
	}
	return drained
}

// instanceKeys returns the keys of the rows of instances.
func instanceKeys(rows []platform.Row) []string {
	var keys []string
	for _, row := range rows {
		if strings.HasPrefix(row.Key, instance.Prefix) {
			keys = append(keys, row.Key)
		}
	}
	return keys
}
