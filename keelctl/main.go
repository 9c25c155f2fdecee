// Command keelctl is the operators' command-line client: it calls the operators' API of the entries and prints the
// responses as tables or JSON.
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

// globalOptions holds the options of all commands.
type globalOptions struct {
	Entry   []string      `long:"entry" env:"KEELCTL_ENTRY" env-delim:"," default:"127.0.0.1:7101" description:"operators' address of an entry; give several, and the next is asked if one can't serve"`
	Token   string        `long:"token" env:"KEELCTL_TOKEN" description:"bearer token"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"bound on one call"`
	JSON    bool          `long:"json" description:"print JSON instead of tables"`
}

func (g *globalOptions) client() *client.Client {
	return &client.Client{Addresses: g.Entry, Token: g.Token, Timeout: g.Timeout}
}

var cli struct {
	globalOptions
	Settings  settingsCommands  `command:"settings" description:"read and edit the tree of settings"`
	Wave      waveCommands      `command:"wave" description:"run maintenance waves"`
	Instances instancesCommands `command:"instances" description:"look at the instances"`
	Status    statusCommand     `command:"status" description:"show the entries and the instances by pool and state"`
	Entries   entriesCommands   `command:"entries" description:"look after the entries themselves"`
	Job       jobCommands       `command:"job" description:"show and end jobs"`
	Check     checkCommand      `command:"check" description:"check a configuration of the platform before it is sent"`
}

func main() {
	cli.Wave.Pause.state, cli.Wave.Resume.state, cli.Wave.Abort.state = wave.Paused, wave.Running, wave.Aborted
	parser := flags.NewParser(&cli, flags.HelpFlag|flags.PassDoubleDash)
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

// exitCodesText returns the help text that lists the exit codes and the kinds of fault of each.
func exitCodesText() string {
	kinds := make(map[int][]string)
	for _, kind := range fault.Kinds() {
		code := kind.Properties().ExitCode
		kinds[code] = append(kinds[code], kind.String())
	}
	var text strings.Builder
	text.WriteString("Calls the operators' API of samphirekeel's entries. Exit codes: 0 done")
	for _, code := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&text, "; %d %s", code, strings.Join(kinds[code], ", "))
	}
	return text.String() + "."
}

func exitCode(err error) int {
	if _, ok := err.(*flags.Error); ok {
		return fault.Usage.Properties().ExitCode
	}
	switch err.(type) {
	case findingsError:
		return exitFindings
	case uncheckedError:
		return exitUnchecked
	}
	if fault.As(err).Outcome() == fault.Unknown {
		// The command may have taken effect, so the exit code is at least that of an unknown outcome, whatever the
		// kind.
		return max(fault.KindOf(err).Properties().ExitCode, fault.OutcomeUnknown.Properties().ExitCode)
	}
	return fault.KindOf(err).Properties().ExitCode
}
