// Package connection serves HTTP to clients that may not behave: what their connections and requests hold is held in the account of their
// listener before it is taken, and slow ones are closed. Set tracks the states of a server's connections, so that the server can stop
// without interrupting a request: Set.Finish waits for the requests in progress and then closes the connections.
package connection
