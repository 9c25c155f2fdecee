package peer

import "samphirekeel.example/keel/platform"

// The methods that entries call on each other.
const (
	MethodHeartbeat   = "peer.beat"
	MethodRows        = "rows.since"
	MethodQueryClaim  = "claim.ask"
	MethodJobsChanged = "jobs.changed"
)

// Heartbeat is the heartbeat of an entry.
type Heartbeat struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	// Address is the address on which the entry serves its peers.
	Address string `json:"address"`
	// CheckedMillis is 1 plus the time in milliseconds since the entry last verified that its copy of the control rows
	// is up to date with the table, and 0 if it never did.
	CheckedMillis int64 `json:"checked_ms,omitempty"`
	// AppliedVersion is the version of the newest control row that the entry has applied.
	AppliedVersion uint64 `json:"newest"`
	// SettingsRevision is the revision of the settings that the entry applies.
	SettingsRevision uint64 `json:"revision"`
	// InFlight holds the number of requests that the entry has in flight to each instance, by the key of the instance's
	// row.
	InFlight map[string]int64 `json:"busy,omitempty"`
	// Leaving lists the instances, by the keys of their rows, that are leaving according to their own responses or the
	// entry's copy of the instance list; what the entry learned from peers is not passed on.
	Leaving []string `json:"leaving,omitempty"`
}

// RowsRequest requests the control rows written after a version.
type RowsRequest struct {
	After uint64 `json:"after"`
}

// RowsResult holds the requested rows in the form of a scan of the table.
type RowsResult struct {
	Result platform.ScanResult `json:"result"`
	// Complete is true if the sender's copy of the control rows has been complete at least once.
	Complete bool `json:"complete"`
}

// JobsChanged notifies the peer that job rows of the pool have changed.
type JobsChanged struct {
	Pool string `json:"pool"`
}
