package main

import (
	"fmt"
	"io"
	"os"

	"samphirekeel.example/keel/configcheck"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keelctl/client"
	"samphirekeel.example/platform"
)

// inForcePath is the path at which an entry on the platform serves the summary of the configuration that it applies.
const inForcePath = "/config"

type checkCommand struct {
	RowBytes int    `long:"row-bytes" value-name:"N" description:"maximum size of a row of the store, as the deployment's settings say"`
	Strict   bool   `long:"strict" description:"end with 1 also if there are only warnings"`
	Against  string `long:"against" value-name:"FILE" description:"compare with the version in a file"`
	InForce  string `long:"in-force" value-name:"ADDRESS" description:"compare with the version in force, from an entry's metrics address"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"the configuration to check; standard input without it"`
	} `positional-args:"yes"`
}

// report is what the command prints.
type report struct {
	Version  uint64                `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	// Compared is the version that the changes are from, 0 without a comparison.
	Compared uint64               `json:"compared_with,omitempty"`
	Changes  []configcheck.Change `json:"changes,omitempty"`
}

// Execute checks the configuration. It fails with findingsError if there are errors in it, or warnings with --strict, and with
// uncheckedError if it couldn't be checked.
func (c *checkCommand) Execute([]string) error {
	value, err := c.read()
	if err != nil {
		return uncheckedError{err}
	}
	before, err := c.inForce()
	if err != nil {
		return uncheckedError{err}
	}
	out := report{Compared: before.Version}
	config, findings := platform.CheckConfig(value, configcheck.Bounds{RowBytes: c.RowBytes, Compared: before.Version})
	out.Findings = findings
	if config != nil {
		out.Version = config.Version
		if before.Entries != nil {
			out.Changes = configcheck.Compare(before, configcheck.Summarise(config))
		}
	}
	err = show(out, checkTable)
	if err != nil {
		return uncheckedError{err}
	}
	if configcheck.HasErrors(findings) || c.Strict && len(findings) > 0 {
		return findingsError(len(findings))
	}
	return nil
}

// findingsError is the number of findings of a check, which ends with exitFindings.
type findingsError int

// uncheckedError is why a configuration couldn't be checked, which ends with exitUnchecked.
type uncheckedError struct{ error }

// The exit codes of a check are those of linters.
const (
	exitFindings  = 1
	exitUnchecked = 2
)

// Error returns the number of findings in words.
func (e findingsError) Error() string { return fmt.Sprintf("%d findings", int(e)) }

func (c *checkCommand) read() ([]byte, error) {
	if c.Args.File == "" || c.Args.File == "-" {
		value, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fault.Wrap(fault.Usage, err, "read standard input")
		}
		return value, nil
	}
	return readConfig(c.Args.File)
}

func readConfig(name string) ([]byte, error) {
	value, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err, "read configuration")
	}
	return value, nil
}

// inForce returns the summary of the version to compare with, empty without one.
func (c *checkCommand) inForce() (configcheck.Summary, error) {
	var before configcheck.Summary
	switch {
	case c.Against != "" && c.InForce != "":
		return before, fault.New(fault.Usage, "--against and --in-force exclude each other")
	case c.InForce != "":
		entry := &client.Client{Addresses: []string{c.InForce}, Timeout: cli.Timeout}
		err := entry.Get(inForcePath, &before)
		return before, err
	case c.Against != "":
		value, err := readConfig(c.Against)
		if err != nil {
			return before, err
		}
		config, findings := platform.CheckConfig(value, configcheck.Bounds{})
		if config == nil {
			return before, fault.New(fault.Usage, "%s: %s", c.Against, findings[0].Text)
		}
		return configcheck.Summarise(config), nil
	}
	return before, nil
}

func checkTable(w io.Writer, r report) {
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s; %s\n", f.Severity, f.Name, f.Place, f.Text, f.Remedy)
	}
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(w, "change\t\t\t%s\n", c)
	}
	_, _ = fmt.Fprintf(w, "%d findings, %d changes\n", len(r.Findings), len(r.Changes))
}
