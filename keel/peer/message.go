package peer

import "samphirekeel.example/keel/platform"

// The methods between entries.
const (
	MethodBeat = "peer.beat"
	MethodRows = "rows.since"
	MethodAsk  = "claim.ask"
	MethodJobs = "jobs.changed"
)

// Heartbeat is the heartbeat of an entry.
type Heartbeat struct {
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	// Address is the address on which the entry answers its peers.
	Address string `json:"address"`
	// CheckedMillis is one more than the age in milliseconds of the moment at which the entry last knew
	// its control rows to be all that the table holds, and 0 if it never did.
	CheckedMillis int64 `json:"checked_ms,omitempty"`
	// AppliedVersion is the version of the newest control row that the entry has applied.
	AppliedVersion uint64 `json:"newest"`
	// SettingsRevision is the revision of the settings in force on the entry.
	SettingsRevision uint64 `json:"revision"`
	// InFlight holds the requests that the entry has in flight, by the key of the instance's row.
	InFlight map[string]int64 `json:"busy,omitempty"`
	// Leaving lists the instances that the entry knows at first hand to be leaving, by the keys of their rows.
	Leaving []string `json:"leaving,omitempty"`
}

// RowsRequest asks for the control rows written after a version.
type RowsRequest struct {
	After uint64 `json:"after"`
}

// RowsResult holds the rows as a scan of the table would.
type RowsResult struct {
	Result platform.ScanResult `json:"result"`
	// Complete reports that the sender's copy was whole at least once.
	Complete bool `json:"complete"`
}

// JobsNotice says that rows of the pool's jobs have changed.
type JobsNotice struct {
	Pool string `json:"pool"`
}
