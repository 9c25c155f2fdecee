package wave

import (
	"time"

	"samphirekeel.example/keel/instance"
)

// New returns the record of a running wave over the pools, with the number of spares that its plan lends to each.
func New(id, author string, pools []string, view View, now time.Time) Record {
	input := Input{Tree: view.Settings().Tree, Names: pools}
	for row := range view.Inventory().All {
		input.Members = append(input.Members, row.Value)
	}
	plan := input.Plan()
	record := Record{
		ID: id, Author: author, Pools: pools, State: Running, Spares: plan.Spares, StartedMillis: now.UnixMilli(),
	}
	for _, poolPlan := range plan.Pools {
		record.Instances += poolPlan.Instances
	}
	return record
}

// CountInstances returns the number of instances that a wave over the pools would maintain now.
func CountInstances(pools []string, inventory *instance.Inventory) int {
	count := 0
	record := Record{Pools: pools}
	for row := range inventory.All {
		if record.Covers(row.Value.Pool) {
			count++
		}
	}
	return count
}
