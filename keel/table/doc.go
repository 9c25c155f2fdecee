// Package table is the interface to the transactional store that keeps all state that must survive process restarts.
//
// The store has named tables, which are divided into partitions of rows. A transaction is atomic within one partition.
package table
