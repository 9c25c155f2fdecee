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

// SwitchesPath is where the switches are read and set.
const SwitchesPath = "/switches"

// StatsPath is where the counts of what the platform did are read.
const StatsPath = "/stats"

// Stats counts what the platform did.
type Stats struct {
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
	Reboots int    `json:"reboots"`
}

// serveTimeout bounds how long a frozen call is held.
const serveTimeout = time.Minute

// Server serves one stand-in.
type Server struct {
	Platform *platformtest.Platform
}

// Handle serves one call of the platform or of its switches.
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
		respond.Problem(ctx, fault.New(fault.NotExist, "%s", path))
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
		respond.Problem(ctx, fault.New(fault.BadRequest, "switches: %v", err))
		return
	}
	s.Platform.Set(switches)
	respond.JSON(ctx, switches)
}
