// Package leader elects the entry that schedules tasks, by a lease in the store.
//
// The lease is replicated in three rows, each in its own partition, so that it stays valid while one partition is
// unavailable. The holder is the entry that a quorum of the rows names. The rows also store the epoch, which is the
// fencing token of the holder's orders. A holder acts only while its renewals of a quorum of the rows have not expired,
// measured on a clock that keeps counting while the machine is suspended.
package leader
