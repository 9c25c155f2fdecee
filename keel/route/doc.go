// Package route selects the endpoint of a request, limits queueing and retries, and sends the request.
//
// The control loop gives the Router instance rows and settings (Publish, Update) and what peers report (Refresh); the
// Router publishes them as an immutable Directory of services. Requests read the current Directory and change atomic
// counters only, unless they have to wait. The services of a pool share a Pool of endpoints: Pool.pick compares two
// random endpoints by load, and a request that finds no free slot waits in the queue of its service. Each Endpoint has
// a limit, this entry's share of its slots, and is quarantined when it fails more than the rest of its pool or stalls.
// A pool without endpoints in the entry's own data centre uses those of data centres from which heartbeats arrive.
package route
