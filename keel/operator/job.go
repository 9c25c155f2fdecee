package operator

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/settings"
)

// JobName identifies one job of a service.
type JobName struct {
	// Service is the path "partner/pool/service".
	Service settings.Path `json:"service"`
	// Key is the idempotency key under which the job was submitted.
	Key string `json:"key"`
}

// serveJobs serves GET /v1/jobs for a service, GET /v1/jobs/one for one job and POST /v1/jobs/cancel.
func (a *API) serveJobs(callCtx context.Context, ctx *fasthttp.RequestCtx, op Operator) (any, error) {
	name, err := readJobName(ctx)
	if err != nil {
		return nil, err
	}
	if !op.Subtree.Covers(name.Service) {
		return nil, fault.New(fault.Forbidden, "%s may see and cancel jobs of %q only, not of %q", op.Name, op.Subtree, name.Service)
	}
	pool := string(name.Service.Parent())
	service := string(name.Service.Parent().Parent()) + "/" + name.Service.Name()
	switch string(ctx.Path()) {
	case "/v1/jobs":
		limit, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("limit")))
		return a.Jobs.List(callCtx, pool, service, limit)
	case "/v1/jobs/one":
		return a.Jobs.Get(callCtx, pool, service+"/"+name.Key)
	default:
		return a.Jobs.Cancel(callCtx, pool, service+"/"+name.Key)
	}
}

// readJobName reads the name from the body of a POST request, and otherwise from the query.
func readJobName(ctx *fasthttp.RequestCtx) (JobName, error) {
	name := JobName{
		Service: settings.Path(ctx.QueryArgs().Peek("service")),
		Key:     string(ctx.QueryArgs().Peek("key")),
	}
	if ctx.IsPost() {
		err := json.Unmarshal(ctx.Request.Body(), &name)
		if err != nil {
			return name, fault.New(fault.BadRequest, "decode job name: %v", err)
		}
	}
	path, err := settings.ParsePath(string(name.Service))
	if err != nil {
		return name, err
	}
	if path.Level() != settings.LevelService {
		return name, fault.New(fault.BadRequest, "service %q is not partner/pool/service", name.Service)
	}
	name.Service = path
	return name, nil
}
