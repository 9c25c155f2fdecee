package load

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/gateway"
	"samphirekeel.example/standin/endpoint"
)

// maxAttempts is the maximum number of attempts per ticket.
const maxAttempts = 20

// attemptTimeout is the timeout of one attempt.
const attemptTimeout = 10 * time.Second

// minBackoff is the minimum delay before a retry; a response may ask for a longer one.
const minBackoff = 50 * time.Millisecond

// TicketGenerator sends tickets through entries, each until it has a final response, and reports their outcomes. It
// must not be reused after Run.
type TicketGenerator struct {
	// Entries lists the addresses at which entries listen for callers.
	Entries []string
	// Services lists the services, as "partner/service", to which the tickets are sent in turn.
	Services []string
	// Tickets is the number of tickets to send.
	Tickets int
	// Clients is the number of clients, each of which sends one ticket at a time.
	Clients int
	// Pause is the delay between two tickets of one client.
	Pause time.Duration
	// AuditAddress is the address of the endpoints' control listener.
	AuditAddress string

	tickets ticketSet
	report  TicketReport
}

// Run sends the tickets and returns the report; it fails if the audit of the endpoints cannot be read.
func (g *TicketGenerator) Run() (TicketReport, error) {
	tickets := make(chan int)
	var clients sync.WaitGroup
	for client := range g.Clients {
		clients.Go(func() {
			for ticket := range tickets {
				g.send(client, ticket)
				time.Sleep(g.Pause)
			}
		})
	}
	for ticket := range g.Tickets {
		tickets <- ticket
	}
	close(tickets)
	clients.Wait()
	err := g.buildReport()
	return g.report, err
}

// send sends one ticket and retries it at the next entry until it has a final response or maxAttempts is reached.
func (g *TicketGenerator) send(client, number int) {
	t := &ticket{name: fmt.Sprintf("t%06d", number), service: g.Services[number%len(g.Services)]}
	g.tickets.add(t)
	for attempt := range maxAttempts {
		entry := g.Entries[(client+number+attempt)%len(g.Entries)]
		result := sendOnce(entry, t)
		g.tickets.record(t, result)
		if result.final() {
			return
		}
		time.Sleep(max(result.retryAfter, minBackoff))
	}
}

// sendOnce makes one attempt; without a response, or with one that cannot be decoded, the outcome is unknown.
func sendOnce(entry string, t *ticket) attemptResult {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry + "/" + t.service + "/tickets")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(gateway.HeaderIdempotencyKey, t.name)
	request.Header.Set(gateway.HeaderRequestID, t.name)
	request.Header.Set(endpoint.HeaderTicket, t.name)
	request.SetBodyString(t.name)
	err := httpClient.DoTimeout(request, response, attemptTimeout)
	if err != nil {
		return attemptResult{outcome: fault.Unknown}
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return attemptResult{outcome: fault.Ran, body: string(response.Body())}
	}
	var problem fault.Problem
	err = json.Unmarshal(response.Body(), &problem)
	if err != nil {
		return attemptResult{outcome: fault.Unknown}
	}
	return attemptResult{
		outcome:    problem.Outcome,
		noRetry:    problem.Retry == fault.RetryNever,
		retryAfter: time.Duration(problem.RetryAfterMillis) * time.Millisecond,
	}
}

var httpClient = &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1024}

// buildReport fetches the endpoints' audit and compares the tickets with it.
func (g *TicketGenerator) buildReport() error {
	status, body, err := fasthttp.Get(nil, "http://"+g.AuditAddress+"/audit")
	if err != nil || status != fasthttp.StatusOK {
		return fault.Wrap(fault.Internal, err, "fetch audit of endpoints: status %d", status)
	}
	var audit endpoint.Audit
	err = json.Unmarshal(body, &audit)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode audit of endpoints")
	}
	g.report = g.tickets.report(audit)
	return nil
}
