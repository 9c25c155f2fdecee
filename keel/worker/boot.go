package worker

// Boot identifies one boot of a worker. A worker may boot again under the ID that it had; it then runs nothing, has accepted no
// fencing token and knows no ends, and its clock and the numbers of its ends start anew.
type Boot struct {
	ID string
	// Started is when the worker booted, in milliseconds since 1970 by the worker's time of day; 0 if the worker doesn't say.
	Started int64
}

// IsOther reports whether it is certain that both are different boots. Those of one ID are only told apart if the start of
// both is known, and the zero value isn't told apart from any.
func (b Boot) IsOther(o Boot) bool {
	if b.ID != o.ID {
		return b.ID != "" && o.ID != ""
	}
	return b.Started != 0 && o.Started != 0 && b.Started != o.Started
}

// IsBefore reports whether b is an earlier boot under the same ID, as far as the time of day on the worker can be trusted.
func (b Boot) IsBefore(o Boot) bool { return b.ID == o.ID && b.IsOther(o) && b.Started < o.Started }
