// Package instance holds the inventory and this process's copy of the instance list.
//
// The inventory has one row for each instance, with its size, its pool and its state in the pool; entries change it in
// transactions. The instance list comes from the platform, lags behind, and shows which instances exist and which are
// live.
package instance
