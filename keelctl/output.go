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
	absent    = "-"
)

// show prints the value by its table, or as JSON if that is asked for.
func show[T any](value T, table func(io.Writer, T)) error {
	if line.JSON {
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

// row prints the cells of one line of a table.
func row(out io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(out, strings.Join(texts, "\t"))
}

func pathName(path settings.Path) string {
	return cmp.Or(string(path), "/")
}

func effectiveTable(out io.Writer, result operator.Settings) {
	row(out, "KEY", "VALUE", "FROM")
	for _, source := range result.Values {
		from := pathName(source.From)
		if source.Default {
			from = "default"
		}
		row(out, source.Key, string(source.Value), from)
	}
}

func nodeTable(out io.Writer, result operator.Settings) {
	row(out, "PATH", pathName(result.Path))
	row(out, "NODE REVISION", result.Node.Revision)
	row(out, "TREE REVISION", result.Revision)
	for _, key := range slices.Sorted(maps.Keys(result.Node.Values)) {
		row(out, key, string(result.Node.Values[key]))
	}
	for _, below := range result.Below {
		row(out, "below", below)
	}
}

func acceptedTable(out io.Writer, accepted operator.Accepted) {
	row(out, "accepted as revision", accepted.Revision)
}

func dryRunTable(out io.Writer, result operator.Accepted) {
	differencesTable(out, result.Differences)
}

func differencesTable(out io.Writer, differences []settings.Difference) {
	row(out, "PATH", "KEY", "BEFORE", "AFTER")
	for _, d := range differences {
		key := cmp.Or(string(d.Key), "(node)")
		row(out, pathName(d.Path), key, cmp.Or(string(d.Before), absent), cmp.Or(string(d.After), absent))
	}
}

func historyTable(out io.Writer, entries []settings.HistoryRecord) {
	row(out, "REVISION", "TIME", "AUTHOR", "PATH", "KEY", "BEFORE", "AFTER", "NOTE")
	for _, entry := range entries {
		at := time.UnixMilli(entry.UnixMillis).UTC().Format(time.RFC3339)
		for _, d := range settings.Compare(entry.Before, entry.After) {
			key := cmp.Or(string(d.Key), "(node)")
			row(out, entry.Revision, at, entry.Author, pathName(d.Path), key,
				cmp.Or(string(d.Before), absent), cmp.Or(string(d.After), absent), entry.Note)
		}
	}
}

func statusTable(out io.Writer, status operator.Status) {
	row(out, "ENTRY", "DATA CENTRE", "REVISION", "HEARD")
	for _, entry := range status.Entries {
		heard := "never"
		if entry.AgeMillis >= 0 {
			heard = (time.Duration(entry.AgeMillis) * time.Millisecond).String() + " ago"
		}
		row(out, entry.Incarnation, entry.DataCentre, entry.Revision, heard)
	}
	row(out, "")
	row(out, "POOL", "STATE", "INSTANCES")
	for _, name := range slices.Sorted(maps.Keys(status.Instances)) {
		pool, state, _ := strings.Cut(name, " ")
		row(out, pool, state, status.Instances[name])
	}
}
