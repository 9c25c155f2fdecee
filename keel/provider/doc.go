// Package provider is the interface to the platform's instances: their list, moves between pools, and maintenance.
package provider
