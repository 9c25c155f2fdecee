package route

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/event"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/settings"
	"samphirekeel.example/keel/upstream"
)

// HeaderTimeout carries the time that is left for a request, as a duration such as 1500ms.
const HeaderTimeout = "Request-Timeout"

// retryDelay is the advice to a caller whose request found no endpoint.
const retryDelay = time.Second

// maxAttempts bounds how often one request is sent.
const maxAttempts = 3

// Request is a caller's request on its way to an endpoint.
type Request struct {
	// ID names the request in the log.
	ID string
	// Service is "partner/service".
	Service string
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	Deadline   time.Time
	HTTP       *fasthttp.Request
}

// Router sends requests to endpoints.
type Router struct {
	Log        *event.Log
	DataCentre string
	// Dial opens connections to endpoints.
	Dial upstream.DialFunc
	// Random returns a number below n; nil stands for the library's generator.
	Random func(n int) int
	// Capacity bounds the requests that the entry holds at once; 0 doesn't.
	Capacity int64
	// Metrics is what routing counts; nil stands for metrics that nobody reads.
	Metrics *Metrics

	directory atomic.Pointer[Directory]
	held      atomic.Int64

	// mu guards what the control loop changes and heartbeats read.
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	// retired are endpoints whose row changed while requests were in flight.
	retired  []*Endpoint
	pools    map[string]*Pool
	states   map[string]*state
	partners map[string]*partner
	tree     *settings.Tree
	word     ClusterState
	halved   time.Time
}

// Directory returns the newest directory, or nil before the first.
func (r *Router) Directory() *Directory { return r.directory.Load() }

// service returns what is known of the service of that name.
func (r *Router) service(name string) (*Service, error) {
	directory := r.directory.Load()
	if directory == nil {
		return nil, fault.New(fault.NotReady, "no settings yet").WithRetryAfter(retryDelay)
	}
	service, ok := directory.Services[name]
	if !ok {
		return nil, fault.New(fault.UnknownService, "service %q", name)
	}
	return service, nil
}

// Admit counts a request that the entry holds, and fails with kind Overloaded if the partner holds too many.
// A partner may hold as many requests as are still free, so that a flood always leaves room for others.
func (r *Router) Admit(name string) (leave func(), err error) {
	service, err := r.service(name)
	if err != nil {
		return nil, err
	}
	s := service.state
	free := r.Capacity - r.held.Load()
	if r.Capacity > 0 && s.partner.held.Load() >= free {
		s.results.WithLabelValues(fault.Overloaded.String()).Inc()
		return nil, fault.New(fault.Overloaded, "the partner has too many requests here").WithRetryAfter(service.pool.comeBack())
	}
	r.held.Add(1)
	s.partner.held.Add(1)
	s.inFlight.Inc()
	return func() {
		r.held.Add(-1)
		s.partner.held.Add(-1)
		s.inFlight.Dec()
	}, nil
}

// Do sends the request and reads the whole answer into response.
func (r *Router) Do(request *Request, response *fasthttp.Response) error {
	service, err := r.service(request.Service)
	if err != nil {
		return err
	}
	began := time.Now()
	service.state.budget.earn(service.RetryBudget)
	err = r.send(service, request, response)
	service.state.latency.Observe(time.Since(began).Seconds())
	if err == nil {
		service.state.ran.Inc()
		return nil
	}
	failure := fault.As(err)
	service.state.results.WithLabelValues(failure.Kind().String()).Inc()
	if failure.Outcome() == fault.NotRun && failure.RetryAfter() == 0 {
		return failure.WithRetryAfter(retryDelay)
	}
	return err
}

