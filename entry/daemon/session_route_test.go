package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/platform"
)

// routeCommands are the commands of sessions about routing.
var routeCommands = map[string]command{
	"traffic":       trafficCommand,
	"set-leaving":   setLeavingCommand,
	"drain":         drainCommand,
	"set-row-state": setStateCommand,
	"down":          downCommand,
}

// trafficTicket is the ticket of all requests of trafficCommand.
const trafficTicket = "traffic"

// trafficCommand sends requests one after another and prints the results and the endpoints that served them: entry,
// path, number of requests, time between two requests.
func trafficCommand(c *testCluster, args []string) string {
	number, _ := strconv.Atoi(args[2])
	interval, err := time.ParseDuration(args[3])
	assert.NilError(c.t, err)
	results := map[string]int{}
	for range number {
		response := c.call(args[0], callersPort, fasthttp.MethodPost, args[1], nil, "X-Ticket", trafficTicket)
		results[result(response)]++
		time.Sleep(interval)
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(results)) {
		fmt.Fprintf(&out, "%4d %s\n", results[name], name)
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		e := c.endpoints[id]
		e.mu.Lock()
		fmt.Fprintf(&out, "     %s: %d\n", id, e.runs[trafficTicket])
		delete(e.runs, trafficTicket)
		e.mu.Unlock()
	}
	return out.String()
}

// result returns the status of a response and, for a problem, its kind and outcome.
func result(response *fasthttp.Response) string {
	var problem struct{ Kind, Outcome string }
	_ = json.Unmarshal(response.Body(), &problem)
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", response.StatusCode(), problem.Kind, problem.Outcome))
}

// setLeavingCommand sets whether an endpoint reports in its responses that it is leaving: instance, yes or no.
func setLeavingCommand(c *testCluster, args []string) string {
	e := c.endpoints[args[0]]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = args[1] == "yes"
	return ""
}

// drainCommand makes the platform list an instance as leaving without an order of an entry.
func drainCommand(c *testCluster, args []string) string {
	fence := platform.Fence{Duty: "platform", Epoch: 1, Token: "drain " + args[0]}
	err := c.platform.Client(c.dataCentres[0]).Drain(context.Background(), platform.InstanceRequest{Fence: fence, Instance: args[0]})
	assert.NilError(c.t, err)
	return ""
}

// downCommand makes the platform list an instance as failed.
func downCommand(c *testCluster, args []string) string {
	c.platform.Fail(args[0])
	return ""
}

// setStateCommand writes a state into the row of an instance: data centre, instance, state.
func setStateCommand(c *testCluster, args []string) string {
	client := c.platform.Client(c.dataCentres[0])
	key := instance.Key(args[0], args[1])
	rows, err := client.Get(context.Background(), key)
	assert.NilError(c.t, err)
	var record instance.Record
	assert.NilError(c.t, json.Unmarshal(rows[0].Value, &record))
	record.State = instance.State(args[2])
	body, err := json.Marshal(record)
	assert.NilError(c.t, err)
	_, err = client.Commit(context.Background(), platform.Txn{
		Token:  "row " + strings.Join(args, " "),
		Writes: []platform.Write{{Key: key, Value: body}},
	})
	assert.NilError(c.t, err)
	return ""
}
