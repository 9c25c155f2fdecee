// Package platformtest is an in-memory fake of the platform's service, for tests and for the standin program.
//
// Platform serves all methods of the service; Switches makes its calls fail as they do for a client of the real
// platform, for example with outages and lost responses.
package platformtest
