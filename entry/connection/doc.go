// Package connection tracks the states of a server's connections, so that the server can stop without interrupting a
// request: Set.Finish waits for the requests in progress and then closes the connections.
package connection
