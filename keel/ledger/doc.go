// Package ledger keeps jobs in the store: submissions, which any entry writes, and the progress and outcomes of jobs,
// which only the leader writes.
//
// Submissions are spread over partitions by a hash of the job's ID, so that a burst doesn't saturate one partition. The
// leader writes to a few partitions of its own. Each has a guard row with the leader's epoch, on whose version every
// write is conditional, so that late writes of an earlier leader are rejected. The leader may write a row to any of its
// partitions, so that it continues while one is unavailable; a row that exists in several partitions is merged when it
// is read. Merging is safe because information is only ever added to such rows.
package ledger
