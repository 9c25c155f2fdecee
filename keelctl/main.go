// Command keelctl is the operators' command line.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/wave"
	"samphirekeel.example/keelctl/client"
)

// globals holds the options that every command takes.
type globals struct {
	Entry   []string      `long:"entry" env:"KEELCTL_ENTRY" env-delim:"," default:"127.0.0.1:7101" description:"operators' address of an entry; give several, and the next is asked if one can't serve"`
	Token   string        `long:"token" env:"KEELCTL_TOKEN" description:"bearer token"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"bound on one call"`
	JSON    bool          `long:"json" description:"print JSON instead of tables"`
}

func (g *globals) client() *client.Client {
	return &client.Client{Addresses: g.Entry, Token: g.Token, Timeout: g.Timeout}
}

var line struct {
	globals
	Settings  settingsCommands  `command:"settings" description:"read and edit the tree of settings"`
	Wave      waveCommands      `command:"wave" description:"run maintenance waves"`
	Instances instancesCommands `command:"instances" description:"look at the instances"`
	Status    statusCommand     `command:"status" description:"show the entries and the instances by pool and state"`
	Entries   entriesCommands   `command:"entries" description:"look after the entries themselves"`
	Job       jobCommands       `command:"job" description:"show and end jobs"`
}

func main() {
	line.Wave.Pause.state, line.Wave.Resume.state, line.Wave.Abort.state = wave.Paused, wave.Running, wave.Aborted
	parser := flags.NewParser(&line, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = exitCodesText()
	_, err := parser.ParseArgs(os.Args[1:])
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "keelctl:", err)
	os.Exit(exitCode(err))
}

// exitCodesText lists the exit codes by the table of faults.
func exitCodesText() string {
	kinds := make(map[int][]string)
	for _, kind := range fault.Kinds() {
		code := kind.Properties().ExitCode
		kinds[code] = append(kinds[code], kind.String())
	}
	var text strings.Builder
	text.WriteString("Asks an entry of samphirekeel. Exit codes: 0 done")
	for _, code := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&text, "; %d %s", code, strings.Join(kinds[code], ", "))
	}
	return text.String() + "."
}

func exitCode(err error) int {
	if _, ok := err.(*flags.Error); ok {
		return fault.Usage.Properties().ExitCode
	}
	if fault.As(err).Outcome() == fault.Unknown {
		// The command may have taken effect, whatever kind of failure hides that.
		return max(fault.KindOf(err).Properties().ExitCode, fault.OutcomeUnknown.Properties().ExitCode)
	}
	return fault.KindOf(err).Properties().ExitCode
}
