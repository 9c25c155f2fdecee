// Package client calls the operators' API of the entries.
//
// A Client tries the entries in order. It sends a request to the next entry only if the previous one can't serve it and
// a second execution is impossible or harmless.
package client
