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

// HeaderTimeout is the header with the remaining time of a request, as a duration such as 1500ms.
const HeaderTimeout = "Request-Timeout"

// defaultRetryAfter is the delay before a retry that a rejected caller is given if no better estimate exists.
const defaultRetryAfter = time.Second

// maxAttempts is the maximum number of attempts of one request, the first included.
const maxAttempts = 3

// Request is a caller's request on its way to an endpoint.
type Request struct {
	// ID identifies the request in the log.
	ID string
	// Service is "partner/service".
	Service string
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	Deadline   time.Time
	HTTP       *fasthttp.Request
	// Hold is upstream.Call's.
	Hold func(bytes int64) error
}

// Router sends requests to endpoints; its methods are safe for concurrent use unless they say otherwise.
type Router struct {
	Log        *event.Log
	DataCentre string
	// Dial opens connections to endpoints.
	Dial upstream.DialFunc
	// Random returns a number in [0, n); nil means rand.IntN.
	Random func(n int) int
	// Capacity limits the requests in flight at this entry; 0 means no limit.
	Capacity int64
	// Current reports whether the directory is known to be up to date; nil means that it always is.
	Current func() bool
	// Metrics may be nil; unregistered metrics are then used.
	Metrics *Metrics

	directory atomic.Pointer[Directory]
	inFlight  atomic.Int64

	// mu guards the fields below, which the control loop changes and heartbeats read.
	mu        sync.Mutex
	endpoints map[string]*Endpoint
	// retired holds replaced endpoints until nothing is in flight to them.
	retired   []*Endpoint
	pools     map[string]*Pool
	states    map[string]*serviceState
	partners  map[string]*partnerState
	tree      *settings.Tree
	observed  ClusterState
	lastDecay time.Time
}

// Directory returns the current directory, or nil if none has been published.
func (r *Router) Directory() *Directory { return r.directory.Load() }

// Find returns the service named "partner/service". It fails with kind UnknownService if there is none, and with kind
// NotReady if that isn't known.
func (r *Router) Find(name string) (*Service, error) {
	// The directory may be replaced by a newer one after the check.
	current := r.Current == nil || r.Current()
	directory := r.directory.Load()
	if directory == nil {
		return nil, fault.New(fault.NotReady, "this entry has not loaded its settings yet").WithRetryAfter(defaultRetryAfter)
	}
	service, ok := directory.Services[name]
	switch {
	case ok:
		return service, nil
	case !current:
		return nil, fault.New(fault.NotReady, "no service %q known, and the settings of this entry may be out of date", name).WithRetryAfter(defaultRetryAfter)
	}
	return nil, fault.New(fault.UnknownService, "service %q", name)
}

// Admit counts a request to the service, "partner/service", as in flight until release is called; it fails with kind
// Overloaded if the partner has too many. A partner may have at most as many requests in flight as the entry has
// capacity left, so that one that floods the entry always leaves capacity for others.
func (r *Router) Admit(name string) (release func(), err error) {
	service, err := r.Find(name)
	if err != nil {
		return nil, err
	}
	s := service.state
	free := r.Capacity - r.inFlight.Load()
	if r.Capacity > 0 && s.partner.inFlight.Load() >= free {
		s.results.WithLabelValues(fault.Overloaded.String()).Inc()
		return nil, fault.New(fault.Overloaded, "the partner has too many requests in flight at this entry").WithRetryAfter(service.pool.retryAfter())
	}
	r.inFlight.Add(1)
	s.partner.inFlight.Add(1)
	s.inFlight.Inc()
	return func() {
		r.inFlight.Add(-1)
		s.partner.inFlight.Add(-1)
		s.inFlight.Dec()
	}, nil
}

// Do sends the request and reads the whole response; if the service exists, an error with outcome not_run carries a
// delay before a retry.
func (r *Router) Do(request *Request, response *fasthttp.Response) error {
	service, err := r.Find(request.Service)
	if err != nil {
		return err
	}
	start := time.Now()
	service.state.retryBudget.addRequest(service.RetryBudget)
	err = r.send(service, request, response)
	service.state.latency.Observe(time.Since(start).Seconds())
	if err == nil {
		service.state.ran.Inc()
		return nil
	}
	failure := fault.As(err)
	service.state.results.WithLabelValues(failure.Kind().String()).Inc()
	if failure.Outcome() == fault.NotRun && failure.RetryAfter() == 0 {
		return failure.WithRetryAfter(defaultRetryAfter)
	}
	return err
}

