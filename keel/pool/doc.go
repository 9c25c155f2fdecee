// Package pool holds the rows of pools and enforces their availability budget.
//
// The row of a pool stores the number of its members and a permit for each instance that is out of service. Limits,
// from the settings, define how many instances may be out of service at once. A planned removal needs a permit within
// the budget; an instance that fails gets one in any case, which uses up the budget.
package pool
