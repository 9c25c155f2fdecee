package daemon

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/entry/config"
	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/gateway"
	"samphirekeel.example/keel/memory"
)

const (
	// clientMemory is the part of the process's memory that clients of all listeners may make it hold, and runtimeMemory the soft limit of
	// the runtime, near which garbage is collected more often.
	clientMemory  = 0.4
	runtimeMemory = 0.6
	// upstreamBytes is what a request holds for its connection to an endpoint: buffers and what the kernel queues.
	upstreamBytes = 40 << 10
)

// The parts of the clients' memory, and of the process's descriptors, that each listener may use. Each request may need a descriptor for
// its connection to an endpoint too.
const (
	callerMemory        = 0.6
	callerDescriptors   = 1.0 / 3
	operatorMemory      = 0.15
	operatorDescriptors = 1.0 / 16
	peerMemory          = 0.25
	peerDescriptors     = 1.0 / 8
)

// clientAccounts hold the memory of the clients of each listener.
type clientAccounts struct {
	callers, operators, peers *memory.Account
}

// buildAccounts divides the memory for clients among the listeners, and sets the runtime's limit.
func (d *Daemon) buildAccounts() {
	limits := d.Config.Limits
	descriptors := descriptorLimit(limits)
	clients := memory.Owner{Bytes: math.MaxInt64, Log: d.Log}
	if limits.MemoryMB > 0 {
		total := float64(limits.MemoryMB) * (1 << 20)
		clients.Bytes = int64(clientMemory * total)
		debug.SetMemoryLimit(int64(runtimeMemory * total))
	}
	d.accounts = clientAccounts{
		callers:   clients.Account("callers", callerMemory, min(limits.Connections, connection.MaxConnections(descriptors, callerDescriptors))),
		operators: clients.Account("operators", operatorMemory, connection.MaxConnections(descriptors, operatorDescriptors)),
		peers:     clients.Account("peers", peerMemory, connection.MaxConnections(descriptors, peerDescriptors)),
	}
	clients.Register(d.registry)
}

// descriptorLimit returns the maximum number of descriptors of the process.
func descriptorLimit(limits config.Limits) int {
	if limits.Descriptors > 0 {
		return limits.Descriptors
	}
	const unknown = 1024
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	if err != nil {
		return unknown
	}
	return int(min(limit.Cur, maxDescriptors))
}

// maxDescriptors bounds the descriptors that are counted on where the system has no limit.
const maxDescriptors = 1 << 20

// timeouts returns the timeouts of clients' connections.
func (d *Daemon) timeouts() connection.Timeouts {
	idle := func() time.Duration { return idleTimeout }
	header := func() time.Duration { return readTimeout }
	return connection.Timeouts{Idle: idle, Header: header, Body: readTimeout, Write: time.Duration(d.Config.Limits.WriteTimeout)}
}

func (d *Daemon) callerServer() *connection.Server {
	return &connection.Server{
		Handler: d.withBody(d.serveCaller), Reject: gateway.RejectMalformed, Set: &d.callerConns, Account: d.accounts.callers,
		Timeouts: d.timeouts(), KeepAlive: idleTimeout, Queues: connection.ClientQueues, RequestBytes: upstreamBytes, MaxBody: d.maxBody,
	}
}

// maxBody returns the maximum size of a request's body in bytes.
func (d *Daemon) maxBody() int { return d.Config.Limits.BodyBytes }

// withBody returns a handler that reads the body before it calls the handler.
func (d *Daemon) withBody(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		err := connection.ReadBody(ctx, d.maxBody())
		if err != nil {
			gateway.RejectMalformed(ctx, err)
			return
		}
		handler(ctx)
	}
}

// holdDecoded returns a handler that holds memory for what the body becomes once decoded.
func holdDecoded(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		err := connection.Hold(ctx, memory.JSONBytes(ctx.PostBody()))
		if err != nil {
			gateway.RejectMalformed(ctx, fault.As(err))
			return
		}
		handler(ctx)
	}
}
