// Package platform is a client of the platform's service: a transactional table, an object store, the instance list,
// orders to instances, and tasks on workers.
//
// Client has a method for each call, HTTP is the transport, Reader batches reads of rows, and Metrics counts calls. The
// package makes no control decisions. Entries that run with the product's own settings use it; the client of the users'
// platform is package samphirekeel.example/platform.
//
// A transaction may be committed although its response is lost; Client.Commit resolves that by reading the written
// rows, which have the transaction's token.
package platform
