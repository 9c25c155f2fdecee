// Package repair reconciles the inventory with the platform's instance list and the settings. It adds listed instances
// to the inventory, marks failed ones in their pools' rows and replaces them with spares, moves instances between pools
// to match the settings, and corrects rows that contradict each other.
//
// While an entry holds the duty DutyName, its Controller takes a Snapshot of the fleet at an interval, calls Decide for
// the next step and commits the step in one transaction conditional on the rows read. Report lists discrepancies for
// operators, and Metrics exports the state of instances, pools and waves.
package repair
