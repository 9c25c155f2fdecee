// Package rowset caches the table's rows under a key prefix, decoded to a Go type, with the versions that conditional
// writes need.
package rowset
