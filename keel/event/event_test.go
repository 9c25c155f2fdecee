package event_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"samphirekeel.example/keel/event"
)

const cataloguePage = "../../docs/EVENTS.md"

func TestCataloguePageMatchesCode(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(cataloguePage, []byte(event.Catalogue()), 0o644))
	}
	page, err := os.ReadFile(cataloguePage)
	assert.NilError(t, err)
	assert.Equal(t, string(page), event.Catalogue())
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	ids := map[event.ID]bool{}
	names := map[string]bool{}
	for _, d := range event.All() {
		assert.Assert(t, !ids[d.ID], "event number %d is used twice", d.ID)
		assert.Assert(t, !names[d.Name], "event name %s is used twice", d.Name)
		ids[d.ID] = true
		names[d.Name] = true
	}
}

func TestWriteCarriesNumberAndFields(t *testing.T) {
	var out bytes.Buffer
	log := event.New(&out, true)
	log.Write(event.RouteDecided, event.Fields{"endpoint": "e1"})
	line := out.String()
	assert.Assert(t, strings.Contains(line, `"event":200`), line)
	assert.Assert(t, strings.Contains(line, `"name":"route_decided"`), line)
	assert.Assert(t, strings.Contains(line, `"endpoint":"e1"`), line)
}
