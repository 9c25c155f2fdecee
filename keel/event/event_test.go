package event_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
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

// TestJSONLinesAreThoseOfLogrus compares a line with values of all kinds in use with the one that logrus makes.
func TestJSONLinesAreThoseOfLogrus(t *testing.T) {
	type state string
	fields := event.Fields{
		"text": "a \"quoted\" <text>\n\x00\xff é", "number": -3, "count": uint64(1) << 60, "millis": int64(12), "share": 0.8, "flag": true,
		"state": state("done"), "names": []string{"a", "b"}, "busy": map[string]int64{"x": 1}, "reason": errors.New("failed"), "none": nil,
	}
	var got, want bytes.Buffer
	event.New(&got, true).Write(event.RouteDecided, fields)
	logger := logrus.New()
	logger.SetOutput(&want)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "name"}})
	(&event.Log{Logger: logger}).Write(event.RouteDecided, fields)
	assert.Equal(t, strings.Count(got.String(), "\n"), 1)
	assert.DeepEqual(t, decodeLine(t, got.Bytes()), decodeLine(t, want.Bytes()))
}

// decodeLine decodes a line without its time, whose form it checks.
func decodeLine(t *testing.T, line []byte) map[string]any {
	t.Helper()
	var values map[string]any
	assert.NilError(t, json.Unmarshal(line, &values))
	_, err := time.Parse(time.RFC3339Nano, values["time"].(string))
	assert.NilError(t, err)
	delete(values, "time")
	return values
}
