package platform

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

// Elements of a platform call over HTTP.
const (
	// PathPrefix is the path of a call without its method.
	PathPrefix = "/v1/"
	// HeaderDataCentre is the header with the data centre of the caller.
	HeaderDataCentre = "X-Data-Centre"
)

// HTTP calls the platform's service over HTTP with JSON bodies.
type HTTP struct {
	Address    string
	DataCentre string
	// Timeout is the timeout of a call whose context has no deadline.
	Timeout time.Duration
	// MaxConns is the maximum number of connections to the platform.
	MaxConns int
	// Wrap wraps each new connection unless it is nil.
	Wrap func(net.Conn) net.Conn

	client *fasthttp.HostClient
}

// Client returns a client that calls the platform over HTTP.
func (h *HTTP) Client() *Client {
	h.client = &fasthttp.HostClient{
		Addr:                      h.Address,
		MaxConns:                  h.MaxConns,
		MaxIdemponentCallAttempts: 1,
		// Retries are left to the caller, which knows whether a call may be repeated.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		// Unlike Dial, DialTimeout receives the time that is left until the call's deadline.
		DialTimeout: h.dial,
	}
	return &Client{Call: h.call}
}

func (h *HTTP) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = h.Timeout
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil || h.Wrap == nil {
		return conn, err
	}
	return h.Wrap(conn), nil
}

func (h *HTTP) call(ctx context.Context, method string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode %s", method)
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + h.Address + PathPrefix + method)
	request.Header.Set(HeaderDataCentre, h.DataCentre)
	request.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(h.Timeout)
	}
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return fault.New(fault.PlatformUnavailable, "%s: deadline passed before the call", method)
	}
	request.SetTimeout(remaining)
	err = h.client.Do(request, response)
	if err != nil {
		return callError(err, method)
	}
	return decodeResponse(response, method, out)
}

// callError returns the error of a failed call, with outcome not_run if the dial failed, else unknown.
func callError(err error, method string) error {
	failure := fault.Wrap(fault.PlatformUnavailable, err, "%s", method)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return failure
	}
	return failure.WithOutcome(fault.Unknown)
}

func decodeResponse(response *fasthttp.Response, method string, out any) error {
	if response.StatusCode() != fasthttp.StatusOK {
		var problem fault.Problem
		err := json.Unmarshal(response.Body(), &problem)
		if err != nil {
			return fault.New(fault.PlatformUnavailable, "%s: status %d", method, response.StatusCode()).WithOutcome(fault.Unknown)
		}
		return fault.FromProblem(problem)
	}
	err := json.Unmarshal(response.Body(), out)
	if err != nil {
		return fault.Wrap(fault.PlatformUnavailable, err, "%s: decode response", method).WithOutcome(fault.Unknown)
	}
	return nil
}
