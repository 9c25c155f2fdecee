// Package daemon implements the entry process that runs with the product's own settings: it connects the packages under
// keel to listeners for callers, operators and peers, and to one control loop.
//
// The control loop owns the entry's replica of the control rows (instances, pools, settings, waves). The entries of a
// data centre take turns at reading the table; the others learn of changes from heartbeats and pull the missing rows
// from a peer, so that an entry that is partitioned from the platform still follows. Heartbeats also carry the requests
// that an entry has in flight for each instance, which waves and repairs use to decide whether an instance may leave.
//
// Requests of callers run outside the loop. They read the directory that the router publishes from the replica, and
// claims read a snapshot of the entry's lease, its peers' addresses and its share of the table's rate.
package daemon
