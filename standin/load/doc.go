// Package load generates load for entries and endpoints.
//
// TicketGenerator sends tickets through entries. A ticket is a request with an ID of its own; the endpoints of package
// endpoint count the runs of each, so that the report shows tickets that were lost or ran twice. RateGenerator sends
// requests at a fixed rate, to entries or straight to endpoints, and reports latencies and goodput.
package load
