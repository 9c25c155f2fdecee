// Package upstream sends requests to endpoints over pooled HTTP/1.1 connections and classifies failures.
//
// Each connection carries one request at a time. A Pool holds the idle connections to one endpoint and closes those
// that the endpoint has closed or that may be stale. The error of a failed request carries its outcome: not_run only if
// no byte of the request was written or the endpoint rejected it with HeaderOutcome, and unknown otherwise.
package upstream
