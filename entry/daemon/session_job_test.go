package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/platform"
)

var jobCommands = map[string]command{
	"job":         jobCommand,
	"jobs":        jobsCommand,
	"show-job":    showJobCommand,
	"cancel-job":  cancelJobCommand,
	"cancel-jobs": cancelJobsCommand,
	"tasks":       tasksCommand,
	"table":       tableCommand,
	"bad-worker":  func(c *testCluster, args []string) string { c.platform.FailTasks(args[0]); return "" },
	"fail":        func(c *testCluster, args []string) string { c.platform.Fail(args[0]); return "" },
	"hold":        func(c *testCluster, args []string) string { c.heldCalls.hold(args[0]); return "" },
	"release":     func(c *testCluster, args []string) string { c.heldCalls.release(args[0]); return "" },
}

// heldCalls delays the platform calls of held entries until their release; they still take effect then. It also counts
// the calls that concern jobs.
type heldCalls struct {
	mu    sync.Mutex
	gates map[string]chan struct{}
	// commits, rows and reads are the numbers of transactions, written rows and reads of the table that concern jobs.
	commits, rows, reads int
}

// count counts a call that concerns rows of jobs.
func (h *heldCalls) count(in any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch request := in.(type) {
	case platform.Txn:
		if strings.HasPrefix(request.Writes[0].Key, job.Prefix) {
			h.commits++
			h.rows += len(request.Writes)
		}
	case platform.ScanRequest:
		if strings.HasPrefix(request.Prefix, job.Prefix) {
			h.reads++
		}
	case platform.GetRequest:
		if strings.HasPrefix(request.Keys[0], job.Prefix) {
			h.reads++
		}
	}
}

func (h *heldCalls) hold(entry string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates == nil {
		h.gates = make(map[string]chan struct{})
	}
	h.gates[entry] = make(chan struct{})
}

func (h *heldCalls) release(entry string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.gates[entry])
	delete(h.gates, entry)
}

func (h *heldCalls) gate(entry string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gates[entry]
}

// lateResponse is the response to a call that was held.
type lateResponse struct {
	body json.RawMessage
	err  error
}

// call makes a platform call, delayed until the entry's release if the entry is held, also if the caller's context has
// ended by then.
func (h *heldCalls) call(ctx context.Context, entry string, inner *platform.Client, method string, in, out any) error {
	h.count(in)
	gate := h.gate(entry)
	if gate == nil {
		return inner.Call(ctx, method, in, out)
	}
	late := make(chan lateResponse, 1)
	go func() {
		<-gate
		var response lateResponse
		response.err = inner.Call(context.WithoutCancel(ctx), method, in, &response.body)
		late <- response
	}()
	select {
	case response := <-late:
		if response.err != nil {
			return response.err
		}
		return json.Unmarshal(response.body, out)
	case <-ctx.Done():
		return fault.Wrap(fault.PlatformUnavailable, ctx.Err(), "the call is held").WithOutcome(fault.Unknown)
	}
}

// submission is the body of a request that submits a job.
type submission struct {
	Size           platform.Size   `json:"size"`
	Repeatable     bool            `json:"repeatable"`
	Checkpointable bool            `json:"checkpointable"`
	Urgent         bool            `json:"urgent"`
	Work           json.RawMessage `json:"work"`
}

// jobCommand submits jobs: entry, partner/service, key or key*number, milli-cores, and options.
func jobCommand(c *testCluster, args []string) string {
	cores, err := strconv.ParseInt(args[3], 10, 64)
	assert.NilError(c.t, err)
	request := submission{Size: platform.Size{MilliCores: cores, MemoryMB: 1024}}
	work := map[string]any{"run_ns": 5 * time.Second}
	for _, option := range args[4:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "repeatable":
			request.Repeatable = true
		case "checkpointable":
			request.Checkpointable = true
		case "urgent":
			request.Urgent = true
		case "fail":
			work["fail"] = true
		case "run":
			work["run_ns"], err = time.ParseDuration(value)
			assert.NilError(c.t, err)
		case "uses":
			used, usedErr := strconv.ParseInt(value, 10, 64)
			assert.NilError(c.t, usedErr)
			work["uses"] = platform.Size{MilliCores: used, MemoryMB: 1024}
		case "accelerators":
			request.Size.Accelerators, err = strconv.ParseInt(value, 10, 64)
			assert.NilError(c.t, err)
		}
	}
	request.Work, err = json.Marshal(work)
	assert.NilError(c.t, err)
	body, err := json.Marshal(request)
	assert.NilError(c.t, err)
	return c.sendEach(args[2], func(key string) *fasthttp.Response {
		return c.call(args[0], callersPort, fasthttp.MethodPost, "/jobs/"+args[1], body, "X-Request-Id", key, "Idempotency-Key", key)
	})
}

