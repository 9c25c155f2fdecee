package daemon

import (
	"context"
	"time"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/settings"
)

// sweepInterval is the time between two looks for old claims, each of one service.
const sweepInterval = 250 * time.Millisecond

// claimShare is what claims need to know of the fleet of entries; it is made on the control loop.
type claimShare struct {
	// gap is the mean time between two transactions of this entry.
	gap time.Duration
	// until is the time up to which this entry's lease is certain to hold.
	until time.Time
	// peers holds the addresses of the registered entries by the incarnation that they started with.
	peers map[string]string
}

func (d *Daemon) buildClaims(incarnation string) {
	d.shared.Store(&claimShare{})
	d.claims = &claim.Service{
		Incarnation: incarnation,
		Batcher: &claim.Batcher{
			Client: d.Client, Metrics: claim.NewMetrics(d.registry),
			CommitInterval: func() time.Duration { return d.shared.Load().gap },
		},
		LeaseValid:  func() bool { return time.Now().Before(d.shared.Load().until) },
		QueryHolder: d.askHolder,
	}
}

// shareClaims publishes this entry's share of the table's rate and its lease; it is called on the loop.
func (d *Daemon) shareClaims() {
	share := &claimShare{peers: make(map[string]string), until: d.session.LiveUntil()}
	for _, member := range d.session.Registered() {
		share.peers[startOf(member.Incarnation)] = member.Peer
	}
	entries := max(1, len(d.session.Members()))
	rate := d.view.Settings().Tree.Int("", settings.ClaimTableRate)
	share.gap = time.Second * time.Duration(entries) / time.Duration(max(1, rate))
	d.shared.Store(share)
}

// sweepClaims begins the removal of old claims; it is called on the loop.
func (d *Daemon) sweepClaims() {
	sweeper := &claim.Sweeper{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, Interval: sweepInterval,
		Services: func() map[string]time.Duration {
			tree := d.view.Settings().Tree
			services := make(map[string]time.Duration)
			for _, path := range tree.Below("", settings.LevelService) {
				name := string(path.Parent().Parent()) + "/" + path.Name()
				services[name] = tree.Duration(path, settings.ClaimRetention)
			}
			return services
		},
	}
	sweeper.Start()
}

// askHolder asks the entry that holds a claim.
func (d *Daemon) askHolder(ctx context.Context, request claim.HolderQuery) (claim.HolderResponse, error) {
	address, ok := d.shared.Load().peers[request.Holder]
	if !ok {
		return claim.HolderResponse{}, fault.New(fault.NotReady, "entry %s is not registered", request.Holder)
	}
	return d.node.QueryClaim(ctx, address, request)
}
