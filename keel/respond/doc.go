// Package respond writes values and errors to HTTP responses.
package respond
