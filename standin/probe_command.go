package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/standin/probe"
)

type probeCommand struct {
	SummaryFile string        `long:"summary" description:"print the cells of a table from a file of costs instead of measuring"`
	Entries     []string      `long:"entry" description:"operators' address of an entry; repeatable"`
	Period      time.Duration `long:"for" default:"20s" description:"period to measure over"`
}

// Execute prints one line of JSON per entry, or the summary of a file of such lines.
func (c *probeCommand) Execute([]string) error {
	if c.SummaryFile != "" {
		return printSummary(c.SummaryFile)
	}
	costs, err := (&probe.Probe{Entries: c.Entries, Period: c.Period}).Run()
	if err != nil {
		return err
	}
	for _, cost := range costs {
		body, err := json.Marshal(cost)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "encode report")
		}
		fmt.Println(string(body))
	}
	return nil
}

func printSummary(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "read file of costs")
	}
	var costs []probe.Cost
	for line := range strings.Lines(string(data)) {
		var cost probe.Cost
		err = json.Unmarshal([]byte(line), &cost)
		if err != nil {
			return fault.Wrap(fault.Usage, err, "decode file of costs %s", path)
		}
		costs = append(costs, cost)
	}
	fmt.Println(probe.Summary(costs))
	return nil
}

// The generated instances.
const (
	firstPort           = 20000
	instancesPerRack    = 20
	generatedMilliCores = 32000
	generatedMemoryMB   = 64 << 10
	generatedSlots      = 8
)

type fleetCommand struct {
	Instances   int `long:"instances" default:"1000" description:"number of instances"`
	DataCentres int `long:"data-centres" default:"1" description:"number of data centres"`
}

// Execute prints a list of instances as JSON, spread evenly over data centres named dc-00, dc-01 and so on.
func (c *fleetCommand) Execute([]string) error {
	fleet := make([]platform.Listing, 0, c.Instances)
	for i := range c.Instances {
		dataCentre := fmt.Sprintf("dc-%02d", i%c.DataCentres)
		number := i / c.DataCentres
		fleet = append(fleet, platform.Listing{
			ID: fmt.Sprintf("%s-%05d", dataCentre, number), DataCentre: dataCentre,
			Rack:    fmt.Sprintf("%s-r%03d", dataCentre, number/instancesPerRack),
			Address: fmt.Sprintf("127.0.0.1:%d", firstPort+i),
			Size:    platform.Size{MilliCores: generatedMilliCores, MemoryMB: generatedMemoryMB, Accelerators: int64(number % 2)},
			Slots:   generatedSlots, Connections: generatedSlots * generatedSlots,
		})
	}
	body, err := json.Marshal(fleet)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode fleet")
	}
	fmt.Println(string(body))
	return nil
}
