package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/settings"
)

// speaksFor is how long an entry without a member row counts after its last heartbeat.
const speaksFor = 5 * time.Second

// EntryStatus is what is known of one entry.
type EntryStatus struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	// Revision is the revision in force by the entry's last word, 0 if it was never heard.
	Revision uint64 `json:"revision"`
	// AgeMillis is the age of the entry's last word in milliseconds, -1 if it was never heard.
	AgeMillis int64 `json:"age_ms"`
}

// Status is what an entry knows of the fleet.
type Status struct {
	Revision uint64 `json:"revision"`
	// Entries holds every registered entry, and every other that still speaks.
	Entries []EntryStatus `json:"entries"`
	// Instances counts the instances by pool and state; an operator sees the pools of the own subtree.
	Instances map[string]int `json:"instances"`
}

func (a *API) status(callCtx context.Context, who Operator) (any, error) {
	status := Status{Instances: make(map[string]int)}
	err := a.Read(callCtx, func(view *fleet.View) {
		status.Revision = view.Settings().Tree.Revision()
		for found := range view.Inventory().All {
			if who.Subtree.Covers(settings.Path(found.Value.Pool)) {
				status.Instances[found.Value.Pool+" "+string(found.Value.State)]++
			}
		}
		status.Entries = a.entries(view)
	})
	return status, err
}

// entries returns the registered entries and those that still speak, in order; it is called on the control loop.
func (a *API) entries(view *fleet.View) []EntryStatus {
	byName := make(map[string]EntryStatus)
	for _, member := range a.Members() {
		byName[member.Incarnation] = EntryStatus{Incarnation: member.Incarnation, DataCentre: member.DataCentre, AgeMillis: -1}
	}
	for beat, age := range view.Heartbeats().All {
		_, registered := byName[beat.Incarnation]
		if registered || age < speaksFor {
			byName[beat.Incarnation] = EntryStatus{
				Incarnation: beat.Incarnation, DataCentre: beat.DataCentre,
				Revision: beat.SettingsRevision, AgeMillis: age.Milliseconds(),
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
