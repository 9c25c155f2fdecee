// Command standin serves a fake platform and fake endpoints, sends load through entries and measures them, for tests
// and the demo.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"samphirekeel.example/keel/fault"
)

// commands lists the sub-commands.
type commands struct {
	Platform  platformCommand  `command:"platform" description:"serve the platform's table, objects, list and tasks"`
	Endpoints endpointsCommand `command:"endpoints" description:"serve the endpoints of a fleet"`
	Probe     probeCommand     `command:"probe" description:"measure what control costs entries over a period"`
	Fleet     fleetCommand     `command:"fleet" description:"print a fleet of a given size"`
	Pace      paceCommand      `command:"pace" description:"send requests at a fixed rate and report times and goodput"`
	Load      loadCommand      `command:"load" description:"send tickets through entries and account for each"`
}

func main() {
	var cmds commands
	parser := flags.NewParser(&cmds, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(os.Args[1:])
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(fault.KindOf(err).Properties().ExitCode)
}
