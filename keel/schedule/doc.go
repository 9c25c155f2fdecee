// Package schedule implements the leader's task scheduler. It holds the state of every open job and every worker,
// decides which task starts on which worker, moves instances between pools, runs maintenance waves and stores the
// results in the ledger. Entries on the users' platform use it; package job schedules for entries that run with the
// product's own settings.
//
// A job consists of steps and a step of identical tasks; a run is one attempt at a task. Long-running tasks run until
// their job is cancelled, best-effort tasks use idle processor time, and the tasks of a gang start together. A worker
// is one boot of an instance in one pool; instances in a spare pool run nothing. A job's objective is the time by which
// it should be completed.
//
// A Scheduler serves one epoch of the leader's lease; all of its state belongs to the control loop. It first loads the
// ledger and fences every worker that may run tasks of earlier epochs. A job that such a worker may be running starts
// no new tasks until the worker has accepted this epoch or its lease has expired. Then it works in passes: plan places
// waiting tasks on the workers of their pools, rebalance moves instances between pools according to demand, and
// advanceWaves takes instances down for maintenance. Workers report the ends of runs with their lease renewals, and
// ledgerWriter stores the resulting changes in batches. No outcome is shown to callers, and no end of a run is
// acknowledged to its worker, before the change is stored.
package schedule
