package wave

import (
	"slices"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/pool"
)

// Progress reports how far a wave has come.
type Progress struct {
	Wave Record `json:"wave"`
	// Done is the number of instances maintained.
	Done int `json:"done"`
	// Out is the number of instances out of service for this wave.
	Out int `json:"out"`
	// Waiting is the number of instances that the wave has yet to take out of service.
	Waiting int `json:"waiting"`
	// Lost is the number of failed instances; the wave doesn't wait for them.
	Lost     int      `json:"lost"`
	LostKeys []string `json:"lost_instances,omitempty"`
	// Remaining is the time to the end, estimated from the time taken so far.
	Remaining time.Duration `json:"left_ns,omitempty"`
	// Waits holds the reasons for which instances wait, by pool.
	Waits map[string][]Wait `json:"waits,omitempty"`
}

// NewProgress returns the progress of the wave, without the fields that Estimate and Explain set.
func NewProgress(view View, row Versioned) Progress {
	p := Progress{Wave: row.Value}
	pools := make(map[string]pool.Versioned)
	for _, name := range row.Value.Pools {
		pools[name] = pool.Find(view.Pools(), name)
	}
	for instanceRow := range view.Inventory().All {
		poolRow, covered := pools[instanceRow.Value.Pool]
		if covered {
			p.countInstance(instanceRow, poolRow.Value.Permits[instanceRow.Key()])
		}
	}
	slices.Sort(p.LostKeys)
	return p
}

func (p *Progress) countInstance(row instance.Versioned, permit pool.Permit) {
	ownPermit := permit.Reason == pool.ReasonWave && permit.RequestedBy == p.Wave.ID
	switch {
	case ownPermit:
		p.Out++
	case slices.Contains(row.Value.Waves, p.Wave.ID):
		p.Done++
	case row.Value.State == instance.Failed:
		p.Lost++
		p.LostKeys = append(p.LostKeys, row.Key())
	default:
		p.Waiting++
	}
}

// Estimate sets Remaining as of the time now.
func (p *Progress) Estimate(now time.Time) {
	unfinished := p.Out + p.Waiting
	elapsed := now.Sub(time.UnixMilli(p.Wave.StartedMillis))
	if p.Wave.Unfinished() && p.Done > 0 && unfinished > 0 {
		p.Remaining = (elapsed * time.Duration(unfinished) / time.Duration(p.Done)).Round(time.Second)
	}
}

// Explain sets Waits from this entry's view; it leaves out what only the holder of the duty knows, such as running
// tasks.
func (p *Progress) Explain(view View, usage Usage) {
	p.Waits = make(map[string][]Wait)
	if p.Wave.State != Running {
		return
	}
	snapshots := Snapshots(view, func(member *Member) {
		switch member.Value.State {
		case instance.InService:
			member.Blocked = usage.BlockedReason(member.Value.DataCentre)
		case instance.Leaving:
			member.Busy = usage.BusyReason(member.Versioned)
		case instance.Drained:
			// The holder of the duty requests the reboot as soon as it has drained the instance.
			member.RebootRequested, member.RebootAccepted = true, true
		}
	})
	for _, s := range snapshots {
		waits := Decide(s).Waits
		if p.Wave.Covers(s.Pool.Value.Name) && len(waits) > 0 {
			p.Waits[s.Pool.Value.Name] = waits
		}
	}
}
