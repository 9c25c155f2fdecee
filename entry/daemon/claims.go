package daemon

import (
	"context"
	"time"

	"samphirekeel.example/keel/claim"
	"samphirekeel.example/keel/fault"
	"samphirekeel.example/keel/settings"
)

// claimSweepInterval is the time between two batches of the sweeper, each for one service.
const claimSweepInterval = 250 * time.Millisecond

// claimSnapshot is a copy of control state for claims, which run outside the control loop.
type claimSnapshot struct {
	// commitInterval is the mean time between two claim transactions of this entry.
	commitInterval time.Duration
	// leaseValidUntil is the time until which this entry's lease is certain to be valid.
	leaseValidUntil time.Time
	// peerAddresses holds the addresses of the registered entries by the incarnation with which they started.
	peerAddresses map[string]string
}

func (d *Daemon) buildClaims(incarnation string) {
	d.claimSnapshot.Store(&claimSnapshot{})
	d.claims = &claim.Service{
		Incarnation: incarnation,
		Batcher: &claim.Batcher{
			Client: d.Client, Metrics: claim.NewMetrics(d.registry),
			CommitInterval: func() time.Duration { return d.claimSnapshot.Load().commitInterval },
		},
		LeaseValid:  func() bool { return time.Now().Before(d.claimSnapshot.Load().leaseValidUntil) },
		QueryHolder: d.queryHolder,
	}
}

// publishClaimSnapshot publishes this entry's share of the table's transaction rate, its lease and the addresses of its
// peers; it is called on the loop.
func (d *Daemon) publishClaimSnapshot() {
	snapshot := &claimSnapshot{peerAddresses: make(map[string]string), leaseValidUntil: d.session.LiveUntil()}
	for _, member := range d.session.Registered() {
		snapshot.peerAddresses[processIncarnation(member.Incarnation)] = member.Peer
	}
	entries := max(1, len(d.session.Members()))
	rate := d.view.Settings().Tree.Int("", settings.ClaimTableRate)
	snapshot.commitInterval = time.Second * time.Duration(entries) / time.Duration(max(1, rate))
	d.claimSnapshot.Store(snapshot)
}

// startClaimSweeper starts the removal of expired claims; it is called on the loop.
func (d *Daemon) startClaimSweeper() {
	sweeper := &claim.Sweeper{
		Client: d.Client, Loop: d.loop, Log: d.Log, Session: d.session, Interval: claimSweepInterval,
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

// queryHolder queries the entry that holds a claim; it fails with kind NotReady if that entry is not registered.
func (d *Daemon) queryHolder(ctx context.Context, request claim.HolderQuery) (claim.HolderResponse, error) {
	address, ok := d.claimSnapshot.Load().peerAddresses[request.Holder]
	if !ok {
		return claim.HolderResponse{}, fault.New(fault.NotReady, "entry %s is not registered", request.Holder)
	}
	return d.node.QueryClaim(ctx, address, request)
}
