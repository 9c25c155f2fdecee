package endpoint

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/respond"
)

// HeaderTicket is the header with the ID of the ticket that a request carries.
const HeaderTicket = "X-Ticket"

// Set runs endpoints in one process, each on its own address. Its methods are safe for concurrent use.
type Set struct {
	// ServiceTime is the time that an endpoint takes to process a request.
	ServiceTime time.Duration
	// Slots is the maximum number of requests that an endpoint processes at once, 0 for no maximum; others wait.
	Slots int

	mu           sync.Mutex
	servers      map[string]*server
	runsByTicket map[string]int
	interrupted  int
}

// server is one endpoint.
type server struct {
	address  string
	listener net.Listener
	http     *fasthttp.Server
	// inFlight counts the requests without a response, including those that wait for a slot.
	inFlight int
	frozen   bool
	slots    chan struct{}
	conns    map[net.Conn]bool
}

// NewSet returns a set without endpoints.
func NewSet(serviceTime time.Duration) *Set {
	return &Set{ServiceTime: serviceTime, servers: make(map[string]*server), runsByTicket: make(map[string]int)}
}

// Up starts the endpoint at the address; it does nothing if the endpoint is up.
func (s *Set) Up(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[address] != nil {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "start endpoint %s", address)
	}
	srv := &server{address: address, listener: listener, conns: make(map[net.Conn]bool)}
	if s.Slots > 0 {
		srv.slots = make(chan struct{}, s.Slots)
	}
	srv.http = &fasthttp.Server{
		Handler:   func(ctx *fasthttp.RequestCtx) { s.serve(srv, ctx) },
		ConnState: func(conn net.Conn, state fasthttp.ConnState) { s.trackConnection(srv, conn, state) },
	}
	s.servers[address] = srv
	go func() { _ = srv.http.Serve(listener) }()
	return nil
}

func (s *Set) trackConnection(srv *server, conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(srv.conns, conn)
		return
	}
	srv.conns[conn] = true
}

// Down stops the endpoint at once, as a reboot does, and counts the requests in flight as interrupted.
func (s *Set) Down(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv := s.servers[address]
	if srv == nil {
		return
	}
	delete(s.servers, address)
	s.interrupted += srv.inFlight
	_ = srv.listener.Close()
	for conn := range srv.conns {
		_ = conn.Close()
	}
}

func (s *Set) serve(srv *server, ctx *fasthttp.RequestCtx) {
	ticket := string(ctx.Request.Header.Peek(HeaderTicket))
	s.mu.Lock()
	srv.inFlight++
	s.runsByTicket[ticket]++
	s.mu.Unlock()
	if srv.slots != nil {
		srv.slots <- struct{}{}
		defer func() { <-srv.slots }()
	}
	time.Sleep(s.ServiceTime)
	s.waitWhileFrozen(srv)
	s.mu.Lock()
	srv.inFlight--
	s.mu.Unlock()
	ctx.SetBodyString("done " + ticket)
}

// frozenPollInterval is the interval at which a request of a frozen endpoint checks whether the endpoint resumed.
const frozenPollInterval = 50 * time.Millisecond

// waitWhileFrozen blocks until the endpoint is not frozen.
func (s *Set) waitWhileFrozen(srv *server) {
	for {
		s.mu.Lock()
		frozen := srv.frozen
		s.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(frozenPollInterval)
	}
}

// setFrozen freezes the endpoint at the address or resumes it; it does nothing if the endpoint is down.
func (s *Set) setFrozen(address string, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if srv := s.servers[address]; srv != nil {
		srv.frozen = frozen
	}
}

// Audit counts the requests that the endpoints have run.
type Audit struct {
	// Runs is the number of runs by ticket.
	Runs map[string]int `json:"runs"`
	// Interrupted is the number of requests that were in flight at an endpoint when it was stopped.
	Interrupted int `json:"cut"`
}

// PowerRequest is the body of POST /power; it stops, starts, freezes or resumes an endpoint.
type PowerRequest struct {
	Address string `json:"address"`
	// Down stops the endpoint; otherwise it is started if it is down.
	Down bool `json:"down"`
	// Frozen endpoints accept requests and send no responses.
	Frozen bool `json:"frozen"`
}

// Handle serves the control listener: GET /audit and POST /power.
func (s *Set) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/audit":
		s.mu.Lock()
		defer s.mu.Unlock()
		respond.JSON(ctx, Audit{Runs: s.runsByTicket, Interrupted: s.interrupted})
	case "/power":
		err := s.handlePower(ctx.Request.Body())
		if err != nil {
			respond.Problem(ctx, fault.As(err))
		}
	default:
		respond.Problem(ctx, fault.New(fault.NotExist, "no such path: %s", ctx.Path()))
	}
}

func (s *Set) handlePower(body []byte) error {
	var request PowerRequest
	err := json.Unmarshal(body, &request)
	if err != nil {
		return fault.New(fault.BadRequest, "decode power request: %v", err)
	}
	if request.Down {
		s.Down(request.Address)
		return nil
	}
	s.setFrozen(request.Address, request.Frozen)
	return s.Up(request.Address)
}
