// Package claim makes requests with an idempotency key run at most once.
//
// Service.Begin claims a key by a row in the platform's table before its request is sent; the outcome is committed to
// the row afterwards. An entry that finds the claim of another entry queries that entry, the holder, for the outcome. A
// request whose outcome is unknown isn't sent again. Batcher commits the rows of many requests in shared transactions,
// paced so that all entries together stay within the table's rate. Sweeper removes claims that are older than their
// retention.
package claim
