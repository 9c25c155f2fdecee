package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/respond"
)

// RejectMalformed answers a request that the server could not read.
func RejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.BadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = fault.TooLarge
	}
	respond.Problem(ctx, fault.Wrap(kind, err, "the request can't be read"))
	ctx.SetConnectionClose()
}
