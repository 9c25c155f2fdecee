// Package provider is the interface to the platform's instance service, which lists instances, moves them between pools
// and takes them down for maintenance.
package provider
