package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/operator"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/settings"
)

// settingsCommands are the commands of sessions about settings and duties.
var settingsCommands = map[string]command{
	"pause":        pauseCommand,
	"resume":       resumeCommand,
	"duties":       dutiesCommand,
	"revisions":    revisionsCommand,
	"call":         callCommand,
	"concurrently": concurrentlyCommand,
	"call-rate":    callRateCommand,
	"entries":      entriesCommand,
	"propagation":  propagationCommand,
	"add-partners": addPartnersCommand,
}

// gate blocks the calls and connections of a paused entry until it is resumed.
type gate struct {
	mu       sync.Mutex
	released chan struct{}
	// method is the only platform method that is blocked; empty blocks all methods and connections.
	method string
}

func (g *gate) close(method string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.method = method
	if g.released == nil {
		g.released = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released != nil {
		close(g.released)
		g.released = nil
	}
}

func (g *gate) closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released != nil && g.method == ""
}

// client returns a client whose calls wait while the gate is closed and are then made even if their context has ended.
func (g *gate) client(inner *platform.Client) *platform.Client {
	return &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
		g.mu.Lock()
		released, matches := g.released, g.method == "" || g.method == method
		g.mu.Unlock()
		if released != nil && matches {
			<-released
			ctx = context.WithoutCancel(ctx)
		}
		return inner.Call(ctx, method, in, out)
	}}
}

// isPaused reports whether the address is that of a paused entry.
func (c *testCluster) isPaused(address string) bool {
	for _, process := range c.entries {
		if strings.HasPrefix(address, process.host+":") && process.gate.closed() {
			return true
		}
	}
	return false
}

// pauseCommand pauses an entry: entry and, optionally, a platform method. Nothing that a paused entry sends arrives and
// no peer reaches it; to the other entries, one that is never resumed looks killed. With a method, only the entry's
// calls of that method are blocked.
func pauseCommand(c *testCluster, args []string) string {
	if len(args) > 1 {
		c.entries[args[0]].gate.close(args[1])
		return ""
	}
	c.entries[args[0]].gate.close("")
	c.network.Disconnect(c.entries[args[0]].host)
	return ""
}

func resumeCommand(c *testCluster, args []string) string {
	c.entries[args[0]].gate.open()
	return ""
}

// dutiesCommand prints the duty and member rows of the table.
func dutiesCommand(c *testCluster, _ []string) string {
	var out []string
	for _, row := range c.platform.Table().Scan(platform.ScanRequest{Prefix: duty.Prefix}).Rows {
		var held duty.Record
		var member duty.Member
		_ = json.Unmarshal(row.Value, &held)
		_ = json.Unmarshal(row.Value, &member)
		switch {
		case held.Epoch > 0:
			out = append(out, fmt.Sprintf("duty %s holder=%s epoch=%d\n", held.Name, entryName(held.Holder), held.Epoch))
		case member.Incarnation != "":
			out = append(out, fmt.Sprintf("member %s lapsed=%t\n", entryName(member.Incarnation), member.Lapsed))
		}
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// entryName returns the name of the entry with the incarnation.
func entryName(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, "-")
	return name
}

// revisionsCommand prints the settings revision of each entry that is not paused, and whether the entry is ready.
func revisionsCommand(c *testCluster, _ []string) string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		if c.entries[name].gate.closed() {
			continue
		}
		var status struct{ Revision uint64 }
		response := c.call(name, operatorsPort, fasthttp.MethodGet, "/v1/status", nil, "Authorization", "Bearer root")
		_ = json.Unmarshal(response.Body(), &status)
		ready := c.call(name, operatorsPort, fasthttp.MethodGet, "/readyz", nil)
		fmt.Fprintf(&out, "%s revision=%d ready=%t\n", name, status.Revision, ready.StatusCode() == fasthttp.StatusOK)
	}
	return out.String()
}

// callCommand calls the operators' listener: entry, token, method, path and a JSON body.
func callCommand(c *testCluster, args []string) string {
	body := []byte(strings.Join(args[4:], " "))
	return show(c.call(args[0], operatorsPort, args[2], args[3], body, "Authorization", "Bearer "+args[1]))
}

