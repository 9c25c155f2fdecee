package fault

import (
	"fmt"
	"strings"
)

// The marks between which docs/API.md holds the table of errors.
const (
	PageBegin = "<!-- table of errors, written from the code -->\n"
	PageEnd   = "<!-- end of the table of errors -->\n"
)

// Table returns the table from kind to answer as Markdown.
func Table() string {
	var text strings.Builder
	text.WriteString("| kind | HTTP status | outcome | retry | exit code |\n| --- | --- | --- | --- | --- |\n")
	for _, kind := range Kinds() {
		answer := kind.Properties()
		fmt.Fprintf(&text, "| `%s` | %d | `%s` | `%s` | %d |\n", answer.Name, answer.Status, answer.Outcome, answer.Retry, answer.ExitCode)
	}
	return text.String()
}
