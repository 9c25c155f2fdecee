// Package leader elects the entry that schedules tasks, by a lease in the store.
//
// The lease is replicated in five rows, each in its own partition. Four of them acquire it and two keep it, so that it stays
// valid while three partitions are unavailable, and none is acquired that another entry may hold. The rows also store the
// epoch, which is the fencing token of the holder's orders. A holder acts only while its renewals of two rows have not expired,
// measured on a clock that keeps counting while the machine is suspended. Entries of earlier versions know the first three rows
// only, of which two acquire and keep the lease; docs/design/0093-leading-without-the-store.md tells how both go together.
package leader
