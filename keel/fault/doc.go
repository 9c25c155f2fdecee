// Package fault defines the error kinds and the table of their HTTP statuses, outcomes, retry advice and exit codes.
//
// Every error that a process returns to a caller, an operator or a peer has exactly one kind. An Error is written to an
// HTTP response as a Problem and read from it by FromProblem.
package fault
