// Package fleet holds an entry's view of the fleet: the control rows, the instance list and the peers' heartbeats.
//
// View keeps a copy of the control rows and applies each change to the sets that are decoded from them: inventory,
// pools, waves and settings. The control loop of an entry owns the view; nothing in it is safe for concurrent use.
package fleet
