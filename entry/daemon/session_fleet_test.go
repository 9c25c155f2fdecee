package daemon_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// fleetCommands are the commands of sessions about instances, pools and waves.
var fleetCommands = map[string]command{
	"down":           forEachInstance(func(c *testCluster, id string) { c.platform.Fail(id) }),
	"revive":         forEachInstance(func(c *testCluster, id string) { c.platform.Revive(id) }),
	"hang-reboot":    forEachInstance(func(c *testCluster, id string) { c.platform.BlockReboot(id) }),
	"reboottime":     rebootTimeCommand,
	"show-wave":      showWaveCommand,
	"set-wave-state": waveStateCommand,
	"report":         reportCommand,
	"restart-same":   restartSameCommand,
	"count-calls":    countCallsCommand,
}

// forEachInstance returns a command that calls act for each instance of its arguments.
func forEachInstance(act func(c *testCluster, id string)) command {
	return func(c *testCluster, args []string) string {
		for _, id := range args {
			act(c, id)
		}
		return ""
	}
}

func rebootTimeCommand(c *testCluster, args []string) string {
	duration, err := time.ParseDuration(args[0])
	assert.NilError(c.t, err)
	c.platform.RebootTime = duration
	return ""
}

func (c *testCluster) callAsOperator(entry, method, path string, body []byte) *fasthttp.Response {
	return c.call(entry, operatorsPort, method, path, body, "Authorization", "Bearer root")
}

// showWaveCommand prints the progress of a wave: entry, name.
func showWaveCommand(c *testCluster, args []string) string {
	return show(c.callAsOperator(args[0], fasthttp.MethodGet, "/v1/waves?id="+args[1], nil))
}

// waveStateCommand changes the state of a wave: entry, name, state.
func waveStateCommand(c *testCluster, args []string) string {
	body, err := json.Marshal(map[string]string{"id": args[1], "state": args[2]})
	assert.NilError(c.t, err)
	return show(c.callAsOperator(args[0], fasthttp.MethodPost, "/v1/waves/state", body))
}

// reportCommand prints the discrepancies that an entry reports, one on each line.
func reportCommand(c *testCluster, args []string) string {
	report := show(c.callAsOperator(args[0], fasthttp.MethodGet, "/v1/instances/report", nil))
	return strings.ReplaceAll(report, "},{", "}\n{")
}

// restartSameCommand starts a killed entry again under its own name and address: entry.
func restartSameCommand(c *testCluster, args []string) string {
	killed := c.entries[args[0]]
	c.entries["killed "+args[0]] = killed
	c.addEntry(killed.dataCentre, killed.name, killed.host)
	return ""
}

// countCallsCommand prints the number of transactions and reads of the table within the given time.
func countCallsCommand(c *testCluster, args []string) string {
	table := c.platform.Table()
	commits, reads := table.Commits(), table.Reads()
	waitCommand(c, args)
	return fmt.Sprintf("commits=%d reads=%d\n", table.Commits()-commits, table.Reads()-reads)
}