// send sends the request until it is answered, may not be repeated, or no retry is left.
func (r *Router) send(service *Service, request *Request, response *fasthttp.Response) error {
	repeatable := request.Repeatable || service.RepeatablePost && request.HTTP.Header.IsPost()
	var places [maxAttempts]*Endpoint
	tried := places[:0]
	var last error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !r.mayRetry(service, request, repeatable, last) {
			return last
		}
		chosen, err := r.choose(service, request.Deadline, tried)
		if err != nil {
			return firstError(last, err)
		}
		r.logChoice(request, chosen, attempt)
		call := &upstream.Call{
			Request: request.HTTP, Response: response, Deadline: request.Deadline, NonRepeatable: !repeatable, Limits: service.Limits,
		}
		if attempt > 1 {
			// The second attempt may take its time, in case the service is slow and the endpoint sound.
			call.Limits.FirstByte = 0
		}
		last = r.attempt(service, chosen.endpoint, call)
		if last == nil {
			return nil
		}
		if !call.StaleConnection() {
			tried = append(tried, chosen.endpoint)
		}
	}
	return last
}

// firstError returns the failure of an earlier attempt if there was one.
func firstError(earlier, now error) error {
	if earlier != nil {
		return earlier
	}
	return now
}

func (r *Router) mayRetry(service *Service, request *Request, repeatable bool, last error) bool {
	if !repeatable && fault.As(last).Outcome() != fault.NotRun {
		return false
	}
	if !time.Now().Before(request.Deadline) || !service.state.budget.take(service.RetryBudget) {
		return false
	}
	service.state.retries.Inc()
	return true
}

// choose takes a slot of an endpoint that was not tried before, and waits for one if need be.
func (r *Router) choose(service *Service, deadline time.Time, tried []*Endpoint) (choice, error) {
	pool := service.pool
	chosen, ok := pool.pick(r.random, tried)
	if ok {
		return chosen, nil
	}
	if len(pool.endpoints()) <= len(tried) {
		return choice{}, pool.none(string(service.Path))
	}
	return pool.wait(service, deadline, tried)
}

func (r *Router) random(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

// attempt sends the request to the endpoint and gives the slot back.
func (r *Router) attempt(service *Service, e *Endpoint, call *upstream.Call) error {
	began := time.Now()
	left := max(call.Deadline.Sub(began).Milliseconds(), 1)
	call.Request.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10)+"ms")
	err := e.upstream.Do(call)
	if call.Leaving() {
		e.signalled.Store(true)
		e.leaving.Store(true)
	}
	r.note(service, e, call, err, began)
	e.release()
	return err
}

// note takes in what an attempt says of the endpoint.
func (r *Router) note(service *Service, e *Endpoint, call *upstream.Call, err error, began time.Time) {
	now := time.Now()
	pool := e.pool
	if err == nil {
		e.health.answered.Store(now.UnixNano())
		pool.answered.Store(now.UnixNano())
	}
	if err == nil && call.Response.StatusCode() < fasthttp.StatusInternalServerError {
		learn(&pool.typical, now.Sub(began))
		learn(&service.state.typical, now.Sub(began))
		pool.ok.Add(1)
		e.health.worked()
		return
	}
	if call.StaleConnection() {
		return
	}
	if fault.IsKind(err, fault.EndpointRefused) {
		e.refused()
	}
	pool.failed.Add(1)
	if e.health.broke() && pool.judge(e, now) {
		r.ejected(e, "failures")
	}
}

func (r *Router) logChoice(request *Request, chosen choice, attempt int) {
	if !r.Log.Enabled(event.RouteDecided) {
		return
	}
	fields := event.Fields{
		"request": request.ID, "service": request.Service, "endpoint": chosen.endpoint.key, "attempt": attempt,
		"reason": string(chosen.reason), "in_flight": chosen.endpoint.InFlight(),
	}
	if chosen.other != nil {
		fields["other"] = chosen.other.key
		fields["other_in_flight"] = chosen.other.InFlight()
	}
	r.Log.Write(event.RouteDecided, fields)
}

func (r *Router) ejected(e *Endpoint, reason string) {
	r.Metrics.ejections.Inc()
	r.Log.Write(event.RouteEndpointEjected, event.Fields{"endpoint": e.key, "reason": reason})
}
