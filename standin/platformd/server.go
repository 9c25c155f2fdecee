package platformd

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/platform"
	"samphirekeel.example/keel/platform/platformtest"
	"samphirekeel.example/keel/respond"
)

// SwitchesPath is the path that sets the failures to simulate.
const SwitchesPath = "/switches"

// StatsPath is the path that returns Stats.
const StatsPath = "/stats"

// Stats counts the operations of the platform since it started.
type Stats struct {
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
	Reboots int    `json:"reboots"`
}

// serveTimeout is the longest time for which a frozen platform blocks a call.
const serveTimeout = time.Minute

// Server serves one fake platform over HTTP.
type Server struct {
	Platform *platformtest.Platform
}

// Handle serves one request: a call of the platform, SwitchesPath or StatsPath.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == SwitchesPath {
		s.setSwitches(ctx)
		return
	}
	if path == StatsPath {
		table := s.Platform.Table()
		respond.JSON(ctx, Stats{Commits: table.Commits(), Reads: table.Reads(), Reboots: s.Platform.Reboots()})
		return
	}
	method, ok := strings.CutPrefix(path, platform.PathPrefix)
	if !ok {
		respond.Problem(ctx, fault.New(fault.NotExist, "no such path: %s", path))
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	dataCentre := string(ctx.Request.Header.Peek(platform.HeaderDataCentre))
	body, err := s.Platform.Serve(callCtx, dataCentre, method, ctx.Request.Body())
	if err != nil {
		respond.Problem(ctx, fault.As(err))
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(body)
}

func (s *Server) setSwitches(ctx *fasthttp.RequestCtx) {
	var switches platformtest.Switches
	err := json.Unmarshal(ctx.Request.Body(), &switches)
	if err != nil {
		respond.Problem(ctx, fault.New(fault.BadRequest, "decode switches: %v", err))
		return
	}
	s.Platform.Set(switches)
	respond.JSON(ctx, switches)
}
