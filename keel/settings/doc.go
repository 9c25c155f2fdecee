// Package settings defines the settings that operators edit and stores them as a tree.
//
// The tree has four levels: the root, the partners, their pools and the services of a pool. A node inherits each value
// from its parent unless it overrides it.
//
// A Change is a set of edits that Store.Change applies in one transaction to the rows under Prefix. Every accepted
// change increments the tree's revision and adds a row to the history. State builds the tree from those rows.
// The Definitions list every setting with its type, default and range; Page renders them as docs/SETTINGS.md.
package settings
