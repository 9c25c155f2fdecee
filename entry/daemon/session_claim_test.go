package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
)

// claimCommands are the commands of sessions about claims, sequences, peers and stops.
var claimCommands = map[string]command{
	"start":   startCommand,
	"await":   awaitCommand,
	"kill":    killCommand,
	"slow":    slowCommand,
	"runs":    runsCommand,
	"restart": restartCommand,
	"open":    openCommand,
	"send":    sendCommand,
	"flood":   floodCommand,
	"order":   orderCommand,
	"claims":  claimsCommand,
	"outcome": outcomeCommand,
}

// backgroundKey identifies a background command of a cluster.
type backgroundKey struct {
	cluster *testCluster
	name    string
}

// background holds the channels for the output of running background commands.
var background = map[backgroundKey]chan string{}

// backgroundCommands are the commands that may run in the background.
var backgroundCommands = map[string]command{"post": postCommand, "get": getCommand, "stop": stopCommand, "flood": floodCommand, "send": sendCommand, "cancel-jobs": cancelJobsCommand, "wave": waveCommand}

// startCommand runs a command in the background: name, command and its arguments.
func startCommand(c *testCluster, args []string) string {
	out := make(chan string, 1)
	background[backgroundKey{c, args[0]}] = out
	go func() { out <- backgroundCommands[args[1]](c, args[2:]) }()
	return ""
}

// awaitCommand waits for background commands and prints their output: names.
func awaitCommand(c *testCluster, args []string) string {
	var text strings.Builder
	for _, name := range args {
		key := backgroundKey{c, name}
		fmt.Fprintf(&text, "%s: %s", name, <-background[key])
		delete(background, key)
	}
	return text.String()
}

// killCommand kills an entry, which closes its listeners and connections.
func killCommand(c *testCluster, args []string) string {
	process := c.entries[args[0]]
	process.killed.Store(true)
	c.network.KillHost(process.host)
	return ""
}

// restartCommand starts an entry at the address of a killed one: name of the killed entry, name of the new one.
func restartCommand(c *testCluster, args []string) string {
	old := c.entries[args[0]]
	c.addEntry(old.dataCentre, args[1], old.host)
	return ""
}

// slowCommand sets the time that each endpoint takes for a request.
func slowCommand(c *testCluster, args []string) string {
	delay, err := time.ParseDuration(args[0])
	assert.NilError(c.t, err)
	for _, endpoint := range c.endpoints {
		endpoint.mu.Lock()
		endpoint.delay = delay
		endpoint.mu.Unlock()
	}
	return ""
}

// runsCommand prints how often each ticket reached any endpoint.
func runsCommand(c *testCluster, tickets []string) string {
	var text strings.Builder
	for _, ticket := range tickets {
		text.WriteString(ticket + " ran " + strconv.Itoa(c.runs(ticket)) + "\n")
	}
	return text.String()
}

func (c *testCluster) runs(ticket string) int {
	runs := 0
	for _, endpoint := range c.endpoints {
		endpoint.mu.Lock()
		runs += endpoint.runs[ticket]
		endpoint.mu.Unlock()
	}
	return runs
}

// orderCommand prints the tickets in the order in which they reached endpoints, and whether each arrived before the
// response to the one before.
func orderCommand(c *testCluster, tickets []string) string {
	slices.SortStableFunc(tickets, func(a, b string) int {
		first, _ := c.runSpan(a)
		second, _ := c.runSpan(b)
		return first.Compare(second)
	})
	var text strings.Builder
	var ended time.Time
	for _, ticket := range tickets {
		from, to := c.runSpan(ticket)
		fmt.Fprintf(&text, "%s ran %d overlaps=%v\n", ticket, c.runs(ticket), from.Before(ended))
		ended = to
	}
	return text.String()
}

// runSpan returns the times of a ticket's arrival at its endpoint and of the response.
func (c *testCluster) runSpan(ticket string) (from, to time.Time) {
	for _, endpoint := range c.endpoints {
		endpoint.mu.Lock()
		if endpoint.runs[ticket] > 0 {
			from, to = endpoint.startedAt[ticket], endpoint.respondedAt[ticket]
		}
		endpoint.mu.Unlock()
	}
	return from, to
}

// claimsCommand prints the number of claims in the table by service.
func claimsCommand(c *testCluster, _ []string) string {
	scan := c.platform.Table().Scan(platform.ScanRequest{Prefix: claim.Prefix, Limit: 1 << 20})
	counts := make(map[string]int)
	for _, row := range scan.Rows {
		if !row.Deleted() {
			counts[strings.Join(strings.Split(row.Key, "/")[:3], "/")]++
		}
	}
	return fmt.Sprintln(counts)
}

// platformStates are the platform's switches by the names that outcomeCommand uses.
var platformStates = map[string]platformtest.Switches{
	"ok":     {},
	"lost":   {LoseCommitResponses: 1},
	"outage": {Outage: true},
	"freeze": {Freeze: true},
}

