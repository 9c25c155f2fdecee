package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/answer"
	"samphirekeel.example/keel/fault"
)

// RefuseMalformed responds to a request that the server could not parse, and closes its connection.
func RefuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.BadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = fault.TooLarge
	}
	answer.Problem(ctx, fault.Wrap(kind, err, "cannot parse request"))
	ctx.SetConnectionClose()
}
