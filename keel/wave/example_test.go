package wave_test

import (
	"fmt"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/wave"
)

// A pool of six instances in two racks, of which two may be out at once, takes three steps; with two spares lent it
// takes two, with four instances out at once.
func ExampleNewPlan() {
	var members []instance.Record
	for i := range 6 {
		members = append(members, instance.Record{
			ID: fmt.Sprintf("w%d", i), DataCentre: "worcester", Rack: fmt.Sprintf("r%d", i/3), Pool: "quabbin/floor",
		})
	}
	pool := wave.Pool{Name: "quabbin/floor", Allowed: 2, StepTime: 10 * time.Minute, Weights: wave.Weights{Time: 60, Move: 1, Buffer: 1}}
	withoutSpares := wave.NewPlan([]wave.Pool{pool}, members, 0)
	fmt.Println(withoutSpares.RollOut, withoutSpares.LowerBound, withoutSpares.Moves)
	withSpares := wave.NewPlan([]wave.Pool{pool}, members, 2)
	fmt.Println(withSpares.RollOut, withSpares.Pools[0].Spares, withSpares.Moves)
	// Output:
	// 30m0s 30m0s 0
	// 20m0s 2 4
}
