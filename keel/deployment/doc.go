// Package deployment defines the settings that the platform gives an entry process at its start: the entry's name and
// addresses, the limits of its instance, the times that the deployment guarantees, and the services to connect to.
package deployment
