// Package sequence delays each request of a sequence until the previous request of the sequence has completed.
//
// A request that names a sequence is claimed under the sequence's name and the request's number. The claim of the
// previous number is all the state that is needed: there is no row for the sequence itself.
package sequence
