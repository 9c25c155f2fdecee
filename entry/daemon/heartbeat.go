package daemon

import (
	"slices"
	"time"

	"samphirekeel.example/keel/peer"
)

const (
	// remoteFanout is the number of entries of other data centres that receive one round of heartbeats.
	remoteFanout = 6
	// announceInterval is the minimum time between two rounds of heartbeats that announce changes.
	announceInterval = 200 * time.Millisecond
	// unregisteredPeerTimeout is the time after its last heartbeat for which an unregistered entry counts as a peer.
	unregisteredPeerTimeout = 5 * time.Second
)

// broadcastState is the state of the heartbeat rounds; it belongs to the control loop.
type broadcastState struct {
	// nextRemote selects the first entry of other data centres in the next round, modulo the number of such entries.
	nextRemote int
	lastSent   time.Time
	pending    bool
}

// scheduleHeartbeats sends heartbeats now, or once announceInterval has passed since the last announcement, so that
// peers learn of changes before the next regular round.
func (d *Daemon) scheduleHeartbeats() {
	if d.broadcast.pending {
		return
	}
	wait := announceInterval - time.Since(d.broadcast.lastSent)
	if wait <= 0 {
		d.broadcast.lastSent = time.Now()
		d.sendHeartbeats()
		return
	}
	d.broadcast.pending = true
	d.loop.After(wait, func() {
		d.broadcast.pending = false
		d.broadcast.lastSent = time.Now()
		d.sendHeartbeats()
	})
}

// sendHeartbeats sends a heartbeat to all entries of the data centre and, round-robin, to some of the others. It also
// publishes the claim snapshot, which depends on the same membership.
func (d *Daemon) sendHeartbeats() {
	heartbeat := d.newHeartbeat()
	d.heartbeat.Store(&heartbeat)
	d.view.Heartbeats().Store(heartbeat)
	local, remote := d.peers()
	known := make(map[string]bool)
	for _, address := range append(slices.Clone(local), remote...) {
		known[address] = true
	}
	d.publishClaimSnapshot()
	d.node.Broadcast(d.loop.Context(), d.heartbeatTargets(local, remote), known)
}

func (d *Daemon) newHeartbeat() peer.Heartbeat {
	heartbeat := peer.Heartbeat{
		Incarnation:      d.session.Self.Incarnation,
		DataCentre:       d.Config.DataCentre,
		Address:          d.Config.Listen.Peers,
		AppliedVersion:   d.view.Cache().NewestVersion(),
		SettingsRevision: d.view.Settings().Tree.Revision(),
		InFlight:         d.router.InFlight(),
		Leaving:          d.router.LeavingKeys(),
	}
	if d.replica.complete && !d.replica.checkedAt.IsZero() {
		heartbeat.CheckedMillis = time.Since(d.replica.checkedAt).Milliseconds() + 1
	}
	return heartbeat
}

// heartbeatTargets returns the addresses for the next round and advances nextRemote.
func (d *Daemon) heartbeatTargets(local, remote []string) []string {
	if len(remote) <= remoteFanout {
		return append(local, remote...)
	}
	for range remoteFanout {
		local = append(local, remote[d.broadcast.nextRemote%len(remote)])
		d.broadcast.nextRemote++
	}
	return local
}

// peers returns the sorted addresses of the other entries of this data centre and of other data centres. Besides the
// registered entries it includes those that sent a heartbeat lately, since an entry that cannot reach the platform
// loses its registration but still serves.
func (d *Daemon) peers() (local, remote []string) {
	dataCentres := make(map[string]string)
	for _, address := range d.Config.Peers {
		dataCentres[address] = ""
	}
	for _, member := range d.session.Registered() {
		dataCentres[member.Peer] = member.DataCentre
	}
	for heartbeat, age := range d.view.Heartbeats().All {
		if age < unregisteredPeerTimeout && heartbeat.Address != "" {
			dataCentres[heartbeat.Address] = heartbeat.DataCentre
		}
	}
	delete(dataCentres, d.Config.Listen.Peers)
	for address, dataCentre := range dataCentres {
		if dataCentre == d.Config.DataCentre {
			local = append(local, address)
		} else {
			remote = append(remote, address)
		}
	}
	slices.Sort(local)
	slices.Sort(remote)
	return local, remote
}
