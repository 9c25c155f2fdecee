package client

import (
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"samphirekeel.example/keel/fault"
)

// Client calls the entries, which all serve the same API: if one can't serve a call, it tries the next.
type Client struct {
	// Addresses are the addresses of the entries' operator listeners.
	Addresses []string
	Token     string
	// Timeout is the timeout of one call to one entry.
	Timeout time.Duration
}

// Get decodes the response to a GET request for path into out.
func (c *Client) Get(path string, out any) error {
	return c.call(fasthttp.MethodGet, path, nil, out, true)
}

// Post sends in to path and decodes the response into out; it tries the next entry only if the request had no effect.
func (c *Client) Post(path string, in, out any) error {
	return c.post(path, in, out, false)
}

// PostIdempotent is Post for an idempotent request, which may be sent again even if the first outcome is unknown.
func (c *Client) PostIdempotent(path string, in, out any) error {
	return c.post(path, in, out, true)
}

func (c *Client) post(path string, in, out any, idempotent bool) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(fault.Usage, err, "encode request")
	}
	return c.call(fasthttp.MethodPost, path, body, out, idempotent)
}

// call tries the entries in order and returns the last error if none can serve the request.
func (c *Client) call(method, path string, body []byte, out any, idempotent bool) error {
	err := error(fault.New(fault.Usage, "no entry address given"))
	for _, address := range c.Addresses {
		err = c.callEntry(address, method, path, body, out)
		if err == nil || !mayTryNext(err, idempotent) {
			return err
		}
	}
	return err
}

// mayTryNext reports whether the request may be sent to another entry after the error.
func mayTryNext(err error, idempotent bool) bool {
	switch fault.KindOf(err) {
	case fault.NotReady, fault.Stopping, fault.PlatformUnavailable:
		return idempotent || fault.As(err).Outcome() == fault.NotRun
	default:
		return false
	}
}

func (c *Client) callEntry(address, method, path string, body []byte, out any) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Token)
	request.SetBody(body)
	err := fasthttp.DoTimeout(request, response, c.Timeout)
	if err != nil {
		return wrapTransportError(address, method, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return decodeProblem(response.Body())
	}
	err = json.Unmarshal(response.Body(), out)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode response of %s", path)
	}
	return nil
}

// wrapTransportError returns an error whose outcome is unknown, unless the request was never sent or only reads.
func wrapTransportError(address, method string, err error) error {
	failure := fault.Wrap(fault.NotReady, err, "no response from entry %s", address)
	var operation *net.OpError
	unsent := errors.As(err, &operation) && operation.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout)
	if unsent || method == fasthttp.MethodGet {
		return failure
	}
	return failure.WithOutcome(fault.Unknown)
}

func decodeProblem(body []byte) error {
	var problem fault.Problem
	err := json.Unmarshal(body, &problem)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "decode error response %q", body)
	}
	return fault.FromProblem(problem)
}
