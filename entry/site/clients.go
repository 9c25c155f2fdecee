package site

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/entry/connection"
	"samphirekeel.example/keel/memory"
	"samphirekeel.example/keel/queue"
)

const (
	// DefaultClientMemoryShare is the default of Entry.ClientMemoryShare. The leader's state and the garbage of the runtime share the rest.
	DefaultClientMemoryShare = 0.3
	// DefaultWriteTimeout is the default of Entry.WriteTimeout.
	DefaultWriteTimeout = 10 * time.Second
	// defaultHeaderTimeout is the timeout of a header unless the configuration says so, and bodyTimeout that of a body.
	defaultHeaderTimeout = 10 * time.Second
	bodyTimeout          = 10 * time.Second
)

// The parts of the clients' memory that each listener may use.
const (
	callerMemory    = 0.6
	peerMemory      = 0.3
	readinessMemory = 0.05
	metricsMemory   = 0.05
)

const (
	// callerDescriptors and peerDescriptors are the parts of the process's descriptors for connections of callers and of peers, and
	// probeDescriptors that for readiness probes and for readers of metrics each. The rest is for the store, the instance service and
	// workers.
	callerDescriptors = 2.0 / 3
	peerDescriptors   = 1.0 / 8
	probeDescriptors  = 1.0 / 48
)

// clientAccounts hold the memory of the clients of each listener.
type clientAccounts struct {
	callers, peers, readiness, metrics *memory.Account
}

// buildAccounts divides the memory for clients among the listeners.
func (s *Entry) buildAccounts() {
	clients := memory.Owner{Bytes: math.MaxInt64, Log: s.Log}
	if s.Settings.Limits.MemoryMB > 0 {
		clients.Bytes = int64(s.ClientMemoryShare * float64(s.Settings.Limits.MemoryMB) * (1 << 20))
	}
	connections := func(part float64) int { return connection.MaxConnections(s.Settings.Limits.Descriptors, part) }
	s.accounts = clientAccounts{
		callers:   clients.Account("callers", callerMemory, connections(callerDescriptors)),
		peers:     clients.Account("peers", peerMemory, connections(peerDescriptors)),
		readiness: clients.Account("readiness", readinessMemory, connections(probeDescriptors)),
		metrics:   clients.Account("metrics", metricsMemory, connections(probeDescriptors)),
	}
	clients.Register(s.registry)
}

// timeouts returns the timeouts of clients' connections.
func (s *Entry) timeouts() connection.Timeouts {
	return connection.Timeouts{Idle: s.idleTimeout, Header: s.headerTimeout, Body: bodyTimeout, Write: s.WriteTimeout}
}

// headerTimeout returns how long a request's header may take from its first byte.
func (s *Entry) headerTimeout() time.Duration {
	config := s.config.Load()
	if config == nil || config.Limits.HeaderTimeout == 0 {
		return defaultHeaderTimeout
	}
	return config.Limits.HeaderTimeout
}

// maxHeader returns the maximum size of a request's header in bytes, 0 if the configuration doesn't say.
func (s *Entry) maxHeader() int {
	config := s.config.Load()
	if config == nil {
		return 0
	}
	return config.Limits.HeaderBytes
}

// maxBody returns the maximum size of a submission in bytes.
func (s *Entry) maxBody() int {
	config := s.config.Load()
	if config == nil {
		return maxBodyBytes
	}
	return bodyLimit(config.Limits)
}

// bodyLimit returns the maximum size of a submission in bytes.
func bodyLimit(limits queue.Limits) int {
	if limits.BodyBytes <= 0 {
		return maxBodyBytes
	}
	return min(maxBodyBytes, limits.BodyBytes)
}

func (s *Entry) callerServer() *connection.Server {
	return &connection.Server{
		Handler: s.serveCaller, Reject: rejectUnreadable, Set: &s.conns, Account: s.accounts.callers, Timeouts: s.timeouts(), KeepAlive: 2 * maxIdleTimeout,
		Queues: connection.CallerQueues, HeaderBytes: connection.HeaderBufferBytes, MaxHeader: s.maxHeader, MaxBody: s.maxBody,
	}
}

// probeServer returns a server for requests without a body.
func (s *Entry) probeServer(account *memory.Account, handler fasthttp.RequestHandler) *connection.Server {
	idle := func() time.Duration { return defaultIdleTimeout }
	header := func() time.Duration { return defaultHeaderTimeout }
	return &connection.Server{
		Handler: handler, Reject: rejectUnreadable, Set: &connection.Set{}, Account: account, Queues: connection.ClientQueues,
		Timeouts:  connection.Timeouts{Idle: idle, Header: header, Body: bodyTimeout, Write: s.WriteTimeout},
		KeepAlive: 2 * maxIdleTimeout, MaxBody: func() int { return 0 },
	}
}
