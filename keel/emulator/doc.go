// Package emulator is an in-memory emulator of the platform for tests: the store (Store), the instances with their
// workers and the instance service (Fleet), and the network between data centres (Network). Tests can inject the faults
// that the real platform has, such as lost and late responses, crashes and network partitions.
//
// Checker records every job and wave and checks the product's guarantees at each call, for example that no task runs
// twice and that disruption budgets are kept. Checker.Watch also checks that tasks that could run do run.
//
// The clients that the emulator returns are the same types that the platform's adapter provides. All times come from
// package time, so that a test can run a whole day on a fake clock.
package emulator
