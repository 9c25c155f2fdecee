// Package duty keeps the membership of entries and assigns the duties, which are fenced leases under which an entry
// does control work.
//
// Each entry renews one member row. Each duty has a row that names its holder and an epoch. A member lapses once its
// row has not changed for one lease, measured by the clock of another entry that could renew its own row for all of
// that time. One live entry then marks the member row as lapsed and assigns the member's duties to live members in one
// transaction. A holder that was only paused finds its row changed and registers again under a new incarnation. Its
// late writes fail, since each transaction has the duty's row among its conditions.
//
// The marked row stays until the process is known to have ended, since an entry that is partitioned from the platform
// continues to serve requests. It is removed by a later session of the same entry at the same address, or by an
// operator.
package duty
