package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/settings"
)

// heartbeatTTL is how long after its last heartbeat an entry without a member row is listed.
const heartbeatTTL = 5 * time.Second

// EntryStatus is the state of one entry as the queried entry knows it.
type EntryStatus struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	// Revision is the settings revision that the entry applied by its last heartbeat, 0 if none was received.
	Revision uint64 `json:"revision"`
	// HeartbeatAgeMillis is the age of the entry's last heartbeat in milliseconds, -1 if none was received.
	HeartbeatAgeMillis int64 `json:"age_ms"`
}

// Status is the state of the fleet as the queried entry knows it.
type Status struct {
	Revision uint64 `json:"revision"`
	// Entries lists the registered entries, and others with a recent heartbeat.
	Entries []EntryStatus `json:"entries"`
	// Instances is the number of instances by "pool state", for the pools in the operator's subtree.
	Instances map[string]int `json:"instances"`
}

func (a *API) status(callCtx context.Context, op Operator) (any, error) {
	status := Status{Instances: make(map[string]int)}
	err := a.ReadView(callCtx, func(view *fleet.View) {
		status.Revision = view.Settings().Tree.Revision()
		for found := range view.Inventory().All {
			if op.Subtree.Covers(settings.Path(found.Value.Pool)) {
				status.Instances[found.Value.Pool+" "+string(found.Value.State)]++
			}
		}
		status.Entries = a.listEntries(view)
	})
	return status, err
}

// listEntries returns the registered entries and those with a recent heartbeat, sorted by incarnation; it is called on
// the control loop.
func (a *API) listEntries(view *fleet.View) []EntryStatus {
	byName := make(map[string]EntryStatus)
	for _, member := range a.Members() {
		byName[member.Incarnation] = EntryStatus{Incarnation: member.Incarnation, DataCentre: member.DataCentre, HeartbeatAgeMillis: -1}
	}
	for heartbeat, age := range view.Heartbeats().All {
		_, registered := byName[heartbeat.Incarnation]
		if registered || age < heartbeatTTL {
			byName[heartbeat.Incarnation] = EntryStatus{
				Incarnation: heartbeat.Incarnation, DataCentre: heartbeat.DataCentre,
				Revision: heartbeat.SettingsRevision, HeartbeatAgeMillis: age.Milliseconds(),
			}
		}
	}
	entries := make([]EntryStatus, 0, len(byName))
	for _, entry := range byName {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b EntryStatus) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return entries
}