// sendEach calls send for the key and prints the job, or concurrently for each of key*number and prints the number of
// responses by status.
func (c *testCluster) sendEach(key string, send func(key string) *fasthttp.Response) string {
	name, number, many := strings.Cut(key, "*")
	if !many {
		return showJob(send(key))
	}
	n, err := strconv.Atoi(number)
	assert.NilError(c.t, err)
	counts := make(map[int]int)
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for i := range n {
		group.Go(func() {
			status := send(fmt.Sprintf("%s-%04d", name, i)).StatusCode()
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	group.Wait()
	return fmt.Sprintf("%v within %s\n", counts, time.Since(began).Round(100*time.Millisecond))
}

// showJob prints a job without the fields that hold times.
func showJob(response *fasthttp.Response) string {
	var found job.Record
	if response.StatusCode() != fasthttp.StatusOK || json.Unmarshal(response.Body(), &found) != nil {
		return show(response)
	}
	return fmt.Sprintf("200 %s %s attempt=%d worker=%s reason=%q\n", found.ID, found.State, found.Attempt, found.Worker, found.Reason)
}

func showJobCommand(c *testCluster, args []string) string {
	return showJob(c.call(args[0], callersPort, fasthttp.MethodGet, "/jobs/"+args[1]+"/"+args[2], nil))
}

func cancelJobCommand(c *testCluster, args []string) string {
	return showJob(c.call(args[0], callersPort, fasthttp.MethodDelete, "/jobs/"+args[1]+"/"+args[2], nil))
}

// cancelJobsCommand cancels jobs concurrently: entry, partner/service, key*number.
func cancelJobsCommand(c *testCluster, args []string) string {
	return c.sendEach(args[2], func(key string) *fasthttp.Response {
		return c.call(args[0], callersPort, fasthttp.MethodDelete, "/jobs/"+args[1]+"/"+key, nil)
	})
}

// jobsCommand prints the number of a service's jobs by state: entry, partner/service.
func jobsCommand(c *testCluster, args []string) string {
	response := c.call(args[0], callersPort, fasthttp.MethodGet, "/jobs/"+args[1], nil)
	var jobs []job.Record
	err := json.Unmarshal(response.Body(), &jobs)
	if err != nil {
		return show(response)
	}
	counts := make(map[job.State]int)
	for _, found := range jobs {
		counts[found.State]++
	}
	return fmt.Sprintf("%v\n", counts)
}

// tasksCommand prints the number of starts of tasks whose names begin with a prefix.
func tasksCommand(c *testCluster, args []string) string {
	return fmt.Sprintf("%s started %d times\n", args[0], c.platform.Starts(args[0]))
}

// tableCommand prints the transactions, rows and reads of the table that concerned jobs since the last call. With a
// number it checks that there were at most that many reads instead of printing them: how many of a thousand concurrent
// calls share the first read depends on goroutine scheduling.
func tableCommand(c *testCluster, args []string) string {
	c.heldCalls.mu.Lock()
	defer c.heldCalls.mu.Unlock()
	reads := strconv.Itoa(c.heldCalls.reads)
	if len(args) > 0 {
		limit, err := strconv.Atoi(args[0])
		assert.NilError(c.t, err)
		assert.Assert(c.t, c.heldCalls.reads <= limit, "%d reads", c.heldCalls.reads)
		reads = "at most " + args[0]
	}
	text := fmt.Sprintf("%d transactions of %d rows, %s reads\n", c.heldCalls.commits, c.heldCalls.rows, reads)
	c.heldCalls.commits, c.heldCalls.rows, c.heldCalls.reads = 0, 0, 0
	return text
}
