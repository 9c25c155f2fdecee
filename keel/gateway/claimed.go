package gateway

import (
	"bytes"
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/route"
)

// unrecordedHeaders are the header fields of a response that apply to its connection or are set anew for each response.
var unrecordedHeaders = map[string]bool{
	fasthttp.HeaderConnection: true, fasthttp.HeaderContentLength: true, fasthttp.HeaderDate: true,
	fasthttp.HeaderServer: true, fasthttp.HeaderTransferEncoding: true, "Keep-Alive": true, HeaderRequestID: true,
}

// serveOnce claims the key, sends the request if this entry acquired the claim, and records the outcome. If the request
// has already run under the key, it writes the recorded response.
func (g *Gateway) serveOnce(ctx *fasthttp.RequestCtx, request *route.Request, key string) error {
	claimCtx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	ticket, recorded, err := g.Claims.Begin(claimCtx, claim.Request{
		Service: request.Service, Key: key, Digest: requestDigest(ctx),
	})
	if err != nil {
		g.logClaim(event.ClaimRefused, request, key, event.Fields{
			"kind": fault.KindOf(err).String(), "outcome": string(fault.As(err).Outcome()),
		})
		return err
	}
	if recorded != nil {
		g.logClaim(event.ClaimAnswered, request, key, event.Fields{"source": string(recorded.Source)})
		writeRecorded(ctx, recorded.Response)
		return nil
	}
	g.logClaim(event.ClaimTaken, request, key, event.Fields{})
	err = g.Router.Do(request, &ctx.Response)
	g.recordOutcome(ctx, request, key, ticket, err)
	return err
}

// recordOutcome starts recording the outcome of a claimed request; the response to the caller doesn't wait for it.
func (g *Gateway) recordOutcome(ctx *fasthttp.RequestCtx, request *route.Request, key string, ticket *claim.Ticket, err error) {
	outcome := fault.Ran
	if err != nil {
		outcome = fault.As(err).Outcome()
	}
	g.logClaim(event.ClaimSettled, request, key, event.Fields{"outcome": string(outcome)})
	switch {
	case err == nil:
		g.Claims.Finish(ticket, recordedResponse(&ctx.Response), g.maxRecordedBytes(request.Service))
	case outcome == fault.NotRun:
		g.Claims.Release(ticket)
	default:
		g.Claims.FinishUnknown(ticket)
	}
}

func (g *Gateway) logClaim(id event.ID, request *route.Request, key string, fields event.Fields) {
	fields["request"] = request.ID
	fields["key"] = key
	g.Log.Write(id, fields)
}

// maxRecordedBytes returns the maximum size in bytes of a response of the service that is recorded.
func (g *Gateway) maxRecordedBytes(name string) int {
	service, ok := g.Router.Directory().Services[name]
	if !ok {
		return 0
	}
	return service.ResponseLimit
}

// requestDigest returns a hash of the request, with which the reuse of its key for another request is detected.
func requestDigest(ctx *fasthttp.RequestCtx) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(ctx.Method())
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(ctx.RequestURI())
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(ctx.Request.Header.ContentType())
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(ctx.Request.Body())
	return hash.Sum64()
}

// recordedResponse returns a copy of the response to record in the claim's row.
func recordedResponse(response *fasthttp.Response) claim.Response {
	recorded := claim.Response{Status: response.StatusCode(), Body: bytes.Clone(response.Body())}
	for name, value := range response.Header.All() {
		if !unrecordedHeaders[string(name)] {
			recorded.Headers = append(recorded.Headers, claim.Header{Name: string(name), Value: string(value)})
		}
	}
	return recorded
}

func writeRecorded(ctx *fasthttp.RequestCtx, recorded claim.Response) {
	ctx.Response.SetStatusCode(recorded.Status)
	for _, header := range recorded.Headers {
		if strings.EqualFold(header.Name, fasthttp.HeaderSetCookie) {
			ctx.Response.Header.Add(header.Name, header.Value)
			continue
		}
		ctx.Response.Header.Set(header.Name, header.Value)
	}
	ctx.Response.SetBody(recorded.Body)
}
