// Package relay lets other entries carry the leader's orders to workers. The leader decides alone; on its behalf relays
// keep the connections to the workers, and exchange orders and responses with the leader in batches, so that the
// leader's cost of an order doesn't include a request of its own.
//
// Entries with enough processor time offer themselves to the leader. A Client is the leader's side; it implements the
// calls of worker.Client and selects a relay in the worker's data centre. A Server is the relay's side. A relay decides
// nothing and keeps no state beyond the calls in progress: an order that is lost on the way is, to the scheduler, an
// order without a response. An order carries its expiry on the relay's clock, so that a relay that was suspended or cut
// off doesn't send orders that the leader has given up.
package relay
