package config_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"samphirekeel.example/entry/config"
	"samphirekeel.example/keel/fault"
)

func TestEveryProblemIsReportedWithItsPath(t *testing.T) {
	data, err := os.ReadFile("testdata/bad.json")
	assert.NilError(t, err)
	_, problems := config.Parse(data)
	golden.Assert(t, strings.Join(problems, "\n")+"\n", "bad.golden")
}

func TestBrokenFile(t *testing.T) {
	for _, broken := range []string{"", "{", "[]", `{"name": "w1"} trailing`} {
		_, problems := config.Parse([]byte(broken))
		assert.Assert(t, strings.HasPrefix(problems[0], "file: is not an object"), "%q: %v", broken, problems)
	}
	_, err := config.Load("testdata/nothing.json")
	assert.Assert(t, fault.IsKind(err, fault.Usage))
}

// TestExampleIsValidAndShowsDefaults loads the example as it is and without the settings that it describes as optional,
// and expects the same result, since the example shows the defaults of those.
func TestExampleIsValidAndShowsDefaults(t *testing.T) {
	example, err := config.Load("testdata/example.json")
	assert.NilError(t, err)
	data, err := os.ReadFile("testdata/example.json")
	assert.NilError(t, err)
	without, _, _ := strings.Cut(string(data), `  "// log"`)
	without = strings.TrimRight(strings.TrimSpace(without), ",") + "}"
	without = strings.Replace(without, ",\n    \"timeout\": \"2s\"", "", 1)
	withDefaults, problems := config.Parse([]byte(without))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.DeepEqual(t, withDefaults, example)
}