// concurrentlyCommand sends the same call to several entries concurrently and prints the sorted statuses of the
// responses: entries separated by commas, token, method, path and a JSON body, in which @ is replaced by the number of
// the call.
func concurrentlyCommand(c *testCluster, args []string) string {
	entries := strings.Split(args[0], ",")
	statuses := make([]int, len(entries))
	var group sync.WaitGroup
	for i, entry := range entries {
		group.Go(func() {
			body := strings.ReplaceAll(strings.Join(args[4:], " "), "@", fmt.Sprint(i))
			response := c.call(entry, operatorsPort, args[2], args[3], []byte(body), "Authorization", "Bearer "+args[1])
			statuses[i] = response.StatusCode()
		})
	}
	group.Wait()
	slices.Sort(statuses)
	return fmt.Sprintln(statuses)
}

// callRateCommand prints the transactions and reads of the table per second, measured over the given time.
func callRateCommand(c *testCluster, args []string) string {
	duration, _ := time.ParseDuration(args[0])
	table := c.platform.Table()
	commits, reads := table.Commits(), table.Reads()
	time.Sleep(duration)
	synctest.Wait()
	return fmt.Sprintf("per second: commits=%.1f reads=%.1f\n",
		float64(table.Commits()-commits)/duration.Seconds(), float64(table.Reads()-reads)/duration.Seconds())
}

// addPartnersCommand makes several changes, each of which creates several partners: entry, number of changes, number of
// partners in each.
func addPartnersCommand(c *testCluster, args []string) string {
	changes, _ := strconv.Atoi(args[1])
	partners, _ := strconv.Atoi(args[2])
	var out strings.Builder
	for i := range changes {
		var edits []settings.Edit
		for j := range partners {
			edits = append(edits, settings.Edit{Path: settings.Path(fmt.Sprintf("p%d-%d", i, j))})
		}
		out.WriteString(show(c.changeSettings(args[0], edits...)))
	}
	return out.String()
}

// entriesCommand starts entries: number of data centres, number of entries in each.
func entriesCommand(c *testCluster, args []string) string {
	dataCentres, _ := strconv.Atoi(args[0])
	each, _ := strconv.Atoi(args[1])
	for i := range dataCentres {
		for j := range each {
			name := fmt.Sprintf("d%02de%d", i, j)
			c.addEntry(fmt.Sprintf("d%02d", i), name, name)
		}
	}
	return ""
}

// propagationCommand changes the settings several times, at least 10 s apart, and prints the time from the response to
// the operator until the slowest entry has applied the change: entry, number of changes.
func propagationCommand(c *testCluster, args []string) string {
	times, _ := strconv.Atoi(args[1])
	var delays []time.Duration
	for i := range times {
		response := setCommand(c, []string{args[0], "/", fmt.Sprintf(`route.request_timeout="%ds"`, i+1)})
		accepted := time.Now()
		var result operator.ChangeResult
		_ = json.Unmarshal([]byte(response[4:]), &result)
		time.Sleep(10*time.Second + time.Duration(i)*37*time.Millisecond)
		delays = append(delays, c.lastApplied(result.Revision).Sub(accepted))
	}
	slices.Sort(delays)
	return fmt.Sprintf("entries=%d slowest entry: min=%s median=%s max=%s\n", len(c.entries),
		delays[0].Round(time.Millisecond), delays[times/2].Round(time.Millisecond), delays[times-1].Round(time.Millisecond))
}

// lastApplied returns the time at which the slowest entry applied the revision or a later one; the test fails if an
// entry did not.
func (c *testCluster) lastApplied(revision uint64) time.Time {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	first := make(map[any]time.Time)
	for _, line := range c.log.lines {
		applied, ok := line.fields["revision"].(float64)
		_, seen := first[line.fields["entry"]]
		if line.event == int(event.SettingsApplied) && ok && !seen && uint64(applied) >= revision {
			first[line.fields["entry"]] = line.at
		}
	}
	assert.Equal(c.t, len(first), len(c.entries))
	return slices.MaxFunc(slices.Collect(maps.Values(first)), time.Time.Compare)
}
