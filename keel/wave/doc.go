// Package wave plans and runs maintenance waves, in which every instance of some pools is drained, rebooted and
// returned to service within the pools' availability budgets.
//
// A wave is a row (Record) that operators create, pause, resume and abort. NewPlan estimates its roll-out and decides
// how many spare instances each pool is lent; Input collects what the planner needs, also for a dry run. While an entry
// holds the duty DutyName, its Controller takes a Snapshot of each affected pool at an interval, calls Decide for the
// next changes, commits them in one transaction conditional on the rows read, and requests the reboots. Progress
// reports how far a wave has come and why instances wait.
package wave
