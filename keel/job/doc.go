// Package job schedules jobs on the workers of pools and runs them as tasks under leases, on entries that run with the
// product's own settings; package schedule does so for entries on the users' platform.
//
// Service accepts, cancels and lists the jobs of callers, on every entry, and batches their changes to job rows. The
// jobs of each pool are scheduled by the entry that holds the pool's duty. Its Controller has a poolScheduler for the
// pool, which reads only the pool's rows. A planner decides from them by plain functions; the decisions are committed
// in paced transactions of many rows, one in flight at a time. The poolScheduler then makes the platform calls that the
// rows require: start, stop, checkpoint and renewal of a task's lease. Each transaction has the duty as a condition and
// each call carries its epoch as a fence, so that an entry that has lost the duty changes nothing.
//
// The planner places each job on the worker that is its best fit (Index), serves the service that uses the smallest
// share of its quota first (ServiceUsage), sizes jobs by what earlier tasks of the service used (UsageFactors),
// preempts for urgent and starved jobs, and quarantines workers on which jobs of different services fail.
package job
