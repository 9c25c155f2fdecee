// Package platformd serves the in-memory stand-in of package platformtest over HTTP, with a path that simulates
// failures and one that returns counters.
package platformd
