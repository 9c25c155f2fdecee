package scripttest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const extension = ".session"

// Session is the system under test during one run of a script.
type Session struct {
	// Run runs one command, split into its words, and returns its output.
	Run func(words []string) string
	// Close stops everything that the session started, so that the synctest bubble can end.
	Close func()
}

// RunAll runs each script in testdata as a subtest with its own session, which start creates, in its own synctest
// bubble.
func RunAll(t *testing.T, start func(t *testing.T) Session) {
	t.Helper()
	scripts, err := filepath.Glob("testdata/*" + extension)
	assert.NilError(t, err)
	assert.Assert(t, len(scripts) > 0)
	for _, script := range scripts {
		name := strings.TrimSuffix(filepath.Base(script), extension)
		t.Run(name, func(t *testing.T) { Run(t, name, start) })
	}
}

// Run runs the named script in testdata in a synctest bubble and compares the output with the golden file of that name.
func Run(t *testing.T, name string, start func(t *testing.T) Session) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name+extension))
	assert.NilError(t, err)
	synctest.Test(t, func(t *testing.T) {
		session := start(t)
		output := execute(string(text), session.Run)
		session.Close()
		golden.Assert(t, output, name+".golden")
	})
}

// execute runs the lines of a script and returns each line followed by its output.
func execute(script string, run func([]string) string) string {
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, line)
			continue
		}
		fmt.Fprintln(&out, ">", line)
		out.WriteString(run(strings.Fields(line)))
	}
	return out.String()
}
