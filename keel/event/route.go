package event

import "github.com/sirupsen/logrus"

// The events of routing.
const (
	RouteDecided ID = 200 + iota
	RouteEndpointLeaving
	RouteEndpointReturned
	RouteEndpointEjected
	RouteEndpointRestored
	RoutePoolAway
)

var routeEvents = []Definition{
	{RouteDecided, "route_decided", logrus.InfoLevel, "an endpoint is chosen for a request", []string{"request", "service", "endpoint", "attempt", "reason", "in_flight", "other", "other_in_flight"}},
	{RouteEndpointLeaving, "route_endpoint_leaving", logrus.InfoLevel, "an endpoint gets no new work from now on", []string{"endpoint", "reason"}},
	{RouteEndpointReturned, "route_endpoint_returned", logrus.InfoLevel, "an endpoint may get new work again", []string{"endpoint"}},
	{RouteEndpointEjected, "route_endpoint_ejected", logrus.WarnLevel, "an endpoint that fails or stalls is put in quarantine", []string{"endpoint", "reason"}},
	{RouteEndpointRestored, "route_endpoint_restored", logrus.InfoLevel, "the quarantine of an endpoint ends", []string{"endpoint"}},
	{RoutePoolAway, "route_pool_away", logrus.WarnLevel, "a pool without endpoints in this entry's data centre starts or stops using those in other data centres", []string{"pool", "away", "endpoints"}},
}
