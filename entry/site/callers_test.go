package site

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/ledger"
)

// Guards against an accepted job that can't go on under a leader that doesn't know its queue: the entry stores the terms of
// the queue with the job.
func TestAcceptedJobIsStoredWithItsTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &dayRun{testCluster: newTestCluster(t, 1), day: partitionedDay()}
		defer p.shutdown()
		p.build()
		time.Sleep(5 * time.Second)
		var ctx fasthttp.RequestCtx
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI("http://q-p.example/q-p/" + jobID(1))
		ctx.Request.SetBodyString(`{"spec":"s","steps":[{"count":1,"cpu":100}]}`)
		p.entry("a-1").site.handleCaller(&ctx)
		assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusOK)
		contents, err := ledger.Load(t.Context(), p.store.Client("test"))
		assert.NilError(t, err)
		assert.Equal(t, len(contents.Jobs), 1)
		assert.DeepEqual(t, contents.Jobs[0].Job.Terms, p.entry("a-1").terms("q-p"))
		assert.Equal(t, contents.Jobs[0].Job.Terms.MaxAttempts, 3)
	})
}
