// Package gateway serves the HTTP requests of callers.
//
// Gateway parses each request, admits it and routes it to an endpoint. A request that is not repeatable and has an
// idempotency key is claimed before it is sent and its response is recorded, so that a retry gets the same response. A
// request of a sequence is delayed until the previous one has completed. Jobs serves the paths under /jobs. Every
// failure is returned as a problem document that states the outcome of the request.
package gateway