// outcomeCommand sends a ticket through w1, and again through w2 once the platform is available, and prints both
// results and how often the ticket ran: state of the platform during the claim, path, ticket, state of the platform
// while the outcome is recorded. For a ticket that begins with "cut" the endpoint closes the connection instead of
// responding.
func outcomeCommand(c *testCluster, args []string) string {
	set := func(state string) {
		switches := platformStates[state]
		switches.Slow = platformLatency
		c.platform.Set(switches)
	}
	ticket := args[2]
	send := func(entry string) string {
		return postCommand(c, []string{entry, args[1], ticket, "Idempotency-Key=" + ticket})
	}
	set(args[0])
	first := make(chan string, 1)
	go func() { first <- send("w1") }()
	time.Sleep(claimCommitTime)
	if args[0] != "freeze" {
		set(args[3])
	}
	firstResult := summarize(<-first)
	time.Sleep(time.Second)
	ran := c.runs(ticket)
	set("ok")
	time.Sleep(5 * time.Second)
	repeatResult := summarize(send("w2"))
	time.Sleep(time.Second)
	return fmt.Sprintf("  result %s after %d runs, repeat %s after %d\n", firstResult, ran, repeatResult, c.runs(ticket))
}

// claimCommitTime is the time within which a request is claimed and sent to the endpoint if the platform is available.
const claimCommitTime = 5 * time.Millisecond

// summarize returns the status, kind and outcome of a response in the format of postCommand.
func summarize(text string) string {
	status, body, _ := strings.Cut(strings.TrimSpace(text), " ")
	var problem fault.Problem
	if json.Unmarshal([]byte(body), &problem) != nil {
		return status
	}
	return fmt.Sprintf("%s %s %s", status, problem.Kind, problem.Outcome)
}

// openCommand opens a keep-alive connection to an entry: name, entry.
func openCommand(c *testCluster, args []string) string {
	address := c.entries[args[1]].host + ":" + callersPort
	opened, err := c.network.Dial(c.entries[args[1]].dataCentre, address, time.Second)
	if err != nil {
		return err.Error() + "\n"
	}
	c.namedConn(args[0], opened)
	return ""
}

// sendCommand sends a ticket on a keep-alive connection: name, path, ticket, and headers as Name=value.
func sendCommand(c *testCluster, args []string) string {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://entry" + args[1])
	request.Header.Set("X-Ticket", args[2])
	request.Header.Set("X-Request-Id", args[2])
	for _, pair := range args[3:] {
		name, value, _ := strings.Cut(pair, "=")
		request.Header.Set(name, value)
	}
	conn := c.namedConn(args[0], nil)
	writer := bufio.NewWriter(conn)
	err := errors.CombineErrors(request.Write(writer), writer.Flush())
	response := &fasthttp.Response{}
	if err == nil {
		err = response.Read(bufio.NewReader(conn))
	}
	if err != nil {
		return "connection failed: " + err.Error() + "\n"
	}
	return fmt.Sprintf("%d %s close=%v\n", response.StatusCode(), response.Body(), response.ConnectionClose())
}

// namedConn stores conn under the name unless it is nil, and returns the connection of the name.
func (c *testCluster) namedConn(name string, conn net.Conn) net.Conn {
	c.connMu.Lock()
	defer c.connMu.Unlock()
	if c.conns == nil {
		c.conns = make(map[string]net.Conn)
	}
	if conn != nil {
		c.conns[name] = conn
	}
	return c.conns[name]
}

// floodCommand sends many tickets concurrently, each on its own connection: number, entry, path, prefix of the tickets.
func floodCommand(c *testCluster, args []string) string {
	number, _ := strconv.Atoi(args[0])
	var group sync.WaitGroup
	responses := make([]string, number)
	for i := range number {
		ticket := args[3] + strconv.Itoa(i)
		group.Go(func() {
			responses[i] = postCommand(c, []string{args[1], args[2], ticket, "Idempotency-Key=" + ticket})
		})
	}
	group.Wait()
	complete, ran := 0, 0
	for i, text := range responses {
		ticket := args[3] + strconv.Itoa(i)
		if text == "200 done "+ticket+"\n" {
			complete++
		}
		ran += min(1, c.runs(ticket))
	}
	return fmt.Sprintf("%d sent, %d complete responses, %d ran\n", number, complete, ran)
}

// dialFrom opens a connection from an entry, which closes when the entry is killed.
func (c *testCluster) dialFrom(process *entryProcess, address string, timeout time.Duration) (net.Conn, error) {
	if process.killed.Load() || process.gate.closed() || c.isPaused(address) {
		return nil, emulator.ErrRefused
	}
	opened, err := c.network.Dial(process.dataCentre, address, timeout)
	if err == nil {
		c.network.SetOwner(process.host, opened)
	}
	return opened, err
}

// clientOf returns the platform client of an entry, whose calls fail once the entry is killed.
func (c *testCluster) clientOf(process *entryProcess) *platform.Client {
	inner := c.platform.Client(process.dataCentre)
	return &platform.Client{Call: func(ctx context.Context, method string, in, out any) error {
		if process.killed.Load() {
			return fault.New(fault.PlatformUnavailable, "the entry is killed")
		}
		return c.heldCalls.call(ctx, process.name, inner, method, in, out)
	}}
}
