package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/settings"
)

const (
	columnGap = 2
	noValue   = "-"
)

// show prints the value as a table, or as JSON with the option --json.
func show[T any](value T, table func(io.Writer, T)) error {
	if cli.JSON {
		return showJSON(value)
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
	table(writer, value)
	err := writer.Flush()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "print")
	}
	return nil
}

// showJSON prints the value as indented JSON.
func showJSON(value any) error {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "print")
	}
	fmt.Println(string(body))
	return nil
}

func warn(warnings []string) {
	for _, warning := range warnings {
		fmt.Fprintln(os.Stderr, "keelctl: warning:", warning)
	}
}

// printRow writes one row of a table.
func printRow(out io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(out, strings.Join(texts, "\t"))
}

func displayPath(path settings.Path) string {
	return cmp.Or(string(path), "/")
}

func effectiveTable(out io.Writer, result operator.Settings) {
	printRow(out, "KEY", "VALUE", "FROM")
	for _, source := range result.Values {
		from := displayPath(source.From)
		if source.Default {
			from = "default"
		}
		printRow(out, source.Key, string(source.Value), from)
	}
}

func nodeTable(out io.Writer, result operator.Settings) {
	printRow(out, "PATH", displayPath(result.Path))
	printRow(out, "NODE REVISION", result.Node.Revision)
	printRow(out, "TREE REVISION", result.Revision)
	for _, key := range slices.Sorted(maps.Keys(result.Node.Values)) {
		printRow(out, key, string(result.Node.Values[key]))
	}
	for _, descendant := range result.Descendants {
		printRow(out, "below", descendant)
	}
}

func acceptedTable(out io.Writer, accepted operator.ChangeResult) {
	printRow(out, "accepted as revision", accepted.Revision)
}

func dryRunTable(out io.Writer, result operator.ChangeResult) {
	differencesTable(out, result.Differences)
}

func differencesTable(out io.Writer, differences []settings.Difference) {
	printRow(out, "PATH", "KEY", "BEFORE", "AFTER")
	for _, d := range differences {
		key := cmp.Or(string(d.Key), "(node)")
		printRow(out, displayPath(d.Path), key, cmp.Or(string(d.Before), noValue), cmp.Or(string(d.After), noValue))
	}
}

func historyTable(out io.Writer, entries []settings.HistoryRecord) {
	printRow(out, "REVISION", "TIME", "AUTHOR", "PATH", "KEY", "BEFORE", "AFTER", "NOTE")
	for _, entry := range entries {
		at := time.UnixMilli(entry.UnixMillis).UTC().Format(time.RFC3339)
		for _, d := range settings.Compare(entry.Before, entry.After) {
			key := cmp.Or(string(d.Key), "(node)")
			printRow(out, entry.Revision, at, entry.Author, displayPath(d.Path), key,
				cmp.Or(string(d.Before), noValue), cmp.Or(string(d.After), noValue), entry.Note)
		}
	}
}

func statusTable(out io.Writer, status operator.Status) {
	printRow(out, "ENTRY", "DATA CENTRE", "REVISION", "HEARD")
	for _, entry := range status.Entries {
		lastHeartbeat := "never"
		if entry.HeartbeatAgeMillis >= 0 {
			lastHeartbeat = (time.Duration(entry.HeartbeatAgeMillis) * time.Millisecond).String() + " ago"
		}
		printRow(out, entry.Incarnation, entry.DataCentre, entry.Revision, lastHeartbeat)
	}
	printRow(out, "")
	printRow(out, "POOL", "STATE", "INSTANCES")
	for _, name := range slices.Sorted(maps.Keys(status.Instances)) {
		pool, state, _ := strings.Cut(name, " ")
		printRow(out, pool, state, status.Instances[name])
	}
}
