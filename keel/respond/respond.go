package respond

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

// HeaderOutcome is the response header with the outcome of a failed request.
const HeaderOutcome = "X-Outcome"

// Problem writes the problem document (RFC 9457) of the error, with its status, outcome and retry delay.
func Problem(ctx *fasthttp.RequestCtx, err *fault.Error) {
	problem := err.Problem()
	body, _ := json.Marshal(problem)
	ctx.Response.SetStatusCode(problem.Status)
	ctx.Response.Header.SetContentType(fault.ProblemContentType)
	ctx.Response.Header.Set(HeaderOutcome, string(problem.Outcome))
	retryAfter := err.RetryAfterHeader()
	if retryAfter != "" {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	}
	ctx.Response.SetBody(body)
}

// JSON writes the value as JSON; if it can't be encoded, it writes a problem with kind Internal.
func JSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		Problem(ctx, fault.Wrap(fault.Internal, err, "encode response"))
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(body)
}
