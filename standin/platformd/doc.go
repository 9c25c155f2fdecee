// Package platformd serves the fake platform of package platformtest over HTTP, with a path that sets the failures to
// simulate and one that returns counters.
package platformd
