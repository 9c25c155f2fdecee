package daemon_test

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/operator"
)

var entriesCommands = map[string]command{"forget": forgetCommand}

// forgetCommand removes the registration of a dead entry: the entry to call, the name of the dead entry.
func forgetCommand(c *testCluster, args []string) string {
	var status operator.Status
	response := c.call(args[0], operatorsPort, fasthttp.MethodGet, "/v1/status", nil, "Authorization", "Bearer root")
	assert.NilError(c.t, json.Unmarshal(response.Body(), &status))
	for _, entry := range status.Entries {
		if strings.HasPrefix(entry.Incarnation, args[1]+"-") {
			body, err := json.Marshal(operator.ForgetEntry{Incarnation: entry.Incarnation})
			assert.NilError(c.t, err)
			return show(c.call(args[0], operatorsPort, fasthttp.MethodPost, "/v1/entries/forget", body, "Authorization", "Bearer root"))
		}
	}
	return "no such entry\n"
}
