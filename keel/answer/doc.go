// Package answer writes values and errors to HTTP responses.
package answer
