// Package configcheck checks a version of the configuration before it is sent: what is wrong in it, which of its entries can never
// match, which limits contradict each other, and what differs from the version in force.
package configcheck
