// Package site runs one entry on the users' platform.
//
// An Entry accepts callers' requests over HTTP and stores submitted jobs, or has the leader store them while the store
// is unavailable to this entry. It follows the operator's table for the configuration and the waves. Entries compete
// for the leader's lease; the holder runs the scheduler, which places tasks on workers, and serves the other entries'
// requests for the state, the cancellation and the pending count of jobs. All state of the scheduler belongs to the
// control loop; handlers of callers and peers run functions on it.
package site
