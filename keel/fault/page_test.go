package fault_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"samphirekeel.example/keel/fault"
)

const apiPage = "../../docs/API.md"

func TestErrorTableInAPIPageMatchesCode(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	assert.NilError(t, err)
	before, rest, hasBegin := strings.Cut(string(page), fault.PageBegin)
	table, after, hasEnd := strings.Cut(rest, fault.PageEnd)
	assert.Assert(t, hasBegin && hasEnd)
	if golden.FlagUpdate() {
		table = fault.Table()
		assert.NilError(t, os.WriteFile(apiPage, []byte(before+fault.PageBegin+table+fault.PageEnd+after), 0o644))
	}
	assert.Equal(t, table, fault.Table())
}
