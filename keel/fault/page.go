package fault

import (
	"fmt"
	"strings"
)

// The comments in docs/API.md that enclose the table of errors.
const (
	PageBegin = "<!-- table of errors, written from the code -->\n"
	PageEnd   = "<!-- end of the table of errors -->\n"
)

// Table returns the table of error kinds and their properties as Markdown.
func Table() string {
	var text strings.Builder
	text.WriteString("| kind | HTTP status | outcome | retry | exit code |\n| --- | --- | --- | --- | --- |\n")
	for _, kind := range Kinds() {
		p := kind.Properties()
		fmt.Fprintf(&text, "| `%s` | %d | `%s` | `%s` | %d |\n", p.Name, p.Status, p.Outcome, p.Retry, p.ExitCode)
	}
	return text.String()
}
