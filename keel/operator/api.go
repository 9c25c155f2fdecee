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

const (
	// callTimeout is the timeout of one call of an operator.
	callTimeout = 10 * time.Second
	// maxConcurrentScrapes is the maximum number of requests for the metrics that are served at the same time; others get 503.
	maxConcurrentScrapes = 4
)

// Operator is one operator's name and token, and the subtree that the operator may read and edit.
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
	// Usage reports the usage of instances by entries and workers.
	Usage wave.Usage
	Jobs  *job.Service
	// Ready returns nil if the entry serves callers, and otherwise the reason why it doesn't.
	Ready func() error
	// ReadView runs f on the control loop and waits for it; it fails with kind NotReady if the loop has stopped.
	ReadView func(ctx context.Context, f func(*fleet.View)) error
	// RefreshView reads the control rows that are newer than the view and waits until the view contains them.
	RefreshView func(ctx context.Context) error
	// Members returns the registered entries; it is called on the control loop.
	Members func() []duty.Member
	// ForgetEntryTxn returns the transaction that deletes a lapsed entry's row; it is called on the control loop.
	ForgetEntryTxn func(incarnation string) (platform.Txn, error)
	// OnSettingsChanged is called after a change of settings has been accepted.
	OnSettingsChanged func()

	metricsHandler fasthttp.RequestHandler
	tokenDigests   [][sha256.Size]byte
}

// Handler returns the handler of the operators' listener.
func (a *API) Handler() fasthttp.RequestHandler {
	for _, op := range a.Operators {
		a.tokenDigests = append(a.tokenDigests, sha256.Sum256([]byte(op.Token)))
	}
	a.metricsHandler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}))
	return a.handle
}

func (a *API) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		a.serveReady(ctx)
	case "/metrics":
		a.metricsHandler(ctx)
	default:
		a.serveAuthorized(ctx)
	}
}

func (a *API) serveReady(ctx *fasthttp.RequestCtx) {
	err := a.Ready()
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	ctx.SetBodyString("ready\n")
}

func (a *API) serveAuthorized(ctx *fasthttp.RequestCtx) {
	op, err := a.authenticate(ctx)
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := a.route(callCtx, ctx, op)
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	respond.JSON(ctx, value)
}

func (a *API) authenticate(ctx *fasthttp.RequestCtx) (Operator, error) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return Operator{}, fault.New(fault.Unauthorized, "bearer token required")
	}
	// All tokens are compared in constant time, so that the response time reveals nothing about them.
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range a.tokenDigests {
		if subtle.ConstantTimeCompare(digest[:], a.tokenDigests[i][:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Operator{}, fault.New(fault.Unauthorized, "unknown bearer token")
	}
	return a.Operators[found], nil
}

func (a *API) route(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /v1/settings":
		return a.getSettings(callCtx, ctx, op)
	case "GET /v1/settings/history":
		return a.history(callCtx, ctx, op)
	case "GET /v1/settings/diff":
		return a.diff(callCtx, ctx, op)
	case "POST /v1/settings":
		return a.changeSettings(callCtx, ctx, op)
	case "GET /v1/status":
		return a.status(callCtx, op)
	case "POST /v1/entries/forget":
		return a.forgetEntry(callCtx, ctx, op)
	case "GET /v1/waves", "POST /v1/waves":
		return a.serveWaves(callCtx, ctx, op)
	case "POST /v1/waves/state":
		return a.setWaveState(callCtx, ctx, op)
	case "GET /v1/instances/report":
		return a.listDiscrepancies(callCtx, op)
	case "GET /v1/jobs", "GET /v1/jobs/one", "POST /v1/jobs/cancel":
		return a.serveJobs(callCtx, ctx, op)
	}
	return nil, fault.New(fault.NotExist, "no such call: %s %s", ctx.Method(), ctx.Path())
}
