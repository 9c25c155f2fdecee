package daemon_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/scripttest"
	"samphirekeel.example/keel/settings"
)

// TestMain serves one request outside any synctest bubble, since fasthttp starts a goroutine once per process, which
// must not belong to a bubble.
func TestMain(m *testing.M) {
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, near)
	}()
	_ = (&fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}).ServeConn(far)
	os.Exit(m.Run())
}

// command runs one line of a session's script and returns its output.
type command func(c *testCluster, args []string) string

// commands returns all commands by name.
func commands() map[string]command {
	all := make(map[string]command)
	for _, group := range []map[string]command{baseCommands, settingsCommands, claimCommands, routeCommands, jobCommands, fleetCommands, entriesCommands} {
		maps.Copy(all, group)
	}
	return all
}

var baseCommands = map[string]command{
	"instances": instancesCommand,
	"entry":     entryCommand,
	"stop":      stopCommand,
	"wait":      waitCommand,
	"set":       setCommand,
	"post":      postCommand,
	"get":       getCommand,
	"events":    eventsCommand,
	"platform":  platformCommand,
	"silence":   func(c *testCluster, args []string) string { c.network.Silence(args[0]); return "" },
	"partition": func(c *testCluster, args []string) string {
		c.network.SetPartitioned(args[0], args[1], true)
		return ""
	},
	"heal": func(c *testCluster, args []string) string {
		c.network.SetPartitioned(args[0], args[1], false)
		return ""
	},
	"wave":   waveCommand,
	"status": statusCommand,
}

var measure = flag.Bool("measure", false, "run the sessions that only measure; they take half a minute")

// TestMeasures runs the script in testdata/measure as TestSessions does, but only with the flag -measure.
func TestMeasures(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	scripttest.Run(t, "measure/propagation_69", startSession)
}

// TestSessions runs the scripts in testdata and compares their output with the golden files.
func TestSessions(t *testing.T) {
	scripttest.RunAll(t, startSession)
}

func startSession(t *testing.T) scripttest.Session {
	known := commands()
	c := newCluster(t, "worcester", "lowell")
	run := func(words []string) string {
		run, ok := known[words[0]]
		assert.Assert(t, ok, "no command %q", words[0])
		return run(c, words[1:])
	}
	return scripttest.Session{Run: run, Close: c.close}
}

// instancesCommand adds instances: data centre, number of instances, instances per rack, slots per instance.
func instancesCommand(c *testCluster, args []string) string {
	number, _ := strconv.Atoi(args[1])
	perRack, _ := strconv.Atoi(args[2])
	slots, _ := strconv.Atoi(args[3])
	for i := range number {
		c.addInstance(platform.Listing{
			ID: fmt.Sprintf("%s-%02d", args[0], i), DataCentre: args[0], Rack: fmt.Sprintf("%s-r%d", args[0], i/perRack),
			Address: fmt.Sprintf("%s-%02d:80", args[0], i), Slots: slots, Connections: 8 * slots,
			Size: platform.Size{MilliCores: 16000, MemoryMB: 32768},
		})
	}
	return ""
}

func entryCommand(c *testCluster, args []string) string {
	c.addEntry(args[0], args[1], args[1])
	return ""
}

// stopCommand stops an entry gracefully.
func stopCommand(c *testCluster, args []string) string {
	process := c.entries[args[0]]
	process.cancel()
	err := <-process.done
	process.done <- err
	return fmt.Sprintf("stopped: %v\n", err)
}

func waitCommand(c *testCluster, args []string) string {
	duration, err := time.ParseDuration(args[0])
	assert.NilError(c.t, err)
	time.Sleep(duration)
	synctest.Wait()
	return ""
}

// setCommand changes one node of the settings: entry, path ("/" for the root), and key=value pairs.
func setCommand(c *testCluster, args []string) string {
	edit := settings.Edit{Path: settings.Path(strings.Trim(args[1], "/")), Set: map[settings.Key]json.RawMessage{}}
	for _, pair := range args[2:] {
		key, value, _ := strings.Cut(pair, "=")
		edit.Set[settings.Key(key)] = json.RawMessage(value)
	}
	return show(c.changeSettings(args[0], edit))
}

// postCommand sends a ticket: entry, path, ticket, and headers as Name=value.
func postCommand(c *testCluster, args []string) string {
	headers := []string{"X-Ticket", args[2], "X-Request-Id", args[2]}
	for _, pair := range args[3:] {
		name, value, _ := strings.Cut(pair, "=")
		headers = append(headers, name, value)
	}
	return show(c.call(args[0], callersPort, fasthttp.MethodPost, args[1], []byte(args[2]), headers...))
}

func getCommand(c *testCluster, args []string) string {
	return show(c.call(args[0], callersPort, fasthttp.MethodGet, args[1], nil, "X-Request-Id", "get"))
}

// show prints the status and body of a response.
func show(response *fasthttp.Response) string {
	return fmt.Sprintf("%d %s\n", response.StatusCode(), response.Body())
}

// eventsCommand prints the events since the last call: first number, last number.
func eventsCommand(c *testCluster, args []string) string {
	first, _ := strconv.Atoi(args[0])
	last, _ := strconv.Atoi(args[1])
	return c.events(first, last)
}

// platformCommand sets the platform's switches: a JSON object.
func platformCommand(c *testCluster, args []string) string {
	switches := platformtest.Switches{Slow: platformLatency}
	err := json.Unmarshal([]byte(strings.Join(args, " ")), &switches)
	assert.NilError(c.t, err)
	c.platform.Set(switches)
	return ""
}

// waveCommand starts a wave: entry, name, pools.
func waveCommand(c *testCluster, args []string) string {
	body, err := json.Marshal(map[string]any{"id": args[1], "pools": args[2:]})
	assert.NilError(c.t, err)
	return show(c.call(args[0], operatorsPort, fasthttp.MethodPost, "/v1/waves", body, "Authorization", "Bearer root"))
}

func statusCommand(c *testCluster, args []string) string {
	return show(c.call(args[0], operatorsPort, fasthttp.MethodGet, "/v1/status", nil, "Authorization", "Bearer root"))
}
