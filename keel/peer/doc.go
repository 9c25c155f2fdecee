// Package peer connects entries to each other by JSON-RPC 2.0 over TCP.
//
// A Node serves the links that peers open to it and opens one outgoing link to each peer on the first call. Heartbeats
// carry soft state, such as the requests in flight. Other calls fetch control rows that the table has committed, query
// the state of claims and notify of changed jobs. A link that fails or times out is closed and reopened by the next
// call; heartbeats to a peer that can't be reached are sent less often.
package peer
