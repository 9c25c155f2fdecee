package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/respond"
)

// RejectMalformed responds to a request that the server could not read, and closes its connection.
func RejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	var failure *fault.Error
	if !errors.As(err, &failure) {
		failure = fault.Wrap(fault.BadRequest, err, "cannot parse request")
	}
	ctx.Response.Reset()
	respond.Problem(ctx, failure)
	ctx.SetConnectionClose()
}
