// Package provider is the seam to the instances themselves: their list, their moves between pools and their maintenance.
package provider