// send sends the request and retries it until it succeeds, may not be repeated, or has no attempt or retry budget left.
func (r *Router) send(service *Service, request *Request, response *fasthttp.Response) error {
	repeatable := request.Repeatable || service.RepeatablePost && request.HTTP.Header.IsPost()
	var buffer [maxAttempts]*Endpoint
	tried := buffer[:0]
	var lastErr error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !r.mayRetry(service, request, repeatable, lastErr) {
			return lastErr
		}
		chosen, err := r.choose(service, request.Deadline, tried)
		if err != nil {
			return firstError(lastErr, err)
		}
		r.logChoice(request, chosen, attempt)
		call := &upstream.Call{
			Request: request.HTTP, Response: response, Deadline: request.Deadline, NonRepeatable: !repeatable, Limits: service.Limits,
			Hold: request.Hold,
		}
		if attempt > 1 {
			// A retry has no first-byte timeout: the first attempt may have timed out because the service is slow, not
			// because the endpoint failed.
			call.Limits.FirstByte = 0
		}
		lastErr = r.attempt(service, chosen.endpoint, call)
		if lastErr == nil {
			return nil
		}
		if !call.StaleConnection() {
			tried = append(tried, chosen.endpoint)
		}
	}
	return lastErr
}

// firstError returns the error of an earlier attempt if there was one.
func firstError(earlier, current error) error {
	if earlier != nil {
		return earlier
	}
	return current
}

// mayRetry reports whether the request may be sent again after lastErr; if so, it withdraws a retry from the budget.
func (r *Router) mayRetry(service *Service, request *Request, repeatable bool, lastErr error) bool {
	if !repeatable && fault.As(lastErr).Outcome() != fault.NotRun {
		return false
	}
	if fault.IsKind(lastErr, fault.Overloaded) {
		// This entry has no memory for the response, whichever endpoint sends it.
		return false
	}
	if !time.Now().Before(request.Deadline) || !service.state.retryBudget.withdraw(service.RetryBudget) {
		return false
	}
	service.state.retries.Inc()
	return true
}

// choose acquires a slot of an endpoint that isn't in tried, and waits for one if necessary.
func (r *Router) choose(service *Service, deadline time.Time, tried []*Endpoint) (choice, error) {
	pool := service.pool
	chosen, ok := pool.pick(r.random, tried)
	if ok {
		return chosen, nil
	}
	if len(pool.endpoints()) <= len(tried) {
		return choice{}, pool.noEndpointError(string(service.Path))
	}
	return pool.wait(service, deadline, tried)
}

func (r *Router) random(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

// attempt sends the request to the endpoint and releases the slot.
func (r *Router) attempt(service *Service, e *Endpoint, call *upstream.Call) error {
	start := time.Now()
	remaining := max(call.Deadline.Sub(start).Milliseconds(), 1)
	call.Request.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10)+"ms")
	err := e.upstream.Do(call)
	if call.Leaving() {
		e.signalled.Store(true)
		e.leaving.Store(true)
	}
	r.recordResult(service, e, call, err, start)
	e.release()
	return err
}

// recordResult updates the endpoint's health, its limit and the service times from the result of an attempt.
func (r *Router) recordResult(service *Service, e *Endpoint, call *upstream.Call, err error, start time.Time) {
	now := time.Now()
	pool := e.pool
	if err == nil {
		e.health.lastResponse.Store(now.UnixNano())
		pool.lastResponse.Store(now.UnixNano())
	}
	if err == nil && call.Response.StatusCode() < fasthttp.StatusInternalServerError {
		updateAverage(&pool.avgServiceTime, now.Sub(start))
		updateAverage(&service.state.avgServiceTime, now.Sub(start))
		pool.ok.Add(1)
		e.health.recordSuccess()
		return
	}
	if call.StaleConnection() || fault.IsKind(err, fault.Overloaded) {
		return
	}
	if fault.IsKind(err, fault.EndpointRefused) {
		e.lowerLimit()
	}
	pool.failed.Add(1)
	if e.health.recordFailure() && pool.ejectOutlier(e, now) {
		r.recordEjection(e, "failures")
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

func (r *Router) recordEjection(e *Endpoint, reason string) {
	r.Metrics.ejections.Inc()
	r.Log.Write(event.RouteEndpointEjected, event.Fields{"endpoint": e.key, "reason": reason})
}
