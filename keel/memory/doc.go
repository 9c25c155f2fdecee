// Package memory owns the memory that clients can make an entry hold: connections, headers, bodies, their decoded form, responses and
// the kernel's queues.
//
// An Owner divides the memory among the listeners of the entry. Each connection of a listener has a Hold, which grows before memory is
// taken. If there is no room, the connections that have kept the entry waiting for longest are closed, then the idle ones; if that isn't
// enough, the request or the new connection is refused. A request that is being served is never given up.
package memory
