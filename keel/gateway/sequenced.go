package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/route"
	"samphirekeel.example/keel/sequence"
)

// The headers of a request that belongs to a sequence.
const (
	HeaderSequence       = "Sequence"
	HeaderSequenceNumber = "Sequence-Number"
)

// sequenced reports whether the request names a sequence.
func sequenced(ctx *fasthttp.RequestCtx) bool {
	header := &ctx.Request.Header
	return len(header.Peek(HeaderSequence)) > 0 || len(header.Peek(HeaderSequenceNumber)) > 0
}

// serveInOrder sends the request at most once, after the previous request of its sequence has completed.
func (g *Gateway) serveInOrder(ctx *fasthttp.RequestCtx, request *route.Request) error {
	header := &ctx.Request.Header
	position, err := sequence.Parse(string(header.Peek(HeaderSequence)), string(header.Peek(HeaderSequenceNumber)))
	if err != nil {
		return err
	}
	// A request of a sequence runs at most once, even if its method is idempotent.
	request.Repeatable = false
	began := time.Now()
	err = g.waitForPrevious(request, position)
	if err != nil {
		g.logClaim(event.ClaimRefused, request, position.Key(), event.Fields{
			"kind": fault.KindOf(err).String(), "outcome": string(fault.As(err).Outcome()),
		})
		return err
	}
	g.Log.Write(event.SequenceTurn, event.Fields{
		"request": request.ID, "sequence": position.Name, "number": position.Number,
		"waited_ms": time.Since(began).Milliseconds(),
	})
	return g.serveOnce(ctx, request, position.Key())
}

// waitForPrevious waits for the previous request of the sequence, at most for the service's sequence window and until
// the request's deadline.
func (g *Gateway) waitForPrevious(request *route.Request, position sequence.Position) error {
	deadline := request.Deadline
	service, ok := g.Router.Directory().Services[request.Service]
	if ok && time.Until(deadline) > service.SequenceWindow {
		deadline = time.Now().Add(service.SequenceWindow)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return g.Sequences.Wait(ctx, request.Service, position)
}
