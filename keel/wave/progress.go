package wave

import (
	"slices"
	"time"

	"samphirekeel.example/keel/instance"
	"samphirekeel.example/keel/pool"
)

// Progress is how far a wave has come.
type Progress struct {
	Wave Record `json:"wave"`
	// Done is the number of instances maintained, Out of those on their way, Waiting of those yet to go.
	Done    int `json:"done"`
	Out     int `json:"out"`
	Waiting int `json:"waiting"`
	// Lost is the number of failed instances; the wave doesn't wait for them.
	Lost     int      `json:"lost"`
	LostKeys []string `json:"lost_instances,omitempty"`
	// Left estimates the time to the end from the time taken so far.
	Left time.Duration `json:"left_ns,omitempty"`
	// Waits holds, for each pool, why instances wait.
	Waits map[string][]Wait `json:"waits,omitempty"`
}

// NewProgress counts the instances of the wave's pools by how far the wave has come with them.
func NewProgress(view View, found Versioned) Progress {
	p := Progress{Wave: found.Value}
	pools := make(map[string]pool.Versioned)
	for _, name := range found.Value.Pools {
		pools[name] = pool.Find(view.Pools(), name)
	}
	for member := range view.Inventory().All {
		owner, covered := pools[member.Value.Pool]
		if covered {
			p.count(member, owner.Value.Down[member.Key()])
		}
	}
	slices.Sort(p.LostKeys)
	return p
}

func (p *Progress) count(member instance.Versioned, permit pool.Permit) {
	mine := permit.Reason == pool.ByWave && permit.By == p.Wave.ID
	switch {
	case mine:
		p.Out++
	case slices.Contains(member.Value.Waves, p.Wave.ID):
		p.Done++
	case member.Value.State == instance.Failed:
		p.Lost++
		p.LostKeys = append(p.LostKeys, member.Key())
	default:
		p.Waiting++
	}
}

// Estimate fills in the time left, given the time now.
func (p *Progress) Estimate(now time.Time) {
	open := p.Out + p.Waiting
	taken := now.Sub(time.UnixMilli(p.Wave.StartedMillis))
	if p.Wave.Unfinished() && p.Done > 0 && open > 0 {
		p.Left = (taken * time.Duration(open) / time.Duration(p.Done)).Round(time.Second)
	}
}

// Explain fills in why the instances of the wave's pools wait, as this entry sees it.
func (p *Progress) Explain(view View, use Usage) {
	p.Waits = make(map[string][]Wait)
	if p.Wave.State != Running {
		return
	}
	situations := Survey(view, func(member *Member) {
		switch member.Value.State {
		case instance.Held:
			member.Blocked = use.BlockedReason(member.Value.DataCentre)
		case instance.Leaving:
			member.Busy = use.BusyReason(member.Versioned)
		case instance.Drained:
			// The holder of the duty has asked for the reboot as soon as it drained the instance.
			member.Tried, member.Accepted = true, true
		}
	})
	for _, s := range situations {
		waits := Decide(s).Waits
		if p.Wave.Covers(s.Pool.Value.Name) && len(waits) > 0 {
			p.Waits[s.Pool.Value.Name] = waits
		}
	}
}
