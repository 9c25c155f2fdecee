package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/respond"
)

// RejectMalformed responds to a request that the server could not parse, and closes its connection.
func RejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.BadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = fault.TooLarge
	}
	respond.Problem(ctx, fault.Wrap(kind, err, "cannot parse request"))
	ctx.SetConnectionClose()
}
