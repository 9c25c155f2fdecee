// Package tenant holds the tenants of a configuration: which of them a caller's key belongs to, and what each of them may
// use of the workers.
package tenant
