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

// HeaderTicket names the ticket that a request carries.
const HeaderTicket = "X-Ticket"

// Set is a number of endpoints in one process, each on its own address.
type Set struct {
	// Work is the time that an endpoint takes for a request.
	Work time.Duration
	// Slots bounds the requests that an endpoint works on at once; the others wait. 0 doesn't.
	Slots int

	mu      sync.Mutex
	servers map[string]*server
	runs    map[string]int
	cut     int
}

// server is one endpoint.
type server struct {
	address  string
	listener net.Listener
	http     *fasthttp.Server
	active   int
	frozen   bool
	slots    chan struct{}
	conns    map[net.Conn]bool
}

// NewSet returns a set without endpoints.
func NewSet(work time.Duration) *Set {
	return &Set{Work: work, servers: make(map[string]*server), runs: make(map[string]int)}
}

// Up starts the endpoint on the address; it does nothing if it is up.
func (s *Set) Up(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[address] != nil {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "endpoint %s", address)
	}
	one := &server{address: address, listener: listener, conns: make(map[net.Conn]bool)}
	if s.Slots > 0 {
		one.slots = make(chan struct{}, s.Slots)
	}
	one.http = &fasthttp.Server{
		Handler:   func(ctx *fasthttp.RequestCtx) { s.serve(one, ctx) },
		ConnState: func(conn net.Conn, state fasthttp.ConnState) { s.track(one, conn, state) },
	}
	s.servers[address] = one
	go func() { _ = one.http.Serve(listener) }()
	return nil
}

func (s *Set) track(one *server, conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(one.conns, conn)
		return
	}
	one.conns[conn] = true
}

// Down stops the endpoint at once, as a reboot does, and counts the requests that this cuts.
func (s *Set) Down(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.servers[address]
	if one == nil {
		return
	}
	delete(s.servers, address)
	s.cut += one.active
	_ = one.listener.Close()
	for conn := range one.conns {
		_ = conn.Close()
	}
}

func (s *Set) serve(one *server, ctx *fasthttp.RequestCtx) {
	ticket := string(ctx.Request.Header.Peek(HeaderTicket))
	s.mu.Lock()
	one.active++
	s.runs[ticket]++
	s.mu.Unlock()
	if one.slots != nil {
		one.slots <- struct{}{}
		defer func() { <-one.slots }()
	}
	time.Sleep(s.Work)
	s.hold(one)
	s.mu.Lock()
	one.active--
	s.mu.Unlock()
	ctx.SetBodyString("done " + ticket)
}

// frozenPoll is how often a frozen endpoint looks whether it still is.
const frozenPoll = 50 * time.Millisecond

// hold keeps a request without an answer while the endpoint is frozen.
func (s *Set) hold(one *server) {
	for {
		s.mu.Lock()
		frozen := one.frozen
		s.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(frozenPoll)
	}
}

// freeze has the endpoint on the address answer nothing, or answer again.
func (s *Set) freeze(address string, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.servers[address]; one != nil {
		one.frozen = frozen
	}
}

// Audit is what the endpoints have run.
type Audit struct {
	// Runs counts the runs of each ticket.
	Runs map[string]int `json:"runs"`
	// Cut counts the requests that a stop of an endpoint cut.
	Cut int `json:"cut"`
}

// Command takes an endpoint down, brings it up or freezes it.
type Command struct {
	Address string `json:"address"`
	Down    bool   `json:"down"`
	// Frozen endpoints take requests and answer none.
	Frozen bool `json:"frozen"`
}

// Handle serves the control listener: GET /audit and POST /power.
func (s *Set) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/audit":
		s.mu.Lock()
		defer s.mu.Unlock()
		respond.JSON(ctx, Audit{Runs: s.runs, Cut: s.cut})
	case "/power":
		err := s.power(ctx.Request.Body())
		if err != nil {
			respond.Problem(ctx, fault.As(err))
		}
	default:
		respond.Problem(ctx, fault.New(fault.NotExist, "%s", ctx.Path()))
	}
}

func (s *Set) power(body []byte) error {
	var command Command
	err := json.Unmarshal(body, &command)
	if err != nil {
		return fault.New(fault.BadRequest, "power: %v", err)
	}
	if command.Down {
		s.Down(command.Address)
		return nil
	}
	s.freeze(command.Address, command.Frozen)
	return s.Up(command.Address)
}
