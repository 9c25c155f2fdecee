package site

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/emulator"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/queue"
	"samphirekeel.example/keel/table"
)

// request sends a request to an entry, past its listener, and returns the status and whether a retry is advised.
func (c *testCluster) request(entry, method, host, path, body string) (status int, retry bool) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.Header.SetHost(host)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	c.entry(entry).site.serveCaller(&ctx)
	return ctx.Response.StatusCode(), len(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)) > 0
}

// partition separates data centre b from a and from the store, and returns a function that ends that.
func (p *dayRun) partition() func() {
	outage := &emulator.StoreFault{Outage: emulator.Silent}
	p.setPartitioned("b", p.day.DataCentres, true, outage)
	return func() { p.setPartitioned("b", p.day.DataCentres, false, outage) }
}

// Guards against a final 404 for a queue that was added while the entry could read the configuration neither from the
// store nor from the leader. A queue that never existed has its 404 at once as soon as the configuration is current.
func TestQueueUnknownToStaleEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		heal := p.partition()
		p.addQueue("added", "p", 3)
		p.putConfig()
		time.Sleep(3 * time.Second)
		status, _ := p.request("a-1", fasthttp.MethodGet, "added.example", "/added/", "")
		assert.Equal(t, status, fasthttp.StatusOK)
		status, _ = p.request("a-1", fasthttp.MethodGet, "never.example", "/never/", "")
		assert.Equal(t, status, fasthttp.StatusNotFound)
		status, retry := p.request("b-1", fasthttp.MethodPost, "added.example", "/added/"+jobID(1), "{}")
		assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
		assert.Assert(t, retry)
		heal()
		time.Sleep(3 * time.Second)
		status, _ = p.request("b-1", fasthttp.MethodGet, "added.example", "/added/", "")
		assert.Equal(t, status, fasthttp.StatusOK)
		status, _ = p.request("b-1", fasthttp.MethodGet, "never.example", "/never/", "")
		assert.Equal(t, status, fasthttp.StatusNotFound)
	})
}

// Guards against a 503 for a queue that doesn't exist from an entry that the store rejects, while the leader tells it that
// the configuration is current, and against a 404 from it once the leader itself can't read the configuration.
func TestQueueUnknownToEntryWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		for _, entry := range p.entryNames() {
			status, _ := p.request(entry, fasthttp.MethodGet, "never.example", "/never/", "")
			assert.Equal(t, status, fasthttp.StatusNotFound, entry)
		}
		leader, other := p.leaderName(), "a-1"
		if leader == other {
			other = "b-1"
		}
		p.store.Inject(&emulator.StoreFault{Outage: emulator.Busy, Callers: []string{other}})
		time.Sleep(4 * time.Second)
		status, _ := p.request(other, fasthttp.MethodGet, "never.example", "/never/", "")
		assert.Equal(t, status, fasthttp.StatusNotFound)
		p.store.Inject(&emulator.StoreFault{Outage: emulator.Busy, Callers: []string{leader}})
		time.Sleep(4 * time.Second)
		for _, entry := range []string{leader, other} {
			status, retry := p.request(entry, fasthttp.MethodGet, "never.example", "/never/", "")
			assert.Equal(t, status, fasthttp.StatusServiceUnavailable, entry)
			assert.Assert(t, retry)
		}
	})
}

// Guards against a 404 for a queue of a configuration that this build can't decode.
func TestQueueOfUnreadableConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		p.store.Put(table.Write{Key: table.Key{Table: PlatformCodec().OperatorTable, Name: "config"}, Value: []byte(`{"version":"later"}`)})
		time.Sleep(3 * time.Second)
		status, _ := p.request("a-1", fasthttp.MethodGet, "added.example", "/added/", "")
		assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
		p.addQueue("added", "p", 3)
		p.putConfig()
		time.Sleep(time.Second)
		status, _ = p.request("a-1", fasthttp.MethodGet, "added.example", "/added/", "")
		assert.Equal(t, status, fasthttp.StatusOK)
	})
}

// Guards against a final 413 by a limit that may have been raised since the entry could last read the configuration.
func TestLimitKnownToStaleEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		site := p.entry("b-1").site
		known := site.config.Load()
		site.config.Store(queue.NewConfig(known.Version, known.Queues, slices.Collect(maps.Values(known.Pools)), queue.Limits{BodyBytes: 10}))
		status, _ := p.request("b-1", fasthttp.MethodPost, "q-p.example", "/q-p/"+jobID(1), `{"spec":"too long"}`)
		assert.Equal(t, status, fasthttp.StatusRequestEntityTooLarge)
		defer p.partition()()
		time.Sleep(3 * time.Second)
		status, retry := p.request("b-1", fasthttp.MethodPost, "q-p.example", "/q-p/"+jobID(1), `{"spec":"too long"}`)
		assert.Equal(t, status, fasthttp.StatusServiceUnavailable)
		assert.Assert(t, retry)
	})
}

// Guards against taking a leader's response without a version, which shows nothing of a forwarded job, for an acceptance.
func TestForwardedJobWithoutVersionIsNotAccepted(t *testing.T) {
	_, err := acceptResponse{}.result()
	assert.Equal(t, fault.As(err).Outcome(), fault.Unknown)
	version, err := acceptResponse{Version: 7}.result()
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(7))
	_, err = acceptResponse{Kind: "a kind of a later build", NotStored: true}.result()
	assert.Equal(t, fault.As(err).Outcome(), fault.NotRun)
}
