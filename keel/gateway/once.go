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

// unrecordedHeaders are the header fields of an answer that concern its connection or that each answer gets anew.
var unrecordedHeaders = map[string]bool{
	fasthttp.HeaderConnection: true, fasthttp.HeaderContentLength: true, fasthttp.HeaderDate: true,
	fasthttp.HeaderServer: true, fasthttp.HeaderTransferEncoding: true, "Keep-Alive": true, HeaderRequestID: true,
}

// serveOnce claims the key, sends the request if the claim is this entry's, and records the outcome.
func (g *Gateway) serveOnce(ctx *fasthttp.RequestCtx, request *route.Request, key string) error {
	claimCtx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	ticket, recorded, err := g.Claims.Begin(claimCtx, claim.Request{
		Service: request.Service, Key: key, Digest: digest(ctx),
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
	g.settle(ctx, request, key, ticket, err)
	return err
}

// settle records the outcome of a claimed request; the caller's answer doesn't wait for it.
func (g *Gateway) settle(ctx *fasthttp.RequestCtx, request *route.Request, key string, ticket *claim.Ticket, err error) {
	outcome := fault.Ran
	if err != nil {
		outcome = fault.As(err).Outcome()
	}
	g.logClaim(event.ClaimSettled, request, key, event.Fields{"outcome": string(outcome)})
	switch {
	case err == nil:
		g.Claims.Finish(ticket, recordable(&ctx.Response), g.answerLimit(request.Service))
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

// answerLimit returns the size up to which an answer of the service is recorded.
func (g *Gateway) answerLimit(service string) int {
	found, ok := g.Router.Directory().Services[service]
	if !ok {
		return 0
	}
	return found.ResponseLimit
}

// digest identifies the request for the check that a key isn't used for another one.
func digest(ctx *fasthttp.RequestCtx) uint64 {
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

// recordable returns a copy of the answer for the claim's row.
func recordable(response *fasthttp.Response) claim.Response {
	answer := claim.Response{Status: response.StatusCode(), Body: bytes.Clone(response.Body())}
	for name, value := range response.Header.All() {
		if !unrecordedHeaders[string(name)] {
			answer.Headers = append(answer.Headers, claim.Header{Name: string(name), Value: string(value)})
		}
	}
	return answer
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
