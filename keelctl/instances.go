package main

import (
	"fmt"
	"io"

	"samphirekeel.example/keel/repair"
)

type instancesCommands struct {
	Report instancesReportCommand `command:"report" description:"list what is odd about rows, instance list and use"`
}

type instancesReportCommand struct{}

// Execute prints the report.
func (c *instancesReportCommand) Execute([]string) error {
	var report []repair.Discrepancy
	err := cli.client().Get("/v1/instances/report", &report)
	if err != nil {
		return err
	}
	return show(report, reportTable)
}

func reportTable(out io.Writer, report []repair.Discrepancy) {
	_, _ = fmt.Fprintln(out, "POOL\tINSTANCE\tWHAT IS ODD")
	for _, discrepancy := range report {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\n", discrepancy.Pool, discrepancy.Instance, discrepancy.Text)
	}
}
