// Package event defines the numbered log events and the logger that writes them.
//
// Each file of this package defines the events of one subsystem. Callers pass an ID and the fields of one occurrence to
// Log.Write, which looks up the level and the name. Bounded limits the rate of lines and never blocks its callers.
// docs/EVENTS.md is the catalogue; a test compares it with the definitions.
package event
