package settings

import (
	"fmt"
	"strings"
)

// Page returns docs/SETTINGS.md.
func Page() string {
	var text strings.Builder
	text.WriteString("# Settings\n\n")
	text.WriteString("The tree has four levels: the root, partners, pools and services. A node inherits every value that it doesn't\n")
	text.WriteString("set from the level above. The lowest level is the last that may set the key; durations are strings such as `\"2s\"`.\n")
	text.WriteString("`keelctl settings get --effective PATH` shows the values in force and where each comes from. This page is written\n")
	text.WriteString("from the code by `go test ./settings -update` in `keel/`, and a test fails when the two differ.\n")
	group := ""
	for _, definition := range All() {
		first, _, _ := strings.Cut(string(definition.Key), ".")
		if first != group {
			group = first
			fmt.Fprintf(&text, "\n## %s\n\n| key | type | default | range | lowest level | meaning |\n| --- | --- | --- | --- | --- | --- |\n", group)
		}
		fmt.Fprintf(&text, "| `%s` | %s | `%s` | %s | %s | %s |\n", definition.Key, definition.typeName(), definition.Default,
			definition.Range(), definition.LowestLevel, definition.Text)
	}
	return text.String()
}

// typeName returns the type with its unit.
func (d Definition) typeName() string {
	if d.Unit == "" {
		return string(d.Type)
	}
	return string(d.Type) + ", " + d.Unit
}
