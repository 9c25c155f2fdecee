package main

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

type waveCommands struct {
	Start  waveStartCommand `command:"start" description:"start a wave over pools"`
	List   waveListCommand  `command:"list" description:"show the waves"`
	Show   waveShowCommand  `command:"show" description:"show how far a wave has come and why its instances wait"`
	Pause  waveStateCommand `command:"pause" description:"let no further instance leave"`
	Resume waveStateCommand `command:"resume" description:"go on with a paused wave"`
	Abort  waveStateCommand `command:"abort" description:"end a wave and put back what has not been rebooted yet"`
	Plan   wavePlanCommand  `command:"plan" description:"plan a wave from files, touching nothing"`
}

type waveStartCommand struct {
	ID   string        `long:"id" required:"true" description:"name of the wave"`
	Wait time.Duration `long:"wait" description:"wait until the wave is done, at most this long"`
	Args struct {
		Pools []string `positional-arg-name:"partner/pool" required:"1"`
	} `positional-args:"yes"`
}

// Execute starts the wave and, with --wait, waits until it is done.
func (c *waveStartCommand) Execute([]string) error {
	var record wave.Record
	err := cli.client().Post("/v1/waves", operator.StartWave{ID: c.ID, Pools: c.Args.Pools}, &record)
	if err != nil || c.Wait <= 0 {
		return err
	}
	deadline := time.Now().Add(c.Wait)
	for time.Now().Before(deadline) {
		found, err := findWave(c.ID)
		if err != nil {
			return err
		}
		if found.State == wave.Done {
			return showJSON(found)
		}
		time.Sleep(waitPollInterval)
	}
	return fault.New(fault.NotReady, "wave %s is not done after %s", c.ID, c.Wait)
}

func findWave(id string) (wave.Record, error) {
	var waves []wave.Record
	err := cli.client().Get("/v1/waves", &waves)
	for _, found := range waves {
		if found.ID == id {
			return found, nil
		}
	}
	return wave.Record{}, err
}

type waveListCommand struct{}

// Execute prints the waves.
func (c *waveListCommand) Execute([]string) error {
	var waves []wave.Record
	err := cli.client().Get("/v1/waves", &waves)
	if err != nil {
		return err
	}
	return showJSON(waves)
}

type wavePlanCommand struct {
	Inventory string `long:"inventory" required:"true" description:"JSON file that lists the instances with their pools"`
	Settings  string `long:"settings" required:"true" description:"JSON file with the settings, as for settings apply"`
	Args      struct {
		Pools []string `positional-arg-name:"partner/pool"`
	} `positional-args:"yes"`
}

// Execute prints the plan of a wave over the pools, or over all pools.
func (c *wavePlanCommand) Execute([]string) error {
	input := wave.Input{Names: c.Args.Pools}
	var change settings.Change
	err := readFile(c.Inventory, &input.Members)
	if err == nil {
		err = readFile(c.Settings, &change)
	}
	if err != nil {
		return err
	}
	input.Tree, err = settings.NewTree(0, nil).Apply(change)
	if err != nil {
		return err
	}
	err = input.Check()
	if err != nil {
		return err
	}
	plan := input.Plan()
	if cli.JSON {
		return showJSON(plan)
	}
	printPlan(plan)
	return nil
}

func printPlan(plan wave.Plan) {
	for _, pool := range plan.Pools {
		fmt.Printf("%s: %d instances, %d at once, %d spares allocated, %d steps, %s\n",
			pool.Name, pool.Instances, pool.MaxConcurrent, pool.Spares, pool.Steps, pool.RollOut)
	}
	fmt.Printf("roll-out time %s, lower bound without spares %s, %d moves, %.2f instance-hours of buffer, cost %.2f\n",
		plan.RollOut, plan.LowerBound, plan.Moves, plan.BufferHours, plan.Cost)
}

// readFile reads a JSON file.
func readFile(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "file %s", path)
	}
	err = json.Unmarshal(data, out)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "file %s", path)
	}
	return nil
}

type waveShowCommand struct {
	Args struct {
		ID string `positional-arg-name:"id" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the progress of the wave and why its instances wait.
func (c *waveShowCommand) Execute([]string) error {
	var progress wave.Progress
	err := cli.client().Get("/v1/waves?id="+url.QueryEscape(c.Args.ID), &progress)
	if err != nil {
		return err
	}
	return showJSON(progress)
}

// waveStateCommand changes the state of a wave.
type waveStateCommand struct {
	state wave.State
	Args  struct {
		ID string `positional-arg-name:"id" required:"yes"`
	} `positional-args:"yes"`
}

// Execute changes the state of the wave.
func (c *waveStateCommand) Execute([]string) error {
	var response operator.ChangeWaveState
	err := cli.client().Post("/v1/waves/state", operator.ChangeWaveState{ID: c.Args.ID, State: c.state}, &response)
	if err != nil {
		return err
	}
	return showJSON(response)
}
