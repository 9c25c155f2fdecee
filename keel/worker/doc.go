// Package worker is the model of workers: their registrations, the orders that they receive, and the runs of tasks that
// they report.
//
// A worker is one boot of an instance in one pool, or, where it says when it started, several under one ID. It remembers the highest fencing token that it has seen and rejects
// orders with a lower one. All runs on it end when its lease expires by its own clock.
package worker
