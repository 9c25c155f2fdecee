package event

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
)

// ID is the number of an event.
type ID int

// Definition describes one numbered event.
type Definition struct {
	ID    ID
	Name  string
	Level logrus.Level
	// WrittenWhen is the condition under which the event is written.
	WrittenWhen string
	// Fields lists the names of the event's fields, in the order of the catalogue.
	Fields []string
}

// section holds the events of one subsystem, a section of the catalogue.
type section struct {
	title       string
	definitions []Definition
}

func sections() []section {
	return []section{
		{"Entry process (100)", entryEvents},
		{"Routing (200)", routeEvents},
		{"Claims and sequences (300)", claimEvents},
		{"Members and peers (400)", peerEvents},
		{"Settings (500)", settingsEvents},
		{"Instances and pools (600)", poolEvents},
		{"Waves (700)", waveEvents},
		{"Jobs (800)", jobEvents},
		{"Duties and platform (900)", dutyEvents},
		{"Leader, tasks and workers (1000)", scheduleEvents},
		{"Tenants (1100)", tenantEvents},
		{"Caps and shares of tenants (1150)", shareEvents},
		{"Workers that boot again (1200)", bootEvents},
		{"Lease of the leader (1250)", leaseEvents},
		{"Forecast of demand (1300)", forecastEvents},
		{"Tasks that slow each other down (1350)", separationEvents},
	}
}

// All returns every definition in the order of the catalogue.
func All() []Definition {
	var all []Definition
	for _, s := range sections() {
		all = append(all, s.definitions...)
	}
	return all
}

// Catalogue returns the text of docs/EVENTS.md.
func Catalogue() string {
	var text strings.Builder
	text.WriteString("# Events\n\n")
	text.WriteString("Every line of the log has an `event` number and a `name`. This page is generated from the code by\n")
	text.WriteString("`go test ./event -update` in `keel/`, and a test fails when the two differ.\n")
	for _, s := range sections() {
		fmt.Fprintf(&text, "\n## %s\n\n", s.title)
		text.WriteString("| event | name | level | written when | fields |\n| --- | --- | --- | --- | --- |\n")
		for _, d := range s.definitions {
			fields := strings.Join(d.Fields, ", ")
			fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n", d.ID, d.Name, d.Level, d.WrittenWhen, fields)
		}
	}
	return text.String()
}
