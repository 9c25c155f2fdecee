package event

import "github.com/sirupsen/logrus"

// LeaseRowsKept is the event of the rows of the leader's lease.
const LeaseRowsKept ID = 1250

var leaseEvents = []Definition{
	{LeaseRowsKept, "lease_rows_kept", logrus.InfoLevel, "the number of the lease's rows whose renewals are valid has changed; the leader goes on while it keeps as many as are needed, for 13.5 s at most while it keeps fewer than two of the first three, and another entry can't replace it while two rows are unavailable", []string{"epoch", "kept", "rows", "needed"}},
}
