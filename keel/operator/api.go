package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"samphirekeel.example/keel/duty"
	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/fleet"
	"samphirekeel.example/keel/job"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/respond"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/wave"
)

// callTimeout bounds one call of an operator.
const callTimeout = 10 * time.Second

// Operator is one operator's name, token and the subtree that the operator may edit.
type Operator struct {
	Name    string        `json:"name"`
	Token   string        `json:"token"`
	Subtree settings.Path `json:"subtree"`
}

// API serves operators; its methods are safe for concurrent use.
type API struct {
	Operators []Operator
	Store     *settings.Store
	Client    *platform.Client
	Registry  *prometheus.Registry
	Log       *event.Log
	// Use answers what entries and workers say of instances.
	Use  wave.Usage
	Jobs *job.Service
	// Ready reports whether the entry serves callers, and why not.
	Ready func() error
	// Read runs f on the control loop and waits for it; it fails with kind NotReady if the loop is gone.
	Read func(ctx context.Context, f func(*fleet.View)) error
	// Members returns the registered entries; it is called on the control loop.
	Members func() []duty.Member
	// Forget returns the transaction that removes a lapsed entry's row; it is called on the control loop.
	Forget func(incarnation string) (platform.Txn, error)
	// Changed is called after a change of settings was accepted.
	Changed func()

	metrics fasthttp.RequestHandler
	digests [][sha256.Size]byte
}

// Handler returns the handler of the operators' listener.
func (a *API) Handler() fasthttp.RequestHandler {
	for _, who := range a.Operators {
		a.digests = append(a.digests, sha256.Sum256([]byte(who.Token)))
	}
	a.metrics = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	return a.handle
}

func (a *API) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		a.ready(ctx)
	case "/metrics":
		a.metrics(ctx)
	default:
		a.authorized(ctx)
	}
}

func (a *API) ready(ctx *fasthttp.RequestCtx) {
	err := a.Ready()
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	ctx.SetBodyString("ready\n")
}

func (a *API) authorized(ctx *fasthttp.RequestCtx) {
	who, err := a.identify(ctx)
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := a.dispatch(callCtx, ctx, who)
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	respond.JSON(ctx, value)
}

func (a *API) identify(ctx *fasthttp.RequestCtx) (Operator, error) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return Operator{}, fault.New(fault.Unauthorized, "a bearer token is needed")
	}
	// Every token is compared in full, so that the time tells nothing of any.
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range a.digests {
		if subtle.ConstantTimeCompare(digest[:], a.digests[i][:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Operator{}, fault.New(fault.Unauthorized, "the token is not known")
	}
	return a.Operators[found], nil
}

func (a *API) dispatch(callCtx context.Context, ctx *fasthttp.RequestCtx, who Operator) (any, error) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /v1/settings":
		return a.getSettings(callCtx, ctx, who)
	case "GET /v1/settings/history":
		return a.history(callCtx, ctx, who)
	case "GET /v1/settings/diff":
		return a.diff(callCtx, ctx, who)
	case "POST /v1/settings":
		return a.changeSettings(callCtx, ctx, who)
	case "GET /v1/status":
		return a.status(callCtx, who)
	case "POST /v1/entries/forget":
		return a.forgetEntry(callCtx, ctx, who)
	case "GET /v1/waves", "POST /v1/waves":
		return a.dispatchWave(callCtx, ctx, who)
	case "POST /v1/waves/state":
		return a.turnWave(callCtx, ctx, who)
	case "GET /v1/instances/report":
		return a.reportInstances(callCtx, who)
	case "GET /v1/jobs", "GET /v1/jobs/one", "POST /v1/jobs/cancel":
		return a.dispatchJob(callCtx, ctx, who)
	}
	return nil, fault.New(fault.NotExist, "%s %s", ctx.Method(), ctx.Path())
}
