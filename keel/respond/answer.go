package respond

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

// HeaderOutcome carries the outcome of a request that was answered with a problem.
const HeaderOutcome = "X-Outcome"

// Problem answers with the problem that describes the error.
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

// JSON answers with the value as JSON.
func JSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		Problem(ctx, fault.Wrap(fault.Internal, err, "encode answer"))
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(body)
}
