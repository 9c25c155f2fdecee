package upstream_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/upstream"
)

// Guards against responses that are read although there is no memory for them, and against blaming the endpoint or telling the caller that
// the request hasn't run.
func TestResponsesAreHeldBeforeTheyAreRead(t *testing.T) {
	const length = 200_000
	listener := fasthttputil.NewInmemoryListener()
	defer func() { assert.Check(t, listener.Close()) }()
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/fixed" {
				ctx.SetBodyString(strings.Repeat("x", length))
				return
			}
			ctx.SetBodyStream(strings.NewReader(strings.Repeat("x", length)), -1)
		})
	}()
	for _, c := range []struct {
		path         string
		memory, most int64
		served       bool
	}{
		{"/fixed", length, length, true}, {"/fixed", length - 1, 0, false},
		{"/chunked", 3 * length, 3 * length, true}, {"/chunked", length, length, false},
	} {
		t.Run(fmt.Sprintf("%s_%d", strings.Trim(c.path, "/"), c.memory), func(t *testing.T) {
			var held int64
			hold := func(bytes int64) error {
				if held+bytes > c.memory {
					return fault.New(fault.Overloaded, "no memory")
				}
				held += bytes
				return nil
			}
			pool := &upstream.Pool{Dial: func(string, time.Duration) (net.Conn, error) { return listener.Dial() }}
			defer pool.Close()
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://endpoint" + c.path)
			err := pool.Do(&upstream.Call{Request: request, Response: response, Deadline: time.Now().Add(time.Minute), Hold: hold})
			assert.Assert(t, held <= c.most, held)
			if c.served {
				assert.NilError(t, err)
				assert.Equal(t, len(response.Body()), length)
				return
			}
			assert.Assert(t, fault.IsKind(err, fault.Overloaded), "%v", err)
			assert.Equal(t, fault.As(err).Outcome(), fault.Unknown)
		})
	}
}
