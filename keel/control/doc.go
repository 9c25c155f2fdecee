// Package control provides the event loop whose goroutine owns a process's control state.
//
// Other packages post functions to the loop, which runs them one at a time, so that the state needs no locks. Work that
// may block runs in a worker pool, and its result is posted to the loop.
package control
