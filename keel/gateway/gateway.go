package gateway

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/respond"
	"samphirekeel.example/keel/route"
	"samphirekeel.example/keel/sequence"
	"samphirekeel.example/keel/upstream"
)

// The headers of callers' requests and of the responses to them.
const (
	HeaderTimeout        = route.HeaderTimeout
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = upstream.HeaderRequestID
)

// jobsPrefix is the first path segment of requests that concern jobs.
const jobsPrefix = "jobs"

// maxKeyLength is the maximum length in bytes of an idempotency key or a request ID.
const maxKeyLength = 128

// Gateway serves callers' requests; its methods are safe for concurrent use.
type Gateway struct {
	Router *route.Router
	Claims *claim.Service
	// Sequences delays each request of a sequence until the previous one has completed.
	Sequences *sequence.Service
	// Jobs serves the requests whose path starts with /jobs/.
	Jobs fasthttp.RequestHandler
	// HoldResponse holds memory for a number of bytes of the response to the request until it has been written, and fails with kind
	// Overloaded if there is none; nil holds nothing.
	HoldResponse func(ctx *fasthttp.RequestCtx, bytes int64) error
	Log          *event.Log

	inFlight atomic.Int64
	stopping atomic.Bool
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Stop makes the gateway reject new requests with kind Stopping.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Handle serves one request.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	id := requestID(ctx)
	ctx.Response.Header.Set(HeaderRequestID, id)
	if g.stopping.Load() {
		g.fail(ctx, id, fault.New(fault.Stopping, "this entry is stopping").WithRetryAfter(time.Second))
		return
	}
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/"+jobsPrefix+"/") {
		g.Jobs(ctx)
		return
	}
	request, err := g.parseRequest(ctx, id, path)
	if err == nil {
		err = g.serve(ctx, request)
	}
	if err != nil {
		g.fail(ctx, id, err)
	}
}

func requestID(ctx *fasthttp.RequestCtx) string {
	id := ctx.Request.Header.Peek(HeaderRequestID)
	if len(id) > 0 && len(id) <= maxKeyLength {
		return string(id)
	}
	return uuid.NewString()
}

func (g *Gateway) parseRequest(ctx *fasthttp.RequestCtx, id, path string) (*route.Request, error) {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return nil, fault.New(fault.UnknownService, "path %q is not /partner/service/...", path)
	}
	rest := "/"
	if len(parts) == 3 {
		rest += parts[2]
	}
	request := &route.Request{ID: id, Service: parts[0] + "/" + parts[1], HTTP: &ctx.Request}
	request.Repeatable = repeatable(string(ctx.Method()))
	if g.HoldResponse != nil {
		request.Hold = func(bytes int64) error { return g.HoldResponse(ctx, bytes) }
	}
	err := g.setDeadline(ctx, request)
	if err != nil {
		return nil, err
	}
	stripHopByHop(&ctx.Request.Header)
	ctx.Request.Header.Set(HeaderRequestID, id)
	ctx.Request.URI().SetPath(rest)
	ctx.Request.SetRequestURIBytes(ctx.Request.URI().RequestURI())
	return request, nil
}

// hopByHop lists the header fields that apply to a single connection (RFC 9110).
var hopByHop = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderTE, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect, "Proxy-Connection",
}

// stripHopByHop removes the header fields that apply only to the caller's connection to this entry.
func stripHopByHop(header *fasthttp.RequestHeader) {
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// repeatable reports whether the method is idempotent according to RFC 9110.
func repeatable(method string) bool {
	switch method {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodPut, fasthttp.MethodDelete,
		fasthttp.MethodOptions, fasthttp.MethodTrace:
		return true
	}
	return false
}

func (g *Gateway) setDeadline(ctx *fasthttp.RequestCtx, request *route.Request) error {
	service, err := g.Router.Find(request.Service)
	if err != nil {
		return err
	}
	timeout := service.Timeout
	text := string(ctx.Request.Header.Peek(HeaderTimeout))
	if text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return fault.New(fault.BadRequest, "%s: %q is not a duration such as 2s", HeaderTimeout, text)
		}
		timeout = min(timeout, requested)
	}
	request.Deadline = time.Now().Add(timeout)
	return nil
}

func (g *Gateway) serve(ctx *fasthttp.RequestCtx, request *route.Request) error {
	release, err := g.Router.Admit(request.Service)
	if err != nil {
		return err
	}
	defer release()
	if sequenced(ctx) {
		return g.serveInOrder(ctx, request)
	}
	key := string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if request.Repeatable || key == "" {
		return g.Router.Do(request, &ctx.Response)
	}
	if len(key) > maxKeyLength || strings.ContainsRune(key, '/') {
		return fault.New(fault.BadRequest, "%s: at most %d characters and no slash", HeaderIdempotencyKey, maxKeyLength)
	}
	return g.serveOnce(ctx, request, key)
}

func (g *Gateway) fail(ctx *fasthttp.RequestCtx, id string, err error) {
	failure := fault.As(err)
	g.Log.Write(event.EntryRequestFailed, event.Fields{
		"request": id, "kind": failure.Kind().String(), "outcome": string(failure.Outcome()), "reason": err.Error(),
	})
	ctx.Response.Reset()
	ctx.Response.Header.Set(HeaderRequestID, id)
	respond.Problem(ctx, failure)
}
