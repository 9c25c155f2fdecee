package site

import (
	"encoding/json"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"samphirekeel.example/keel/work"
)

// cancelCase is a play in which the store carries out the writes of submissions late and without a response, and their callers cancel
// the jobs meanwhile.
type cancelCase struct {
	Name string `json:"name"`
	// Canceller is the entry that gets the cancels; a-1 gets the submissions.
	Canceller string `json:"canceller"`
	// KilledBefore and KilledAfter name an entry that is killed before or after the cancels, empty for none.
	KilledBefore string `json:"killed_before"`
	KilledAfter  string `json:"killed_after"`
	// Jobs is the number of jobs, 1 by default, DelayMs the delay of the writes, 5500 by default.
	Jobs    int `json:"jobs"`
	DelayMs int `json:"delay_ms"`
	// Again reports that another entry gets the submissions again, after the cancels.
	Again bool `json:"again"`
}

// Guards against a job that is started long after its cancel was acknowledged, because its submission is stored later, or sent again.
func TestCancelsOfUnansweredSubmissions(t *testing.T) {
	data, err := os.ReadFile("testdata/cancels.json")
	assert.NilError(t, err)
	var cases []cancelCase
	assert.NilError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
				defer p.shutdown()
				p.build()
				time.Sleep(5 * time.Second)
				c.play(p)
			})
		})
	}
}

func (c *cancelCase) play(p *dayRun) {
	delay := 5500 * time.Millisecond
	if c.DelayMs != 0 {
		delay = time.Duration(c.DelayMs) * time.Millisecond
	}
	var ids []string
	for n := range max(1, c.Jobs) {
		ids = append(ids, jobID(n))
		p.store.HoldUp(jobID(n), delay)
	}
	p.forEach(ids, func(id string) {
		status := p.submitWithin(id, "a-1", time.Second)
		// A submission that waits behind others isn't sent to the store.
		assert.Check(p.t, status == fasthttp.StatusGatewayTimeout || c.Jobs > 1 && status == fasthttp.StatusServiceUnavailable, "%d", status)
	})
	if c.KilledBefore != "" {
		p.kill(c.KilledBefore)
	}
	p.forEach(ids, func(id string) {
		status, _ := p.request(c.Canceller, fasthttp.MethodDelete, "q-p.example", "/q-p/"+id, "")
		assert.Check(p.t, is.Equal(status, fasthttp.StatusGone))
	})
	cancelled := time.Now()
	if c.KilledAfter != "" {
		p.kill(c.KilledAfter)
	}
	asked := "b-1"
	if c.KilledAfter == asked {
		asked = "a-1"
	}
	if c.Again {
		p.forEach(ids, func(id string) {
			assert.Check(p.t, is.Equal(p.submitWithin(id, asked, 3*time.Second), fasthttp.StatusOK))
		})
	}
	for time.Since(cancelled) < 15*time.Second {
		time.Sleep(time.Second)
		for _, id := range ids {
			c.checkState(p, asked, id)
		}
	}
	assert.Equal(p.t, p.fleet.StartOrders(), 0)
}

// checkState fails the test unless the entry shows that there is no such job or, after another submission, that it is cancelled.
func (c *cancelCase) checkState(p *dayRun, entry, id string) {
	status, state := p.state(entry, id)
	// Of several submissions one that its entry was still sending may have met the cancel.
	shown := status == fasthttp.StatusOK && state == string(work.Cancelled) && (c.Again || c.Jobs > 1)
	assert.Assert(p.t, shown || !c.Again && status == fasthttp.StatusGone, "job %s: %d %q", id, status, state)
}

// forEach runs f for all jobs at once.
func (p *dayRun) forEach(ids []string, f func(id string)) {
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() { f(id) })
	}
	group.Wait()
}

// submitWithin submits a job of one task to an entry and returns the status.
func (p *dayRun) submitWithin(id, entry string, limit time.Duration) int {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.Header.SetHost("q-p.example")
	ctx.Request.Header.Set("Time-Budget-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	ctx.Request.SetRequestURI("/q-p/" + id)
	ctx.Request.SetBodyString(`{"spec":"work","steps":[{"count":1,"cpu":1000,"memMb":100,"estimatedMs":1000}]}`)
	p.entry(entry).site.serveCaller(&ctx)
	return ctx.Response.StatusCode()
}

// state asks an entry for a job's state.
func (p *dayRun) state(entry, id string) (int, string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodGet)
	ctx.Request.Header.SetHost("q-p.example")
	ctx.Request.SetRequestURI("/q-p/" + id)
	p.entry(entry).site.serveCaller(&ctx)
	var answer struct {
		State string `json:"state"`
	}
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		assert.NilError(p.t, json.Unmarshal(ctx.Response.Body(), &answer))
	}
	return ctx.Response.StatusCode(), answer.State
}
