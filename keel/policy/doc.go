// Package policy decides when an entry may call the placement policy service, which handles the calls of each entry in turn, and
// on how many workers a call should ask.
//
// Calls counts the calls in flight. A call that is given up costs the service as much as one that is awaited, so that calls are
// sent only as fast as the service answers them, and one that is late is awaited beside the next. Share learns which share of the
// workers a policy allows.
package policy
